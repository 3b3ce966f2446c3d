package engine

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// eventLog retains the latest cache events up to a limit. Each becomes visible
// only after a lag.
type eventLog struct {
	lag     time.Duration
	limit   int
	entries []loggedEvent
	lastSeq uint64 // sequence number of the last event, retained or not
}

type loggedEvent struct {
	engineapi.CacheEvent
	addedAt time.Time
}

func (l *eventLog) add(now time.Time, events []engineapi.CacheEvent) {
	for _, ev := range events {
		l.lastSeq = ev.Seq
		l.entries = append(l.entries, loggedEvent{CacheEvent: ev, addedAt: now})
	}
	if excess := len(l.entries) - l.limit; excess > 0 {
		l.entries = append(l.entries[:0], l.entries[excess:]...)
	}
}

// dropOldest discards the oldest n events, which leaves a gap in the sequence.
func (l *eventLog) dropOldest(n int) {
	l.entries = l.entries[min(n, len(l.entries)):]
}

// since returns the events after seq that are visible at now. Without such events,
// From is Next plus one.
func (l *eventLog) since(now time.Time, seq uint64) engineapi.CacheEvents {
	response := engineapi.CacheEvents{Next: l.lastSeq, Events: []engineapi.CacheEvent{}}
	for _, ev := range l.entries {
		if now.Sub(ev.addedAt) < l.lag {
			response.Next = ev.Seq - 1
			break
		}
		if ev.Seq > seq {
			response.Events = append(response.Events, ev.CacheEvent)
		}
	}
	response.From = response.Next + 1
	if len(response.Events) > 0 {
		response.From = response.Events[0].Seq
	}
	return response
}
