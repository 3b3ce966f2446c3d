package placement

import (
	"errors"
	"time"
)

// ErrHold means that the engines have enough to read for now: ask again soon.
var ErrHold = errors.New("the engines are busy reading: hold the request")

const (
	// holdSlack is the wait behind other reading that a long prompt is not held for.
	holdSlack = 900 * time.Millisecond
	// holdShare is the part of the caller's patience that a prompt may be held.
	holdShare = 0.4
	// HoldInterval is how often a held request should ask again.
	HoldInterval = 15 * time.Millisecond
	// heldFor is how long a held request counts without asking again.
	heldFor = 4 * HoldInterval
)

// heldPrompt is a prompt that waits at this host.
type heldPrompt struct {
	work  time.Duration
	asked time.Time
}

// mustWait reports whether a prompt should be held: its engines are busy, or a
// shorter one waits already.
func (s *shard) mustWait(need *Need, id uint64, work, queueing time.Duration, now time.Time) bool {
	if need.Waited > time.Duration(holdShare*float64(need.Patience)) {
		delete(s.held, id)
		return false
	}
	if queueing <= holdSlack && !s.shorterHeld(id, work, now) {
		delete(s.held, id)
		return false
	}
	s.held[id] = heldPrompt{work: work, asked: now}
	return true
}

func (s *shard) shorterHeld(id uint64, work time.Duration, now time.Time) bool {
	for other, h := range s.held {
		if now.Sub(h.asked) > heldFor {
			delete(s.held, other)
			continue
		}
		if other != id && h.work < work {
			return true
		}
	}
	return false
}
