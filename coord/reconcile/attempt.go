package reconcile

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/pause"
)

// maxParallelReads is the maximum number of concurrent reads of other targets for one decision.
const maxParallelReads = 16

// attempt reads one target and sends it at most one order.
type attempt struct {
	r       *Reconciler
	plan    *Plan
	desired DesiredState
	mark    pause.Mark // taken when the plan was read; invalid after a pause
}

// run returns the phase of the target and the time to wait before the next attempt.
func (a *attempt) run(ctx context.Context) (Phase, time.Duration) {
	interval := a.r.cfg.Timing.Interval
	observed, err := a.read(ctx, a.desired.Target)
	if err != nil {
		return PhaseUnreadable, interval
	}
	if phase, done := a.compare(observed); done {
		return phase, interval
	}
	if !a.r.settleDelayElapsed() {
		return PhaseSettling, interval
	}
	wait := a.timeUntilSlot(observed)
	if wait > slotLeadTime {
		return PhaseWaitingForSlot, min(interval, wait-slotLeadTime)
	}
	if !a.minimumAllowsChange(ctx, observed) {
		return PhaseHeldByMinimum, interval
	}
	if !sleep(ctx, a.timeUntilSlot(observed)) {
		return PhaseWaitingForSlot, interval
	}
	return a.sendOrder(ctx, observed)
}

// compare returns the phase that follows from the target's observed state, and true if no
// order is needed.
func (a *attempt) compare(observed ObservedState) (Phase, bool) {
	switch {
	case observed.Fencing > a.plan.Revision():
		return PhaseOutdated, true
	case !observed.Spec.Equal(a.desired.Spec):
		return PhaseDiffers, false
	case !observed.Serving:
		return PhaseLoading, true
	case a.desired.ChecksFencing && observed.Fencing < a.plan.Revision():
		return PhaseDiffers, false // same state, but the target must store the newer fencing number
	}
	return PhaseInSync, true
}

// timeUntilSlot returns the time until the target may start the load that the order requires;
// zero if the order requires none.
func (a *attempt) timeUntilSlot(observed ObservedState) time.Duration {
	if observed.Spec.sameWeights(a.desired.Spec) {
		return 0
	}
	now := a.r.cfg.Clock.Now()
	return max(0, a.plan.NextSlot(a.desired.Target, now).Sub(now))
}

func (a *attempt) read(ctx context.Context, id string) (ObservedState, error) {
	t := a.r.cfg.Target(id)
	if t == nil {
		return ObservedState{}, errors.New("the target has no address")
	}
	a.r.stats.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, a.r.cfg.Timing.Timeout)
	defer cancel()
	return t.ReadState(ctx)
}

// minimumAllowsChange reports whether the model's minimum allows the change that the order makes.
func (a *attempt) minimumAllowsChange(ctx context.Context, observed ObservedState) bool {
	if observed.Spec.Equal(a.desired.Spec) || !observed.Serving || a.plan.minimums[observed.Spec.Model] <= 0 {
		return true
	}
	states := a.readOthers(ctx)
	states[a.desired.Target] = observed
	return a.plan.MayStopServing(a.desired.Target, states)
}

func (a *attempt) readOthers(ctx context.Context) map[string]ObservedState {
	states := make(map[string]ObservedState)
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxParallelReads)
	for _, other := range a.plan.desired {
		if other.Target == a.desired.Target || !a.r.cfg.IsUsable(other.Target) {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			state, err := a.read(ctx, other.Target)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states[other.Target] = state
		})
	}
	wg.Wait()
	return states
}

// sendOrder sends an order if the conditions of the decision still hold, and then reads the
// target again.
func (a *attempt) sendOrder(ctx context.Context, observed ObservedState) (Phase, time.Duration) {
	interval := a.r.cfg.Timing.Interval
	t := a.r.cfg.Target(a.desired.Target)
	if t == nil {
		return PhaseUnreadable, interval
	}
	if phase, ok := a.checkBeforeSend(observed); !ok {
		return phase, interval
	}
	a.r.stats.orders.Add(1)
	orderCtx, cancel := context.WithTimeout(ctx, a.r.cfg.Timing.Timeout)
	err := t.SetState(orderCtx, a.plan.Revision(), a.desired.Spec)
	cancel()
	if errors.Is(err, ErrFenced) {
		a.r.stats.fencedOrders.Add(1)
		return PhaseOutdated, interval
	}
	if !a.mark.Valid() || !a.planIsCurrent() {
		a.r.stats.lateOrders.Add(1)
		return PhaseRecheck, 0 // the order may have been late: read the target again immediately
	}
	after, readErr := a.read(ctx, a.desired.Target)
	if err != nil || readErr != nil {
		return PhaseUnreadable, interval
	}
	phase, _ := a.compare(after)
	return phase, interval
}

// checkBeforeSend makes the checks that must hold immediately before the order is sent. The
// mark is checked last.
func (a *attempt) checkBeforeSend(observed ObservedState) (Phase, bool) {
	now := a.r.cfg.Clock.Now()
	_, confirmed := a.r.plan()
	switch {
	case !a.planIsCurrent(), !a.r.cfg.IsResponsible(a.desired.Target), !a.r.cfg.IsUsable(a.desired.Target):
		return PhaseRecheck, false
	case !observed.Spec.sameWeights(a.desired.Spec) && !a.plan.InSlot(a.desired.Target, now):
		return PhaseWaitingForSlot, false
	case a.needsConfirmation(observed) && now.Sub(confirmed) > a.r.cfg.Timing.ConfirmationTTL:
		a.r.stats.skippedUnconfirmed.Add(1)
		return PhaseUnconfirmed, false
	case !a.mark.Valid():
		a.r.stats.skippedPaused.Add(1)
		return PhaseRecheck, false
	}
	return PhaseDiffers, true
}

// needsConfirmation reports whether the order may be sent only if the plan has been confirmed
// recently: either the target does not check fencing numbers, or it stops serving and the
// model's minimum holds only if all processes use the same plan.
func (a *attempt) needsConfirmation(observed ObservedState) bool {
	stops := observed.Serving && !observed.Spec.Equal(a.desired.Spec)
	return stops || !a.desired.ChecksFencing
}

// planIsCurrent reports whether the attempt's plan is still the current one.
func (a *attempt) planIsCurrent() bool {
	plan, _ := a.r.plan()
	return plan != nil && plan.Revision() == a.plan.Revision()
}
