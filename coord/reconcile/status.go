package reconcile

import (
	"slices"
	"strings"
	"sync/atomic"
)

// Phase tells where a target stands with regard to the plan.
type Phase string

// The phases of a target.
const (
	PhaseInSync         Phase = "in_sync"
	PhaseDiffers        Phase = "differs"
	PhaseLoading        Phase = "loading"
	PhaseSettling       Phase = "settling"         // the plan is new
	PhaseWaitingForSlot Phase = "waiting_for_slot" // for the rate of loads
	PhaseHeldByMinimum  Phase = "held_by_minimum"  // too few others serve the model
	PhaseUnconfirmed    Phase = "plan_unconfirmed" // the target doesn't check fencing
	PhaseOutdated       Phase = "plan_outdated"    // the target knows a newer plan
	PhaseUnreadable     Phase = "unreadable"
	PhaseRecheck        Phase = "recheck" // something changed on the way
)

// Status is where one target stood when this process last looked.
type Status struct {
	Target   string
	Revision uint64 // of the plan
	Phase    Phase
}

// Stats are a reconciler's counters.
type Stats struct {
	Reads       uint64
	Orders      uint64
	Fenced      uint64 // orders refused for their fencing number
	Late        uint64 // orders after which a pause or a new plan was noticed
	Paused      uint64 // orders not sent because of a pause
	Unconfirmed uint64 // orders not sent because the plan was not confirmed
}

type counters struct {
	reads, orders, fenced, late, paused, unconfirmed atomic.Uint64
}

// Stats returns the counters.
func (r *Reconciler) Stats() Stats {
	return Stats{
		Reads: r.stats.reads.Load(), Orders: r.stats.orders.Load(), Fenced: r.stats.fenced.Load(),
		Late: r.stats.late.Load(), Paused: r.stats.paused.Load(), Unconfirmed: r.stats.unconfirmed.Load(),
	}
}

// Status returns where the targets of this process stand, sorted by target.
func (r *Reconciler) Status() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Status, 0, len(r.status))
	for _, s := range r.status {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Target, b.Target) })
	return all
}

func (r *Reconciler) note(target string, revision uint64, phase Phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status[target] = Status{Target: target, Revision: revision, Phase: phase}
}

func (r *Reconciler) forget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.status, target)
}
