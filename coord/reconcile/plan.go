package reconcile

import (
	"slices"
	"strings"
	"time"
)

// Spec is what a target should run.
type Spec struct {
	Model    string
	Version  string
	Adapters []string // in any order
	Role     string
}

// Equal reports whether two specs want the same.
func (s Spec) Equal(other Spec) bool { return s.Role == other.Role && s.sameWeights(other) }

// sameWeights reports whether a change from one spec to the other loads nothing.
func (s Spec) sameWeights(other Spec) bool {
	return s.Model == other.Model && s.Version == other.Version &&
		slices.Equal(sorted(s.Adapters), sorted(other.Adapters))
}

func sorted(names []string) []string {
	names = slices.Clone(names)
	slices.Sort(names)
	return names
}

// DesiredState is the plan for one target.
type DesiredState struct {
	Target string
	Spec   Spec
	// ChecksFencing tells whether the target refuses orders with an old fencing number.
	ChecksFencing bool
}

// Plan is the published wanted state of all targets. Build it with NewPlan.
type Plan struct {
	revision       uint64
	wants          []DesiredState // sorted by target: the index is the rank
	minimums       map[string]int
	loadsPerSecond float64
}

// NewPlan returns the plan of a revision. Minimums gives the least number of targets that must
// keep serving, by model. Without a rate, loads start at any time.
func NewPlan(revision uint64, wants []DesiredState, minimums map[string]int, loadsPerSecond float64) *Plan {
	wants = slices.Clone(wants)
	slices.SortFunc(wants, func(a, b DesiredState) int { return strings.Compare(a.Target, b.Target) })
	wants = slices.CompactFunc(wants, func(a, b DesiredState) bool { return a.Target == b.Target })
	return &Plan{revision: revision, wants: wants, minimums: minimums, loadsPerSecond: loadsPerSecond}
}

// Revision is the plan's revision, which is the fencing number of its orders.
func (p *Plan) Revision() uint64 { return p.revision }

// Targets returns the targets of the plan in the order of their rank.
func (p *Plan) Targets() []string {
	targets := make([]string, 0, len(p.wants))
	for _, w := range p.wants {
		targets = append(targets, w.Target)
	}
	return targets
}

// DesiredState returns what the plan asks of a target, and its rank.
func (p *Plan) DesiredState(target string) (DesiredState, int, bool) {
	rank, found := slices.BinarySearchFunc(p.wants, target, func(w DesiredState, id string) int {
		return strings.Compare(w.Target, id)
	})
	if !found {
		return DesiredState{}, 0, false
	}
	return p.wants[rank], rank, true
}

// ObservedState is what a target said of itself.
type ObservedState struct {
	Spec    Spec
	Fencing uint64 // of the last order that it took; 0 if it does not tell
	Serving bool   // false while it loads
}

// MayStopServing reports whether the target may stop serving the model that it serves
// now, given what the other targets said. Targets missing from states count as not serving.
func (p *Plan) MayStopServing(target string, states map[string]ObservedState) bool {
	own, known := states[target]
	if !known || !own.Serving {
		return known
	}
	minimum := p.minimums[own.Spec.Model]
	_, rank, _ := p.DesiredState(target)
	count := 0
	for i, w := range p.wants {
		o, known := states[w.Target]
		if i == rank || !known || !o.Serving || o.Spec.Model != own.Spec.Model {
			continue
		}
		settled := o.Spec.Equal(w.Spec)
		if settled || i > rank {
			count++
		}
	}
	return count >= minimum
}

// slotWindow is how long after the start of its slot a target may start to load.
const slotWindow = 100 * time.Millisecond

// slotWidth is the time between the slots of two ranks. Any second meets the windows of at
// most loadsPerSecond slots, since they lie within a second and a window.
func (p *Plan) slotWidth() time.Duration {
	if p.loadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second+slotWindow)/p.loadsPerSecond) + 1
}

// Cycle is the time after which each target's slot comes again.
func (p *Plan) Cycle() time.Duration {
	return max(p.slotWidth()*time.Duration(len(p.wants)), slotWindow)
}

// NextSlot returns the start of the target's slot that contains now, or else the next one,
// on the wall clock.
func (p *Plan) NextSlot(target string, now time.Time) time.Time {
	_, rank, found := p.DesiredState(target)
	if !found || p.loadsPerSecond <= 0 {
		return now
	}
	cycle := p.Cycle()
	offset := time.Duration(rank) * p.slotWidth()
	since := (time.Duration(now.UnixNano()%int64(cycle)) - offset + cycle) % cycle
	if since < slotWindow {
		return now.Add(-since)
	}
	return now.Add(cycle - since)
}

// InSlot reports whether the target may start to load now.
func (p *Plan) InSlot(target string, now time.Time) bool {
	return p.loadsPerSecond <= 0 || !p.NextSlot(target, now).After(now)
}
