package reconcile

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/pause"
)

// parallelReads bounds the reads of other targets that one decision has open.
const parallelReads = 16

// attempt is one look at one target, and at most one order to it.
type attempt struct {
	r    *Reconciler
	plan *Plan
	want DesiredState
	mark pause.Mark // no pause since the plan was looked at
}

// run returns where the target stands and how long to wait before the next attempt.
func (a *attempt) run(ctx context.Context) (Phase, time.Duration) {
	interval := a.r.cfg.Bounds.Interval
	own, err := a.read(ctx, a.want.Target)
	if err != nil {
		return PhaseUnreadable, interval
	}
	if phase, done := a.compare(own); done {
		return phase, interval
	}
	if !a.r.settled() {
		return PhaseSettling, interval
	}
	wait := a.untilSlot(own)
	if wait > slotLead {
		return PhaseWaitingForSlot, min(interval, wait-slotLead)
	}
	if !a.mayChange(ctx, own) {
		return PhaseHeldByMinimum, interval
	}
	if !sleep(ctx, a.untilSlot(own)) {
		return PhaseWaitingForSlot, interval
	}
	return a.order(ctx, own)
}

// compare reports whether nothing is to be ordered.
func (a *attempt) compare(own ObservedState) (Phase, bool) {
	switch {
	case own.Fencing > a.plan.Revision():
		return PhaseOutdated, true
	case !own.Spec.Equal(a.want.Spec):
		return PhaseDiffers, false
	case !own.Serving:
		return PhaseLoading, true
	case a.want.ChecksFencing && own.Fencing < a.plan.Revision():
		return PhaseDiffers, false // same state, but it must learn the newer number
	}
	return PhaseInSync, true
}

// untilSlot is the time until the target may start what the order asks of it.
func (a *attempt) untilSlot(own ObservedState) time.Duration {
	if own.Spec.sameWeights(a.want.Spec) {
		return 0
	}
	now := a.r.cfg.Clock.Now()
	return max(0, a.plan.NextSlot(a.want.Target, now).Sub(now))
}

func (a *attempt) read(ctx context.Context, id string) (ObservedState, error) {
	t := a.r.cfg.Target(id)
	if t == nil {
		return ObservedState{}, errors.New("the target has no address")
	}
	a.r.stats.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, a.r.cfg.Bounds.Timeout)
	defer cancel()
	return t.ReadState(ctx)
}

// mayChange reports whether the order may take the target out of service.
func (a *attempt) mayChange(ctx context.Context, own ObservedState) bool {
	if own.Spec.Equal(a.want.Spec) || !own.Serving || a.plan.minimums[own.Spec.Model] <= 0 {
		return true
	}
	states := a.readOthers(ctx)
	states[a.want.Target] = own
	return a.plan.MayStopServing(a.want.Target, states)
}

func (a *attempt) readOthers(ctx context.Context) map[string]ObservedState {
	states := make(map[string]ObservedState)
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallelReads)
	for _, w := range a.plan.wants {
		if w.Target == a.want.Target || !a.r.cfg.Usable(w.Target) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			o, err := a.read(ctx, w.Target)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states[w.Target] = o
		})
	}
	wg.Wait()
	return states
}

// order sends the wanted state if everything that the decision rests on still holds, and
// reads the target again.
func (a *attempt) order(ctx context.Context, own ObservedState) (Phase, time.Duration) {
	interval := a.r.cfg.Bounds.Interval
	t := a.r.cfg.Target(a.want.Target)
	if t == nil {
		return PhaseUnreadable, interval
	}
	if phase, ok := a.check(own); !ok {
		return phase, interval
	}
	a.r.stats.orders.Add(1)
	orderCtx, cancel := context.WithTimeout(ctx, a.r.cfg.Bounds.Timeout)
	err := t.SetState(orderCtx, a.plan.Revision(), a.want.Spec)
	cancel()
	if errors.Is(err, ErrFenced) {
		a.r.stats.fenced.Add(1)
		return PhaseOutdated, interval
	}
	if !a.mark.Valid() || !a.current() {
		a.r.stats.late.Add(1)
		return PhaseRecheck, 0 // the order may have been late: look again at once
	}
	after, readErr := a.read(ctx, a.want.Target)
	if err != nil || readErr != nil {
		return PhaseUnreadable, interval
	}
	phase, _ := a.compare(after)
	return phase, interval
}

// check is the last step before an order.
func (a *attempt) check(own ObservedState) (Phase, bool) {
	now := a.r.cfg.Clock.Now()
	_, confirmed := a.r.plan()
	switch {
	case !a.current(), !a.r.cfg.Responsible(a.want.Target), !a.r.cfg.Usable(a.want.Target):
		return PhaseRecheck, false
	case !own.Spec.sameWeights(a.want.Spec) && !a.plan.InSlot(a.want.Target, now):
		return PhaseWaitingForSlot, false
	case a.needsConfirmation(own) && now.Sub(confirmed) > a.r.cfg.Bounds.ConfirmationTTL:
		a.r.stats.unconfirmed.Add(1)
		return PhaseUnconfirmed, false
	case !a.mark.Valid():
		a.r.stats.paused.Add(1)
		return PhaseRecheck, false
	}
	return PhaseDiffers, true
}

// needsConfirmation reports whether the order may go out only under a plan that was lately
// confirmed: no number protects the target, or it stops serving and the model's minimum counts on
// all processes having the same plan.
func (a *attempt) needsConfirmation(own ObservedState) bool {
	stops := own.Serving && !own.Spec.Equal(a.want.Spec)
	return stops || !a.want.ChecksFencing
}

// current reports whether the plan of the attempt is still in force.
func (a *attempt) current() bool {
	plan, _ := a.r.plan()
	return plan != nil && plan.Revision() == a.plan.Revision()
}
