package reconcile

import (
	"slices"
	"strings"
	"time"
)

// Spec is the configuration that a target runs or should run.
type Spec struct {
	Model    string
	Version  string
	Adapters []string // the order is not significant
	Role     string
}

// Equal reports whether two specs are the same up to the order of their adapters.
func (s Spec) Equal(other Spec) bool { return s.Role == other.Role && s.sameWeights(other) }

// sameWeights reports whether a change from one spec to the other needs no load.
func (s Spec) sameWeights(other Spec) bool {
	return s.Model == other.Model && s.Version == other.Version &&
		slices.Equal(sorted(s.Adapters), sorted(other.Adapters))
}

func sorted(names []string) []string {
	names = slices.Clone(names)
	slices.Sort(names)
	return names
}

// DesiredState is the state that the plan assigns to one target.
type DesiredState struct {
	Target string
	Spec   Spec
	// ChecksFencing is set if the target refuses orders with an old fencing number.
	ChecksFencing bool
}

// Plan is the published desired state of all targets. Create it with NewPlan.
type Plan struct {
	revision       uint64
	desired        []DesiredState // sorted by target: the index is the rank
	minimums       map[string]int
	loadsPerSecond float64
}

// NewPlan returns the plan of a revision. minimums holds, by model, the minimum number of
// targets that must keep serving. If loadsPerSecond is not positive, loads may start at any
// time.
func NewPlan(revision uint64, desired []DesiredState, minimums map[string]int, loadsPerSecond float64) *Plan {
	desired = slices.Clone(desired)
	slices.SortFunc(desired, func(a, b DesiredState) int { return strings.Compare(a.Target, b.Target) })
	desired = slices.CompactFunc(desired, func(a, b DesiredState) bool { return a.Target == b.Target })
	return &Plan{revision: revision, desired: desired, minimums: minimums, loadsPerSecond: loadsPerSecond}
}

// Revision returns the plan's revision, which is also the fencing number of its orders.
func (p *Plan) Revision() uint64 { return p.revision }

// Targets returns the ids of the plan's targets by rank.
func (p *Plan) Targets() []string {
	targets := make([]string, 0, len(p.desired))
	for _, d := range p.desired {
		targets = append(targets, d.Target)
	}
	return targets
}

// DesiredState returns a target's desired state and its rank. It reports false if the plan
// does not contain the target.
func (p *Plan) DesiredState(target string) (DesiredState, int, bool) {
	rank, found := slices.BinarySearchFunc(p.desired, target, func(d DesiredState, id string) int {
		return strings.Compare(d.Target, id)
	})
	if !found {
		return DesiredState{}, 0, false
	}
	return p.desired[rank], rank, true
}

// ObservedState is the state that a target reported.
type ObservedState struct {
	Spec    Spec
	Fencing uint64 // fencing number of the last order that it accepted; 0 if it reports none
	Serving bool   // false while it is loading
}

// MayStopServing reports whether the target may stop serving its current model without a
// violation of the model's minimum, given the observed states of the targets. Targets missing
// from states count as not serving.
func (p *Plan) MayStopServing(target string, states map[string]ObservedState) bool {
	own, known := states[target]
	if !known || !own.Serving {
		return known
	}
	minimum := p.minimums[own.Spec.Model]
	_, rank, _ := p.DesiredState(target)
	count := 0
	for i, d := range p.desired {
		o, known := states[d.Target]
		if i == rank || !known || !o.Serving || o.Spec.Model != own.Spec.Model {
			continue
		}
		inSync := o.Spec.Equal(d.Spec)
		if inSync || i > rank {
			count++
		}
	}
	return count >= minimum
}

// slotWindow is the time from the start of a target's slot in which it may start to load.
const slotWindow = 100 * time.Millisecond

// slotWidth is the time between the slots of consecutive ranks. Any second overlaps the
// windows of at most loadsPerSecond slots, since the slots whose windows overlap it start within
// one second plus slotWindow.
func (p *Plan) slotWidth() time.Duration {
	if p.loadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second+slotWindow)/p.loadsPerSecond) + 1
}

// SlotCycle returns the period of each target's slots.
func (p *Plan) SlotCycle() time.Duration {
	return max(p.slotWidth()*time.Duration(len(p.desired)), slotWindow)
}

// NextSlot returns the start on the wall clock of the target's current slot if now is within
// its window, and otherwise of its next slot.
func (p *Plan) NextSlot(target string, now time.Time) time.Time {
	_, rank, found := p.DesiredState(target)
	if !found || p.loadsPerSecond <= 0 {
		return now
	}
	cycle := p.SlotCycle()
	offset := time.Duration(rank) * p.slotWidth()
	elapsed := (time.Duration(now.UnixNano()%int64(cycle)) - offset + cycle) % cycle
	if elapsed < slotWindow {
		return now.Add(-elapsed)
	}
	return now.Add(cycle - elapsed)
}

// InSlot reports whether the target may start to load at now.
func (p *Plan) InSlot(target string, now time.Time) bool {
	return p.loadsPerSecond <= 0 || !p.NextSlot(target, now).After(now)
}
