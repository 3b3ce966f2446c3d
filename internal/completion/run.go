package completion

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/suspect"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/schedule"
)

// retryAfter is the Retry-After of errors that callers may retry.
const retryAfter = time.Second

// Attempt is the result of one attempt to run a prompt on an engine.
type Attempt struct {
	Outcome outcome.Outcome
	// Died is set if the engine's process ended during the attempt.
	Died         bool
	Tokens       int // tokens delivered to the sink
	FinishReason string
	Usage        engineapi.Usage
}

// PreparedPrompt is a prompt that can be run in any number of attempts.
type PreparedPrompt interface {
	// Attempt runs the prompt once under grant and passes each token once, in
	// order. The error is nil only if the response is complete.
	Attempt(ctx context.Context, grant schedule.Grant, token func(text string) error) (Attempt, error)
}

// Engines prepares prompts for attempts.
type Engines interface {
	Prepare(req Request) (PreparedPrompt, error)
}

// Suspects tracks the runs of prompts to detect those that crash targets.
type Suspects interface {
	// Acquire waits until the prompt may run, or rejects it with an
	// *apierror.Error.
	Acquire(ctx context.Context, fingerprint suspect.Fingerprint) (TrackedRun, error)
}

// TrackedRun is one run of a prompt, which may be a suspect.
type TrackedRun interface {
	// IsSuspect reports whether the prompt is suspected of crashing targets. It
	// must then run on a target without other suspects.
	IsSuspect() bool
	// ExcludedTargets lists targets on which the prompt must not run.
	ExcludedTargets() []string
	// Assign records the target before the prompt is sent to it. On an error
	// the prompt must not be sent to the target.
	Assign(target string) error
	// TargetDied records that the target's process ended during this run.
	TargetDied()
	// End ends the run and records whether it succeeded.
	End(succeeded bool)
}

// Arbiter runs suspects on the host that runs all suspects of the failure domain.
type Arbiter interface {
	// Run forwards a suspect to that host. It reports false if that is this
	// host, or if it is unreachable.
	Run(ctx context.Context, req Request, sink Sink) (Result, bool, error)
}

// Limiter enforces the rate limits of organisations.
type Limiter interface {
	// Take takes tokens from the organisation's rate limit, or returns an error
	// with the time to retry. It may wait until ctx ends.
	Take(ctx context.Context, org rules.Organisation, tokens int) error
}

// RetryBudget limits retries to a fraction of first attempts. Keys are targets.
type RetryBudget interface {
	// RecordFirstAttempt counts a first attempt, which adds to the key's retry budget.
	RecordFirstAttempt(key string)
	// AllowRetry reports whether a retry is allowed, and counts it if so.
	AllowRetry(key string) bool
}

// Overflow runs a prompt in another failure domain.
type Overflow interface {
	// Run reports false if no other domain accepts the prompt.
	Run(ctx context.Context, req Request, sink Sink) (Result, bool, error)
}

// Observer records attempts, tokens and latency for metrics.
type Observer interface {
	RecordAttempt(target string, result outcome.Outcome)
	RecordTokens(partner string, prompt, output int)
	// RecordSlowdown records the time to the first token divided by the time to the
	// first token on an idle engine.
	RecordSlowdown(class rules.Class, partner string, ratio float64)
}

// Estimator estimates token counts of prompts and the time to the first token.
type Estimator interface {
	PromptTokens(model string, bytes int) int
	// IdleTimeToFirstToken returns the expected time to the first token on an
	// engine without other load.
	IdleTimeToFirstToken(model string, promptTokens int) time.Duration
}

// LocalRunner runs prompts on the targets of the host's own failure domain, and
// in another domain if these have no capacity. It is safe for concurrent use.
type LocalRunner struct {
	Estimator Estimator
	Scheduler schedule.Scheduler
	Engines   Engines
	Suspects  Suspects
	Limiter   Limiter
	Retries   RetryBudget
	Overflow  Overflow // nil: prompts never run in another domain
	Arbiter   Arbiter  // nil: suspects run on this host
	Observer  Observer
	Clock     clock.Clock
}

