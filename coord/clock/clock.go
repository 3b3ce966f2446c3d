// Package clock abstracts the current time so that the coordination packages
// can run in virtual time.
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	Now() time.Time
}

// System is the system clock.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock that advances only by calls to Advance. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a Manual clock that starts at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the current virtual time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d and returns the new time.
func (m *Manual) Advance(d time.Duration) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	return m.now
}
