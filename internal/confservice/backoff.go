package confservice

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential retry delays with equal jitter: one half of a
// delay is fixed and the other half random (Brooker, "Exponential Backoff And
// Jitter", 2015). A nil Rand selects the global source. Backoff is not safe for
// concurrent use.
type Backoff struct {
	Initial, Max time.Duration
	Rand         *rand.Rand
	failures     int
}

// Next records a failure and returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	ceiling := b.Max
	if b.failures < 32 && b.Initial<<b.failures < b.Max {
		ceiling = b.Initial << b.failures
	}
	b.failures++
	return ceiling/2 + b.jitter(ceiling/2)
}

// Reset restarts the delays at Initial, after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// jitter returns a random duration in [0, d).
func (b *Backoff) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	if b.Rand != nil {
		return time.Duration(b.Rand.Int64N(int64(d)))
	}
	return rand.N(d)
}
