package enginemodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// snapshot is the engine's load at one point in time.
type snapshot struct {
	at                time.Time
	running           int
	prefillBacklog    float64 // prompt tokens still to be prefilled
	activePrefillLeft float64 // of these, tokens of the prompt being prefilled
	reservedTokens    int
	speed             float64
	leaving           bool
	promptBytes       int64
	promptTokens      int64
}

// record stores a snapshot of the current load, which reports show after
// Config.ReportLag.
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

// prune discards snapshots that are too old for any future report. It moves the
// slice only if at least half of it can go.
func (e *Engine) prune() {
	const keepAtLeast = 64
	if len(e.history) < keepAtLeast {
		return
	}
	firstNeeded := e.snapshotIndex(e.now)
	if firstNeeded >= len(e.history)/2 {
		e.history = append(e.history[:0], e.history[firstNeeded:]...)
	}
}

// snapshotIndex returns the index of the snapshot that a report at now is based
// on.
func (e *Engine) snapshotIndex(now time.Time) int {
	observed := now.Add(-e.cfg.ReportLag)
	i, found := slices.BinarySearchFunc(e.history, observed, func(s snapshot, t time.Time) int { return s.at.Compare(t) })
	if found {
		return i
	}
	return max(0, i-1)
}

// Load returns the load as of Config.ReportLag before now. For an engine that is
// down it returns the zero report.
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

// Allocations returns the KV memory allocations, sorted by id, as of the time to
// which the engine has last been advanced.
func (e *Engine) Allocations() []engineapi.Allocation {
	allocations := make([]engineapi.Allocation, 0, len(e.streams)+len(e.pins))
	for _, s := range e.streams {
		h := engineapi.Allocation{ID: s.job.ID, Kind: engineapi.AllocationStream, Owner: s.job.Owner, Tokens: s.reservedTokens}
		if !s.job.Deadline.IsZero() {
			h.DeadlineMS = s.job.Deadline.UnixMilli()
		}
		allocations = append(allocations, h)
	}
	for _, pin := range e.pins {
		allocations = append(allocations, pin)
	}
	slices.SortFunc(allocations, func(a, b engineapi.Allocation) int { return cmp.Compare(a.ID, b.ID) })
	return allocations
}

// streamIDsByArrival returns the ids of the admitted streams in order of arrival.
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
