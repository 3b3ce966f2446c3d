package confservice

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential backoff with equal jitter (Brooker, "Exponential
// Backoff And Jitter", 2015): each delay is a random duration between half of and
// all of First doubled with each failure, capped at Max. If Rand is nil, the global
// source is used. A Backoff is not safe for concurrent use.
type Backoff struct {
	First, Max time.Duration
	Rand       *rand.Rand
	failures   int
}

// Next counts a failure and returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	ceiling := b.Max
	if b.failures < 32 && b.First<<b.failures < b.Max {
		ceiling = b.First << b.failures
	}
	b.failures++
	return ceiling/2 + b.randomBelow(ceiling/2)
}

// Reset sets the number of failures to zero, such as after a success.
func (b *Backoff) Reset() { b.failures = 0 }

func (b *Backoff) randomBelow(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	if b.Rand != nil {
		return time.Duration(b.Rand.Int64N(int64(d)))
	}
	return rand.N(d)
}
