// Package decay provides sums whose terms lose weight exponentially with time.
package decay

import (
	"math"
	"time"
)

// Sum is an exponentially decaying sum. The zero value is an empty sum. It is not safe
// for concurrent use.
type Sum struct {
	value     float64
	updatedAt time.Time
}

// Add adds an amount at a time. timeConstant is the time after which a term counts 1/e.
func (s *Sum) Add(amount float64, now time.Time, timeConstant time.Duration) {
	s.value = s.Value(now, timeConstant) + amount
	s.updatedAt = now
}

// Value returns the sum at a time.
func (s *Sum) Value(now time.Time, timeConstant time.Duration) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return s.value * math.Exp(-now.Sub(s.updatedAt).Seconds()/timeConstant.Seconds())
}

// Set replaces the sum.
func (s *Sum) Set(value float64, now time.Time) { s.value, s.updatedAt = value, now }
