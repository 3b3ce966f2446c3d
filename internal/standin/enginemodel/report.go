package enginemodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// snapshot is the engine's load at one time.
type snapshot struct {
	at                time.Time
	running           int
	prefillBacklog    float64 // prefill tokens not yet computed
	activePrefillLeft float64 // of these, of the prompt being computed
	reservedTokens    int
	speed             float64
	leaving           bool
	promptBytes       int64
	promptTokens      int64
}

// record keeps the load at the present time for later reports.
func (e *Engine) record() {
	s := snapshot{
		at: e.now, running: len(e.streams), prefillBacklog: e.prefillBacklog, reservedTokens: e.reservedTokens, speed: e.speed,
		leaving: e.leaving, promptBytes: e.promptBytes, promptTokens: e.promptTokens,
	}
	if a := e.activePrefill(); a != nil {
		s.activePrefillLeft = a.prefillLeft
	}
	if n := len(e.history); n > 0 && e.history[n-1].at.Equal(e.now) {
		e.history[n-1] = s
		return
	}
	e.prune()
	e.history = append(e.history, s)
}

// prune forgets snapshots that no report can show any more.
func (e *Engine) prune() {
	const keepAtLeast = 64
	if len(e.history) < keepAtLeast {
		return
	}
	snapshotIndex := e.snapshotIndex(e.now)
	if snapshotIndex >= len(e.history)/2 {
		e.history = append(e.history[:0], e.history[snapshotIndex:]...)
	}
}

// shown is the index of the snapshot that a report at now shows.
func (e *Engine) snapshotIndex(now time.Time) int {
	observed := now.Add(-e.cfg.ReportLag)
	i, found := slices.BinarySearchFunc(e.history, observed, func(s snapshot, t time.Time) int { return s.at.Compare(t) })
	if found {
		return i
	}
	return max(0, i-1)
}

// Load returns the load as it was Config.ReportLag before now. An engine that
// is down answers with the zero report.
func (e *Engine) Load(now time.Time) engineapi.LoadReport {
	e.runUntil(now)
	if e.down {
		return engineapi.LoadReport{}
	}
	s := e.history[e.snapshotIndex(now)]
	observed := now.Add(-e.cfg.ReportLag)
	if observed.Before(s.at) {
		observed = s.at
	}
	done := min(s.activePrefillLeft, observed.Sub(s.at).Seconds()*s.speed*e.cfg.PrefillRate)
	return engineapi.LoadReport{
		Incarnation:   e.Incarnation(),
		ObservedMS:    observed.UnixMilli(),
		Model:         e.cfg.Model,
		Leaving:       s.leaving,
		Running:       s.running,
		PrefillTokens: int(s.prefillBacklog - done),
		MemoryUsed:    s.reservedTokens,
		MemoryTotal:   e.cfg.MemoryTokens,
		PrefillRate:   e.cfg.PrefillRate * s.speed,
		DecodeRate:    s.speed / e.decodeInterval(),
		PromptBytes:   s.promptBytes,
		PromptTokens:  s.promptTokens,
	}
}

// Allocations lists what pins memory as of the last time the engine was told, by id.
func (e *Engine) Allocations() []engineapi.Allocation {
	held := make([]engineapi.Allocation, 0, len(e.streams)+len(e.pins))
	for _, s := range e.streams {
		h := engineapi.Allocation{ID: s.job.ID, Kind: engineapi.AllocationStream, Owner: s.job.Owner, Tokens: s.reserved}
		if !s.job.Deadline.IsZero() {
			h.DeadlineMS = s.job.Deadline.UnixMilli()
		}
		held = append(held, h)
	}
	for _, pin := range e.pins {
		held = append(held, pin)
	}
	slices.SortFunc(held, func(a, b engineapi.Allocation) int { return cmp.Compare(a.ID, b.ID) })
	return held
}

// streamIDs lists the streams in order of arrival.
func (e *Engine) streamIDsByArrival() []string {
	streams := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		streams = append(streams, s)
	}
	slices.SortFunc(streams, func(a, b *stream) int { return cmp.Compare(a.seq, b.seq) })
	ids := make([]string, 0, len(streams))
	for _, s := range streams {
		ids = append(ids, s.job.ID)
	}
	return ids
}
