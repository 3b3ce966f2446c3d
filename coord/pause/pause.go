// Package pause detects that this process was paused: stopped, starved of CPU time,
// or migrated. After a pause the state that the process has read may be out of date, so code
// takes a Mark when it reads state and checks the mark before it acts on that state.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
)

// Defaults for the interval of Run and the threshold of New.
const (
	DefaultInterval  = 100 * time.Millisecond
	DefaultThreshold = time.Second
)

// Detector detects and counts pauses. It is safe for concurrent use.
type Detector struct {
	clk       clock.Clock
	threshold time.Duration

	mu           sync.Mutex
	lastObserved time.Time
	generation   uint64
	longest      time.Duration
}

// New returns a detector that takes a gap of more than threshold between two observations
// for a pause. Observe must be called at a much shorter interval, by Run or otherwise.
func New(clk clock.Clock, threshold time.Duration) *Detector {
	return &Detector{clk: clk, threshold: threshold, lastObserved: clk.Now()}
}

// Observe reads the clock and returns the length of the pause that has just ended, or zero.
// It takes the larger gap of the monotonic and the wall clock, since the monotonic clock does
// not advance while the machine is suspended. A forward step of the wall clock is therefore
// taken for a pause, which only invalidates marks.
func (d *Detector) Observe() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clk.Now()
	gap := max(now.Sub(d.lastObserved), now.Round(0).Sub(d.lastObserved.Round(0)))
	d.lastObserved = now
	if gap <= d.threshold {
		return 0
	}
	d.generation++
	d.longest = max(d.longest, gap)
	return gap
}

// Run calls Observe every interval until ctx is done. It calls onPause, if not nil, after each
// pause that it detects; a pause detected by another call of Observe is not reported.
func (d *Detector) Run(ctx context.Context, interval time.Duration, onPause func(time.Duration)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if gap := d.Observe(); gap > 0 && onPause != nil {
			onPause(gap)
		}
	}
}

// Generation observes the clock and returns the number of pauses so far.
func (d *Detector) Generation() uint64 {
	d.Observe()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// Stats are the counters of a Detector.
type Stats struct {
	Pauses  uint64
	Longest time.Duration
}

// Stats returns the counters.
func (d *Detector) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{Pauses: d.generation, Longest: d.longest}
}

// Mark is a point in time that stays valid until the next pause. The zero Mark is never valid.
type Mark struct {
	detector   *Detector
	generation uint64
}

// Mark returns a mark of the current time.
func (d *Detector) Mark() Mark { return Mark{detector: d, generation: d.Generation()} }

// Valid reports whether the process has not been paused since the mark was taken.
func (m Mark) Valid() bool {
	return m.detector != nil && m.detector.Generation() == m.generation
}
