package reconcile

import (
	"slices"
	"strings"
	"sync/atomic"
)

// Phase is the state of the reconciliation of one target.
type Phase string

// Phases of a target.
const (
	PhaseInSync         Phase = "in_sync"
	PhaseDiffers        Phase = "differs"
	PhaseLoading        Phase = "loading"
	PhaseSettling       Phase = "settling"         // the plan was adopted less than SettleDelay ago
	PhaseWaitingForSlot Phase = "waiting_for_slot" // until the load rate admits the load
	PhaseHeldByMinimum  Phase = "held_by_minimum"  // too few other targets serve the model
	PhaseUnconfirmed    Phase = "plan_unconfirmed" // the order needs a recently confirmed plan
	PhaseOutdated       Phase = "plan_outdated"    // the target has accepted an order from a newer plan
	PhaseUnreadable     Phase = "unreadable"
	PhaseRecheck        Phase = "recheck" // a condition changed during the attempt
)

// Status is the result of this process's last attempt at one target.
type Status struct {
	Target   string
	Revision uint64 // of the plan
	Phase    Phase
}

// Stats are the counters of a Reconciler.
type Stats struct {
	Reads              uint64
	Orders             uint64
	FencedOrders       uint64 // orders refused because of their fencing number
	LateOrders         uint64 // orders that may have been late: a pause or a new plan was detected after them
	SkippedPaused      uint64 // orders not sent because of a pause
	SkippedUnconfirmed uint64 // orders not sent because the plan was not confirmed recently
}

type counters struct {
	reads, orders, fencedOrders, lateOrders, skippedPaused, skippedUnconfirmed atomic.Uint64
}

// Stats returns the counters.
func (r *Reconciler) Stats() Stats {
	return Stats{
		Reads: r.stats.reads.Load(), Orders: r.stats.orders.Load(), FencedOrders: r.stats.fencedOrders.Load(),
		LateOrders: r.stats.lateOrders.Load(), SkippedPaused: r.stats.skippedPaused.Load(), SkippedUnconfirmed: r.stats.skippedUnconfirmed.Load(),
	}
}

// Status returns the status of each target that this process reconciles, sorted by target.
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

func (r *Reconciler) setStatus(target string, revision uint64, phase Phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status[target] = Status{Target: target, Revision: revision, Phase: phase}
}

func (r *Reconciler) removeStatus(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.status, target)
}