// run is the state of one prompt over all its attempts.
type run struct {
	*LocalRunner
	req                  Request
	sink                 Sink
	prompt               PreparedPrompt
	fingerprint          suspect.Fingerprint
	tokens               int
	firstAttemptRecorded bool
	mayHaveRun           bool // an attempt ended with an outcome other than not run
	exclude              []string
}

// Run runs req and passes its output tokens to sink. The error is an
// *apierror.Error.
func (l *LocalRunner) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	r := &run{LocalRunner: l, req: req, sink: sink}
	r.tokens = l.Estimator.PromptTokens(req.Model, len(req.Prompt))
	if !req.Forwarded {
		if err := l.Limiter.Take(ctx, req.Organisation, r.tokens+req.MaxTokens); err != nil {
			return Result{}, err
		}
	}
	r.fingerprint = Fingerprint(req)
	prompt, err := l.Engines.Prepare(req)
	if err != nil {
		return Result{}, err
	}
	r.prompt = prompt
	result, err := r.runAttempts(ctx)
	if err != nil {
		return Result{}, r.withCombinedOutcome(err)
	}
	l.Observer.RecordTokens(req.Partner, result.Usage.PromptTokens, result.Usage.OutputTokens)
	return result, nil
}

// withCombinedOutcome returns err with the combined outcome of all attempts: err
// may say not run although an earlier attempt may have run.
func (r *run) withCombinedOutcome(err error) error {
	e := apierror.From(err)
	if e.Outcome != outcome.NotRun || !r.mayHaveRun {
		return e
	}
	corrected := *e
	corrected.Outcome = outcome.Unknown
	return &corrected
}

// runAttempts attempts the prompt until it completes or may not be retried.
func (r *run) runAttempts(ctx context.Context) (Result, error) {
	for {
		result, retry, err := r.attemptOnTarget(ctx)
		if !retry {
			return result, err
		}
	}
}

// attemptOnTarget makes one attempt, which has a tracked run of its own.
// It reports whether the prompt should be retried.
func (r *run) attemptOnTarget(ctx context.Context) (Result, bool, error) {
	trackedRun, err := r.Suspects.Acquire(ctx, r.fingerprint)
	if err != nil {
		return Result{}, false, r.deadlineErrorOr(ctx, err)
	}
	succeeded := false
	defer func() { trackedRun.End(succeeded) }()
	if trackedRun.IsSuspect() && r.Arbiter != nil && !r.req.Forwarded {
		if result, accepted, err := r.Arbiter.Run(ctx, r.req, r.sink); accepted {
			return result, false, err
		}
	}
	grant, err := r.acquire(ctx, trackedRun)
	if err != nil {
		result, err := r.tryOverflow(ctx, err)
		return result, false, err
	}
	target := grant.Target().ID
	if err := trackedRun.Assign(target); err != nil {
		grant.Release(r.Clock.Now(), outcome.NotRun)
		return Result{}, r.mayRetryAfterAssign(target, err), err
	}
	r.recordFirstAttempt(target)
	attempt, err := r.attempt(ctx, grant, trackedRun)
	if err == nil {
		succeeded = true
		return Result{FinishReason: attempt.FinishReason, Usage: attempt.Usage}, false, nil
	}
	r.exclude = append(r.exclude, target)
	finalErr := r.checkRetry(ctx, target, attempt, err)
	return Result{}, finalErr == nil, finalErr
}

// recordFirstAttempt records the prompt's first attempt in the retry budget. Later calls
// have no effect.
func (r *run) recordFirstAttempt(target string) {
	if !r.firstAttemptRecorded {
		r.Retries.RecordFirstAttempt(target)
	}
	r.firstAttemptRecorded = true
}

// mayRetryAfterAssign reports whether the prompt may be retried after Assign
// rejected target with err. A target on which the suspect must not run is excluded
// from then on; a suspect that is on hold may be retried on any target.
func (r *run) mayRetryAfterAssign(target string, err error) bool {
	var excluded *suspect.ExcludedTargetError
	if errors.As(err, &excluded) {
		r.exclude = append(r.exclude, target)
		return true
	}
	var held *suspect.HeldError
	return errors.As(err, &held)
}

