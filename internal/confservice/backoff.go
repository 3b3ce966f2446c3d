package confservice

import (
	"math/rand/v2"
	"time"
)

// Backoff yields growing waits with full jitter (Brooker, "Exponential Backoff
// And Jitter", 2015). The zero Rand is the global source. It is not safe for
// concurrent use.
type Backoff struct {
	Initial, Max time.Duration
	Rand         *rand.Rand
	failures     int
}

// Next returns how long to wait after one more failure.
func (b *Backoff) Next() time.Duration {
	ceiling := b.Max
	if b.failures < 32 && b.Initial<<b.failures < b.Max {
		ceiling = b.Initial << b.failures
	}
	b.failures++
	return ceiling/2 + b.below(ceiling/2)
}

// Reset forgets the failures.
func (b *Backoff) Reset() { b.failures = 0 }

func (b *Backoff) below(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	if b.Rand != nil {
		return time.Duration(b.Rand.Int64N(int64(d)))
	}
	return rand.N(d)
}
