package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefillPoolUtilisation is the fraction of the time that engines of the pool
	// are planned to spend on prefill.
	prefillPoolUtilisation = 0.7
	// maxPrefillPoolFraction is the largest fraction of the engines in the pool.
	maxPrefillPoolFraction = 0.8
	// decodeSlotUtilisation is the fraction of the slots that streams are planned to
	// use on the engines outside the pool.
	decodeSlotUtilisation = 0.75
	// shortStreamDuration is the expected duration of the stream that answers a
	// short prompt.
	shortStreamDuration = 2 * time.Second
	// backlogDrainTime is the time within which a backlog of long prompts should be
	// prefilled.
	backlogDrainTime = 1500 * time.Millisecond
	// minLateFraction is the fraction of the engines that take late short prompts even
	// when the pool is smaller.
	minLateFraction = 0.05
	// decodeInPoolCost is the cost of decoding on an engine of the pool, in units of
	// the request's weight.
	decodeInPoolCost = 0.4
	// prefillOutsidePoolCost is the cost of a second of a long prompt's prefill on an
	// engine outside the pool, in units of weight.
	prefillOutsidePoolCost = 1.0
)

// assignRoles marks as many engines for the prefill of long prompts as the current
// demand takes, but leaves enough engines for decoding, and marks the engines that take
// late short prompts: those of the pool, whose slots are mostly free. All hosts use the
// same order of the engines, so that hosts with the same knowledge of the load mark the
// same ones.
func assignRoles(engines []*engineSnapshot, slots int, prefillDemand, shortPromptRate float64) {
	backlog, running := 0.0, 0.0
	for _, snap := range engines {
		backlog += snap.backlog.Seconds()
		running += float64(snap.running)
	}
	wantedSize := math.Ceil((prefillDemand + backlog/backlogDrainTime.Seconds()/2) / prefillPoolUtilisation)
	streams := max(running, shortPromptRate*shortStreamDuration.Seconds())
	decodeEngines := math.Ceil(streams / (decodeSlotUtilisation * float64(max(slots, 1))))
	n := float64(len(engines))
	poolSize := int(max(0, min(wantedSize, maxPrefillPoolFraction*n, n-decodeEngines)))
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(a, b *engineSnapshot) int { return cmp.Compare(poolOrder(a), poolOrder(b)) })
	for _, snap := range ordered[:poolSize] {
		snap.inPrefillPool = true
	}
	for _, snap := range ordered[:max(poolSize, int(math.Ceil(minLateFraction*n)))] {
		snap.takesLate = true
	}
}

// poolOrder is the sort key of an engine, equal on all hosts.
func poolOrder(snap *engineSnapshot) uint64 { return xxhash.Sum64String(snap.load.target.ID) }
