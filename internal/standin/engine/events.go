package engine

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// eventLog holds the latest cache events. Older ones are lost, and each can be
// read only after a lag.
type eventLog struct {
	lag    time.Duration
	keep   int
	events []loggedEvent
	next   uint64 // sequence number of the last event, kept or lost
}

type loggedEvent struct {
	engineapi.CacheEvent
	at time.Time
}

func (l *eventLog) add(now time.Time, events []engineapi.CacheEvent) {
	for _, ev := range events {
		l.next = ev.Seq
		l.events = append(l.events, loggedEvent{CacheEvent: ev, at: now})
	}
	if extra := len(l.events) - l.keep; extra > 0 {
		l.events = append(l.events[:0], l.events[extra:]...)
	}
}

// lose drops the oldest n events, which leaves a gap.
func (l *eventLog) lose(n int) {
	l.events = l.events[min(n, len(l.events)):]
}

// after returns the events after seq that can be read at now. An empty run has
// From one above Next.
func (l *eventLog) after(now time.Time, seq uint64) engineapi.CacheEvents {
	answer := engineapi.CacheEvents{Next: l.next, Events: []engineapi.CacheEvent{}}
	for _, ev := range l.events {
		if now.Sub(ev.at) < l.lag {
			answer.Next = ev.Seq - 1
			break
		}
		if ev.Seq > seq {
			answer.Events = append(answer.Events, ev.CacheEvent)
		}
	}
	answer.From = answer.Next + 1
	if len(answer.Events) > 0 {
		answer.From = answer.Events[0].Seq
	}
	return answer
}
