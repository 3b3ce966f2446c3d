package engine

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// eventLog holds the latest cache events. Older ones are lost, and each can be
// read only after a lag.
type eventLog struct {
	lag     time.Duration
	limit   int
	entries []loggedEvent
	lastSeq uint64 // sequence number of the last event, kept or lost
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

// lose drops the oldest n events, which leaves a gap.
func (l *eventLog) dropOldest(n int) {
	l.entries = l.entries[min(n, len(l.entries)):]
}

// after returns the events after seq that can be read at now. An empty run has
// From one above Next.
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
