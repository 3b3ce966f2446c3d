// Package idempotent runs service calls that may be repeated: attempts that
// did not run or whose outcome is unknown are tried again at other targets,
// within the call's deadline and the retry budgets.
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
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 3
	// attemptFraction is the part of the time left that one attempt may take,
	// so that a silent target leaves time for another.
	attemptFraction = 3
	retryPause      = time.Second
)

// Executor runs calls. It is safe for concurrent use.
type Executor struct {
	picker  once.Picker
	service once.Attempter
	budget  once.Budget
}

// New returns an Executor.
func New(picker once.Picker, attempter once.Attempter, budget once.Budget) *Executor {
	return &Executor{picker: picker, service: attempter, budget: budget}
}

// Execute runs call until one attempt brings a whole answer. The error is an
// *apierror.Error.
func (e *Executor) Execute(ctx context.Context, call once.Call) (once.Answer, error) {
	var tried []string
	result := outcome.NotRun
	e.budget.First(call.Organisation)
	for n := 1; ; n++ {
		target, err := e.picker.Pick(ctx, call.Service, tried)
		if err != nil {
			return once.Answer{}, afterAttempts(err, result)
		}
		tried = append(tried, target.ID)
		if n == 1 {
			e.budget.First(target.ID)
		}
		r := e.attempt(ctx, target.Addr, call, n)
		if r.Leaving {
			e.picker.Leaving(target)
		}
		if r.Outcome == outcome.Done || r.Outcome == outcome.Failed {
			return once.Answer{Outcome: r.Outcome, Status: r.Status, Header: r.Header, Body: r.Body}, nil
		}
		result = worse(result, r.Outcome)
		if !e.mayRetry(ctx, n, call, target.ID) {
			return once.Answer{}, e.giveUp(ctx, result, r)
		}
	}
}

func (e *Executor) attempt(ctx context.Context, addr netip.AddrPort, call once.Call, n int) service.Result {
	if deadline, ok := ctx.Deadline(); ok && n < maxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/attemptFraction)
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
	return e.budget.Retry(call.Organisation) && e.budget.Retry(target)
}

// worse keeps Unknown once any attempt ended so.
func worse(a, b outcome.Outcome) outcome.Outcome {
	if a == outcome.Unknown || b == outcome.Unknown {
		return outcome.Unknown
	}
	return b
}

// afterAttempts corrects an error that says not run when an earlier attempt may have run.
func afterAttempts(err error, result outcome.Outcome) error {
	var e *apierror.Error
	if !errors.As(err, &e) {
		return apierror.New(apierror.KindNoTarget, result, "come back later", "no target can be picked: %s", err).WithRetryAfter(retryPause)
	}
	corrected := *e
	corrected.Outcome = result
	return &corrected
}

func (e *Executor) giveUp(ctx context.Context, result outcome.Outcome, last service.Result) error {
	if ctx.Err() != nil {
		return apierror.New(apierror.KindDeadline, result, "ask again with a longer time limit", "the time limit ended before a whole answer came").WithRetryAfter(retryPause)
	}
	if result == outcome.NotRun {
		return apierror.NotRun(apierror.KindNoTarget, "come back later", "no target took the call (%s)", last.Reason).WithRetryAfter(retryPause)
	}
	return apierror.New(apierror.KindTargetOutcomeUnknown, result, "repeat the call", "no whole answer came back (%s)", last.Reason).WithRetryAfter(retryPause)
}
