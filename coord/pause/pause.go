// Package pause notices that the own process was paused: stopped, starved of
// processor time, or moved. After a pause, what the process believed may be out of date,
// so code takes a Mark when it learns something and checks the mark before it acts on it.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
)

// Defaults for New.
const (
	DefaultInterval  = 100 * time.Millisecond
	DefaultThreshold = time.Second
)

// Detector counts pauses. It is safe for concurrent use.
type Detector struct {
	clk       clock.Clock
	threshold time.Duration

	mu         sync.Mutex
	last       time.Time
	generation uint64
	longest    time.Duration
}

// New returns a detector for which a gap between two observations that is longer than
// threshold is a pause. Observe must be called much more often than that, by Run or otherwise.
func New(clk clock.Clock, threshold time.Duration) *Detector {
	return &Detector{clk: clk, threshold: threshold, last: clk.Now()}
}

// Observe looks at the clock and returns the length of the pause that just
// ended, or zero. Both the monotonic and the wall clock count, since the
// monotonic clock stands still while a machine is suspended; a step of the wall clock
// forwards is taken for a pause, which costs a check and no more.
func (d *Detector) Observe() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clk.Now()
	gap := max(now.Sub(d.last), now.Round(0).Sub(d.last.Round(0)))
	d.last = now
	if gap <= d.threshold {
		return 0
	}
	d.generation++
	d.longest = max(d.longest, gap)
	return gap
}

// Run observes every interval until ctx ends. It calls onPause, if given, after each pause
// that it is the first to notice.
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

// Generation returns the number of pauses until now, one that ended just now included.
func (d *Detector) Generation() uint64 {
	d.Observe()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// Stats are a detector's counters.
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

// Mark stands for a moment. The zero Mark is never valid.
type Mark struct {
	detector   *Detector
	generation uint64
}

// Mark returns a mark of the current moment.
func (d *Detector) Mark() Mark { return Mark{detector: d, generation: d.Generation()} }

// Valid reports whether the process was not paused since the mark was taken.
func (m Mark) Valid() bool {
	return m.detector != nil && m.detector.Generation() == m.generation
}
