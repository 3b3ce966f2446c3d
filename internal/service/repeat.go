package service

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Picker chooses targets from the target list.
type Picker interface {
	// Pick returns a target of the service that is not among exclude (ids), or
	// an *apierror.Error. It must return only addresses on the target list.
	Pick(ctx context.Context, service string, exclude []string) (topology.Target, error)
	// Leaving records that the target said that it is leaving.
	Leaving(target topology.Target)
}

// Budget bounds retries. Keys are organisations and targets.
type Budget interface {
	// First counts a first try.
	First(key string)
	// Retry reports whether a retry is allowed, and counts it if so.
	Retry(key string) bool
}

// Repeater runs idempotent calls, and repeats failed attempts at other targets
// within the call's time limit and the retry budgets. It is safe for
// concurrent use.
type Repeater struct {
	client      *Client
	picker      Picker
	budget      Budget
	maxAttempts int
	first       atomic.Int64
	retries     atomic.Int64
}

// RepeaterStats counts a Repeater's attempts.
type RepeaterStats struct {
	First   int64
	Retries int64
}

// NewRepeater returns a Repeater that makes at most maxAttempts per call.
func NewRepeater(client *Client, picker Picker, budget Budget, maxAttempts int) *Repeater {
	return &Repeater{client: client, picker: picker, budget: budget, maxAttempts: maxAttempts}
}

// Do runs the call for the organisation at a target of the service. The
// context must have the call's deadline. An attempt that is not the last gets
// half of the time that is left, so that a silent target leaves time for
// another one. The error is an *apierror.Error; an answer with a status of 500
// or above is a result.
func (r *Repeater) Do(ctx context.Context, organisation, service string, call Call) (Result, error) {
	var tried []string
	var last Result
	id := call.ID
	call.Idempotent = true
	for n := 1; n <= r.maxAttempts && ctx.Err() == nil; n++ {
		target, ok, err := r.next(ctx, n, organisation, service, tried)
		if err != nil && n == 1 {
			return Result{}, err
		}
		if !ok {
			break
		}
		tried = append(tried, target.ID)
		call.ID = fmt.Sprintf("%s.%d", id, n)
		last = r.try(ctx, n, target, call)
		if last.Outcome == outcome.Done || last.Outcome == outcome.Failed {
			return last, nil
		}
	}
	return last, exhausted(last)
}

// next picks the target of the n-th attempt and charges the budgets.
func (r *Repeater) next(ctx context.Context, n int, organisation, service string, tried []string) (topology.Target, bool, error) {
	target, err := r.picker.Pick(ctx, service, tried)
	if err != nil {
		return topology.Target{}, false, err
	}
	if n == 1 {
		r.first.Add(1)
		r.budget.First(organisation)
		r.budget.First(target.ID)
		return target, true, nil
	}
	if !r.budget.Retry(organisation) || !r.budget.Retry(target.ID) {
		return topology.Target{}, false, nil
	}
	r.retries.Add(1)
	return target, true, nil
}

// try makes one attempt within its part of the time.
func (r *Repeater) try(ctx context.Context, n int, target topology.Target, call Call) Result {
	if deadline, ok := ctx.Deadline(); ok && n < r.maxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	result := r.client.Do(ctx, target.Addr, call)
	if result.Leaving {
		r.picker.Leaving(target)
	}
	return result
}

// exhausted is what a caller is told when no attempt brought an answer.
func exhausted(last Result) error {
	const remedy = "send the call again later; it may be repeated"
	if last.Outcome == outcome.NotRun {
		return apierror.New(apierror.KindNoTarget, outcome.Unknown, remedy, "no target took the call (%s)", last.Reason).After(time.Second)
	}
	return apierror.New(apierror.KindTargetUnknown, outcome.Unknown, remedy, "no target answered in full (%s)", last.Reason).After(time.Second)
}

// Stats returns the current counts.
func (r *Repeater) Stats() RepeaterStats {
	return RepeaterStats{First: r.first.Load(), Retries: r.retries.Load()}
}
