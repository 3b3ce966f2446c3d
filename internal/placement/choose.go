package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// soloRead is the reading time up to which one engine reads a prompt alone.
	soloRead = 120 * time.Millisecond
	// partRead is the reading time aimed at for each engine of a long prompt.
	partRead = 600 * time.Millisecond
	// minParts and maxParts bound the engines that share one prompt.
	minParts = 4
	maxParts = 16
	// memoryShare is the part of an engine's memory that one prompt may fill.
	memoryShare = 0.85
	// reservedShare is the part of an engine's memory that one reservation may take.
	reservedShare = 0.5
	// fullWait is added to the expected wait where the memory is promised already.
	fullWait = 3 * time.Second
)

// sortByWait orders loads by their predicted wait, equal ones at random.
func sortByWait(loads []*load, now time.Time) {
	rand.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
	waits := make(map[*load]time.Duration, len(loads))
	for _, l := range loads {
		waits[l] = l.wait(now)
	}
	slices.SortStableFunc(loads, func(a, b *load) int { return int(waits[a] - waits[b]) })
}

func (s *shard) placePlain(b *Board, candidates []*load, now time.Time) *Placement {
	l := candidates[0]
	p := &Placement{Primary: l.target, Wait: l.wait(now), board: b, shard: s}
	p.charges = []charge{{key: l.target.TargetKey, writes: true}}
	l.writers++
	return p
}

// NeedsReservations reports whether a prompt is too large for one engine.
func NeedsReservations(need Need) bool {
	return need.Engine != nil && float64(need.tokens()) > memoryShare*float64(need.Engine.MemoryTokens)
}

// partsFor is the number of engines that read a prompt together.
func partsFor(need Need, available int) int {
	alone := need.Engine.ReadTime(need.PromptTokens)
	if alone <= soloRead {
		return 1
	}
	parts := max(minParts, int((alone+partRead-1)/partRead))
	return min(parts, maxParts, available)
}

func (s *shard) placePrompt(b *Board, need Need, candidates []*load, now time.Time) *Placement {
	preferFree(need, candidates, now)
	parts := partsFor(need, len(candidates))
	chosen := candidates[:parts]
	work := need.Engine.ReadTime(need.PromptTokens) / time.Duration(parts)
	p := &Placement{Primary: chosen[0].target, board: b, shard: s, reading: true}
	reserve := reservations(need, parts)
	for i, l := range chosen {
		p.Wait = max(p.Wait, l.wait(now)+work)
		tokens := reserve
		if reserve == 0 && i == 0 {
			tokens = need.tokens()
		}
		if i > 0 || reserve > 0 {
			p.Parts = append(p.Parts, Part{Target: l.target, Tokens: reserve})
		}
		p.charges = append(p.charges, charge{key: l.target.TargetKey, tokens: tokens, writes: tokens > 0})
		l.tokens += tokens
		l.addReading(work, now)
	}
	return p
}

// preferFree moves the best engine with room for the whole prompt to the front.
func preferFree(need Need, candidates []*load, now time.Time) {
	capacity := need.Engine.MemoryTokens
	if NeedsReservations(need) {
		slices.SortStableFunc(candidates, func(a, b *load) int { return boolInt(a.tokens > 0) - boolInt(b.tokens > 0) })
		return
	}
	best := -1
	var bestWait time.Duration
	for i, l := range candidates {
		w := l.wait(now)
		if l.tokens+need.tokens() > capacity {
			w += fullWait
		}
		if best < 0 || w < bestWait {
			best, bestWait = i, w
		}
	}
	l := candidates[best]
	copy(candidates[1:best+1], candidates[:best])
	candidates[0] = l
}

// reservations is the memory to reserve on each of the engines, 0 if the
// prompt fits into one.
func reservations(need Need, parts int) int {
	if !NeedsReservations(need) {
		return 0
	}
	return need.tokens()/parts + 1
}

// Feasible reports whether enough engines exist to hold a prompt.
func Feasible(need Need, targets []catalog.Target) bool {
	if !NeedsReservations(need) {
		return true
	}
	parts := partsFor(need, len(targets))
	return float64(reservations(need, parts)) <= reservedShare*float64(need.Engine.MemoryTokens)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
