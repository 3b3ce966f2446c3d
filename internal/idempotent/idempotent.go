// Package idempotent runs idempotent service calls. An attempt that did not run
// or whose outcome is unknown is retried on another target, within the call's
// deadline and the retry budgets.
package idempotent

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/once"
	"github.com/plantainrun/plantainrun/internal/service"
)

const (
	// maxAttempts includes the first attempt of a call.
	maxAttempts = 3
	// attemptTimeDivisor limits each attempt but the last to a third of the
	// remaining time, so that a target that does not respond leaves time for a retry.
	attemptTimeDivisor = 3
	retryAfter         = time.Second
)

// Executor runs idempotent calls with retries. It is safe for concurrent use.
type Executor struct {
	picker  once.Picker
	service once.ServiceClient
	budget  once.RetryBudget
}

// New returns an Executor that charges its retries to budget.
func New(picker once.Picker, svc once.ServiceClient, budget once.RetryBudget) *Executor {
	return &Executor{picker: picker, service: svc, budget: budget}
}

// Execute makes attempts until one gets a complete response. The error is an
// *apierror.Error.
func (e *Executor) Execute(ctx context.Context, call once.Call) (once.Response, error) {
	var tried []string
	combined := outcome.NotRun
	e.budget.RecordFirstAttempt(call.Organisation)
	for n := 1; ; n++ {
		target, err := e.picker.Pick(ctx, call.Service, tried)
		if err != nil {
			return once.Response{}, withCombinedOutcome(err, combined)
		}
		tried = append(tried, target.ID)
		if n == 1 {
			e.budget.RecordFirstAttempt(target.ID)
		}
		r := e.attempt(ctx, target.Addr, call, n)
		if r.Leaving {
			e.picker.MarkLeaving(target)
		}
		if r.Outcome == outcome.Done || r.Outcome == outcome.Failed {
			return once.Response{Outcome: r.Outcome, Status: r.Status, Header: r.Header, Body: r.Body}, nil
		}
		combined = combineOutcomes(combined, r.Outcome)
		if !e.mayRetry(ctx, n, call, target.ID) {
			return once.Response{}, e.finalError(ctx, combined, r)
		}
	}
}

func (e *Executor) attempt(ctx context.Context, addr netip.AddrPort, call once.Call, n int) service.Result {
	if deadline, ok := ctx.Deadline(); ok && n < maxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/attemptTimeDivisor)
		defer cancel()
	}
	return e.service.Do(ctx, addr, service.Call{
		ID: call.ID + "." + strconv.Itoa(n), Method: call.Method, Path: call.Path,
		Header: call.Header, Body: call.Body, Idempotent: true,
	})
}

func (e *Executor) mayRetry(ctx context.Context, n int, call once.Call, target string) bool {
	if ctx.Err() != nil || n >= maxAttempts {
		return false
	}
	return e.budget.AllowRetry(call.Organisation) && e.budget.AllowRetry(target)
}

// combineOutcomes returns Unknown if the outcome of any attempt is unknown, and
// otherwise the last outcome b.
func combineOutcomes(a, b outcome.Outcome) outcome.Outcome {
	if a == outcome.Unknown || b == outcome.Unknown {
		return outcome.Unknown
	}
	return b
}

// withCombinedOutcome returns err with the combined outcome of all attempts: err
// may say not run although an earlier attempt may have run.
func withCombinedOutcome(err error, result outcome.Outcome) error {
	var e *apierror.Error
	if !errors.As(err, &e) {
		return apierror.New(apierror.KindNoTarget, result, "come back later", "no target can be picked: %s", err).WithRetryAfter(retryAfter)
	}
	corrected := *e
	corrected.Outcome = result
	return &corrected
}

func (e *Executor) finalError(ctx context.Context, result outcome.Outcome, last service.Result) error {
	if ctx.Err() != nil {
		return apierror.New(apierror.KindDeadline, result, "ask again with a longer time limit", "the time limit ended before a whole answer came").WithRetryAfter(retryAfter)
	}
	if result == outcome.NotRun {
		return apierror.NotRun(apierror.KindNoTarget, "come back later", "no target took the call (%s)", last.Reason).WithRetryAfter(retryAfter)
	}
	return apierror.New(apierror.KindTargetOutcomeUnknown, result, "repeat the call", "no whole answer came back (%s)", last.Reason).WithRetryAfter(retryAfter)
}