func (r *run) acquire(ctx context.Context, trackedRun TrackedRun) (schedule.Grant, error) {
	return r.Scheduler.Acquire(ctx, schedule.Request{
		ID: r.req.ID, Partner: r.req.Partner, Organisation: r.req.Organisation.Name, Model: r.req.Model,
		PromptTokens: r.tokens, MaxTokens: r.req.MaxTokens, Arrival: r.req.Arrival, Deadline: r.req.Deadline,
		PrefixHashes: engineapi.PrefixHashes(r.req.Prompt), Exclude: append(trackedRun.ExcludedTargets(), r.exclude...), Suspect: trackedRun.IsSuspect(),
	})
}

// attempt runs the prompt once under grant.
func (r *run) attempt(ctx context.Context, grant schedule.Grant, trackedRun TrackedRun) (Attempt, error) {
	target := grant.Target()
	firstTokenSeen := false
	attempt, err := r.prompt.Attempt(ctx, grant, func(text string) error {
		if !firstTokenSeen {
			firstTokenSeen = true
			grant.FirstToken(r.Clock.Now())
			r.observeSlowdown(r.Clock.Now())
		}
		return r.sink.Token(text)
	})
	if attempt.Died {
		trackedRun.TargetDied()
	}
	grant.Release(r.Clock.Now(), attempt.Outcome)
	r.Observer.RecordAttempt(target.ID, attempt.Outcome)
	r.mayHaveRun = r.mayHaveRun || attempt.Outcome != outcome.NotRun
	return attempt, err
}

// observeSlowdown records the time to the first token, relative to an idle engine.
func (r *run) observeSlowdown(at time.Time) {
	idle := r.Estimator.IdleTimeToFirstToken(r.req.Model, r.tokens)
	if idle > 0 {
		r.Observer.RecordSlowdown(rules.ClassOf(r.tokens), r.req.Partner, max(1, float64(at.Sub(r.req.Arrival))/float64(idle)))
	}
}

// checkRetry returns nil if another attempt is allowed, or the final error. Output
// that was partly sent to the caller is never continued by another attempt.
func (r *run) checkRetry(ctx context.Context, target string, attempt Attempt, cause error) error {
	switch {
	case ctx.Err() != nil:
		return r.deadlineError(attempt.Outcome)
	case attempt.Outcome == outcome.Failed && !attempt.Died:
		return cause
	case !r.sink.Reset():
		return cause
	case !r.Retries.AllowRetry(target):
		return apierror.New(apierror.KindTargetFailed, attempt.Outcome, "come back later", "target %s failed and the retry budget is used up", target).WithRetryAfter(retryAfter)
	}
	return nil
}

// deadlineErrorOr returns a deadline error if ctx has ended, and err otherwise.
func (r *run) deadlineErrorOr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return r.deadlineError(outcome.NotRun)
	}
	return err
}

// tryOverflow runs the prompt in another failure domain if this one rejected it
// for lack of capacity. It returns the rejection if no other domain accepts it.
func (r *run) tryOverflow(ctx context.Context, refused error) (Result, error) {
	if errors.Is(refused, context.DeadlineExceeded) || errors.Is(refused, context.Canceled) {
		return Result{}, r.deadlineError(outcome.NotRun)
	}
	e := apierror.From(refused)
	full := e.Kind == apierror.KindOverloaded || e.Kind == apierror.KindNoTarget
	if r.Overflow == nil || r.req.Forwarded || !full {
		return Result{}, refused
	}
	result, accepted, err := r.Overflow.Run(ctx, r.req, r.sink)
	if !accepted {
		return Result{}, refused
	}
	return result, err
}

func (r *run) deadlineError(result outcome.Outcome) error {
	e := apierror.New(apierror.KindDeadline, result, "ask again with a longer time limit", "the time limit of %s is over", r.req.Deadline.Sub(r.req.Arrival))
	return e.WithRetryAfter(retryAfter)
}

// Fingerprint returns a hash of the work that a target would run for req. It does
// not depend on the caller.
func Fingerprint(req Request) suspect.Fingerprint {
	parts := [][]byte{[]byte(req.Model), []byte(req.Adapter), []byte(req.Prompt), []byte(strconv.Itoa(req.MaxTokens))}
	for _, stop := range req.Stop {
		parts = append(parts, []byte(stop))
	}
	return suspect.FingerprintOf(parts...)
}
