package clock

import "time"

// Steady is a clock that follows elapsed time: steps of the wall clock after its
// creation do not affect it. It is safe for concurrent use.
type Steady struct {
	clk   Clock
	start time.Time // with the monotonic reading, if clk has one
	wall  time.Time // start without the monotonic reading
}

// NewSteady returns a Steady clock that starts at clk's current time.
func NewSteady(clk Clock) *Steady {
	now := clk.Now()
	return &Steady{clk: clk, start: now, wall: now.Round(0)}
}

// Now returns the start time plus the time elapsed since.
func (s *Steady) Now() time.Time {
	return s.wall.Add(s.clk.Now().Sub(s.start))
}

// processStart is the start of SinceBoot where no boot clock is available.
var processStart = time.Now()
