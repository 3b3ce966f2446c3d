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

// retryPause is how long a caller should wait after a target failed it.
const retryPause = time.Second

// Attempt is the result of one attempt at an engine.
type Attempt struct {
	Outcome outcome.Outcome
	// Died is set when the engine's process ended during the attempt.
	Died   bool
	Tokens int // tokens that reached the sink
	Reason string
	Usage  engineapi.Usage
}

// Call is one prompt prepared for any number of attempts.
type Call interface {
	// Attempt runs the prompt once under grant and passes each token once, in
	// order. A nil error comes only with a whole answer.
	Attempt(ctx context.Context, grant schedule.Grant, token func(text string) error) (Attempt, error)
}

// Engines prepares prompts for attempts.
type Engines interface {
	Prepare(req Request) (Call, error)
}

// Suspects keeps account of prompts that crash targets.
type Suspects interface {
	// Acquire waits until the prompt may run, or refuses it with an
	// *apierror.Error.
	Acquire(ctx context.Context, fingerprint suspect.Fingerprint) (SuspectRun, error)
}

// SuspectRun is one prompt's account.
type SuspectRun interface {
	// IsSuspect asks for a target on which no other suspect runs.
	IsSuspect() bool
	// ExcludedTargets lists targets on which the prompt must not run.
	ExcludedTargets() []string
	// Assign records where the prompt is about to run. On an error nothing may be sent there.
	Assign(target string) error
	// TargetDied records that the target's process died under this run.
	TargetDied()
	// End closes the account.
	End(succeeded bool)
}

// Arbiter runs the suspects of the failure domain.
type Arbiter interface {
	// Run runs a suspect at the host that sees all of them. It reports false
	// when that is this host, or when it cannot be reached.
	Run(ctx context.Context, req Request, sink Sink) (Result, bool, error)
}

// Limiter holds back organisations that are over their limit.
type Limiter interface {
	// Take takes tokens of the organisation's limit, or returns a refusal with
	// when to come back. It may wait within the context's time.
	Take(ctx context.Context, org rules.Organisation, tokens int) error
}

// RetryBudget bounds retries as a fraction of first tries.
type RetryBudget interface {
	First(key string)
	Retry(key string) bool
}

// Overflow runs a prompt in another failure domain.
type Overflow interface {
	// Run reports false when no other domain can take the prompt.
	Run(ctx context.Context, req Request, sink Sink) (Result, bool, error)
}

// Observer counts attempts and tokens.
type Observer interface {
	Attempt(target string, result outcome.Outcome)
	Tokens(partner string, prompt, output int)
	// Slowdown records the time to the first token over that on an idle engine.
	Slowdown(class rules.Class, partner string, ratio float64)
}

// Estimator turns prompts into tokens and tokens into time.
type Estimator interface {
	PromptTokens(model string, bytes int) int
	// IdleFirstToken is the time to the first token on an idle engine.
	IdleFirstToken(model string, promptTokens int) time.Duration
}

// Local runs prompts on the targets of the host's own failure domain, and
// elsewhere when these are full. It is safe for concurrent use.
type Local struct {
	Estimator Estimator
	Scheduler schedule.Scheduler
	Engines   Engines
	Suspects  Suspects
	Limiter   Limiter
	Retries   RetryBudget
	Overflow  Overflow // nil: none
	Arbiter   Arbiter  // nil: none
	Observer  Observer
	Clock     clock.Clock
}

// run is the state of one prompt.
type run struct {
	*Local
	req         Request
	sink        Sink
	call        Call
	fingerprint suspect.Fingerprint
	tokens      int
	tried       bool
	mayHaveRun  bool // an attempt ended otherwise than not run
	exclude     []string
}

// Run runs req and passes its tokens to sink. The error is an *apierror.Error.
func (l *Local) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	r := &run{Local: l, req: req, sink: sink}
	r.tokens = l.Estimator.PromptTokens(req.Model, len(req.Prompt))
	if !req.Forwarded {
		if err := l.Limiter.Take(ctx, req.Organisation, r.tokens+req.MaxTokens); err != nil {
			return Result{}, err
		}
	}
	r.fingerprint = Fingerprint(req)
	call, err := l.Engines.Prepare(req)
	if err != nil {
		return Result{}, err
	}
	r.call = call
	result, err := r.tries(ctx)
	if err != nil {
		return Result{}, r.truthful(err)
	}
	l.Observer.Tokens(req.Partner, result.Usage.PromptTokens, result.Usage.OutputTokens)
	return result, nil
}

// truthful corrects an error that says not run when an earlier attempt may
// have run.
func (r *run) truthful(err error) error {
	e := apierror.From(err)
	if e.Outcome != outcome.NotRun || !r.mayHaveRun {
		return e
	}
	corrected := *e
	corrected.Outcome = outcome.Unknown
	return &corrected
}

// tries tries targets until one answers in full or the prompt is given up.
func (r *run) tries(ctx context.Context) (Result, error) {
	for {
		result, again, err := r.try(ctx)
		if !again {
			return result, err
		}
	}
}

// try makes one attempt, with an account of its own at the suspects. It
// reports whether another one is wanted.
func (r *run) try(ctx context.Context) (Result, bool, error) {
	account, err := r.Suspects.Acquire(ctx, r.fingerprint)
	if err != nil {
		return Result{}, false, r.orDeadline(ctx, err)
	}
	succeeded := false
	defer func() { account.End(succeeded) }()
	if account.IsSuspect() && r.Arbiter != nil && !r.req.Forwarded {
		if result, taken, err := r.Arbiter.Run(ctx, r.req, r.sink); taken {
			return result, false, err
		}
	}
	grant, err := r.acquire(ctx, account)
	if err != nil {
		result, err := r.elsewhere(ctx, err)
		return result, false, err
	}
	target := grant.Target().ID
	if err := account.Assign(target); err != nil {
		grant.Release(r.Clock.Now(), outcome.NotRun)
		return Result{}, r.mayAvoid(target, err), err
	}
	r.countFirst(target)
	attempt, err := r.attempt(ctx, grant, account)
	if err == nil {
		succeeded = true
		return Result{Reason: attempt.Reason, Usage: attempt.Usage}, false, nil
	}
	r.exclude = append(r.exclude, target)
	final := r.mayRetry(ctx, target, attempt, err)
	return Result{}, final == nil, final
}

func (r *run) countFirst(target string) {
	if !r.tried {
		r.Retries.First(target)
	}
	r.tried = true
}

// mayAvoid reports whether another target may be tried instead of one on
// which a suspect must not run, or while the prompt is being judged.
func (r *run) mayAvoid(target string, err error) bool {
	var avoid *suspect.ExcludedTargetError
	if errors.As(err, &avoid) {
		r.exclude = append(r.exclude, target)
		return true
	}
	var held *suspect.HeldError
	return errors.As(err, &held)
}

func (r *run) acquire(ctx context.Context, account SuspectRun) (schedule.Grant, error) {
	return r.Scheduler.Acquire(ctx, schedule.Request{
		ID: r.req.ID, Partner: r.req.Partner, Organisation: r.req.Organisation.Name, Model: r.req.Model,
		PromptTokens: r.tokens, MaxTokens: r.req.MaxTokens, Arrival: r.req.Arrival, Deadline: r.req.Deadline,
		PrefixHashes: engineapi.PrefixHashes(r.req.Prompt), Exclude: append(account.ExcludedTargets(), r.exclude...), Alone: account.IsSuspect(),
	})
}

// attempt runs the prompt once under grant.
func (r *run) attempt(ctx context.Context, grant schedule.Grant, account SuspectRun) (Attempt, error) {
	target := grant.Target()
	seen := false
	attempt, err := r.call.Attempt(ctx, grant, func(text string) error {
		if !seen {
			seen = true
			grant.FirstToken(r.Clock.Now())
			r.observeSlowdown(r.Clock.Now())
		}
		return r.sink.Token(text)
	})
	if attempt.Died {
		account.TargetDied()
	}
	grant.Release(r.Clock.Now(), attempt.Outcome)
	r.Observer.Attempt(target.ID, attempt.Outcome)
	r.mayHaveRun = r.mayHaveRun || attempt.Outcome != outcome.NotRun
	return attempt, err
}

// observeSlowdown records the first token that the caller gets.
func (r *run) observeSlowdown(at time.Time) {
	idle := r.Estimator.IdleFirstToken(r.req.Model, r.tokens)
	if idle > 0 {
		r.Observer.Slowdown(rules.ClassOf(r.tokens), r.req.Partner, max(1, float64(at.Sub(r.req.Arrival))/float64(idle)))
	}
}

// mayRetry returns nil when another attempt is allowed, or the final error.
// Text that already left is never continued by another run.
func (r *run) mayRetry(ctx context.Context, target string, attempt Attempt, cause error) error {
	switch {
	case ctx.Err() != nil:
		return r.deadline(attempt.Outcome)
	case attempt.Outcome == outcome.Failed && !attempt.Died:
		return cause
	case !r.sink.Reset():
		return cause
	case !r.Retries.Retry(target):
		return apierror.New(apierror.KindTargetFailed, attempt.Outcome, "come back later", "target %s failed and the retry budget is used up", target).WithRetryAfter(retryPause)
	}
	return nil
}

// orDeadline turns the end of ctx into the caller's error.
func (r *run) orDeadline(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return r.deadline(outcome.NotRun)
	}
	return err
}

// elsewhere tries another failure domain after the own one refused.
func (r *run) elsewhere(ctx context.Context, refused error) (Result, error) {
	if errors.Is(refused, context.DeadlineExceeded) || errors.Is(refused, context.Canceled) {
		return Result{}, r.deadline(outcome.NotRun)
	}
	e := apierror.From(refused)
	full := e.Kind == apierror.KindOverloaded || e.Kind == apierror.KindNoTarget
	if r.Overflow == nil || r.req.Forwarded || !full {
		return Result{}, refused
	}
	result, taken, err := r.Overflow.Run(ctx, r.req, r.sink)
	if !taken {
		return Result{}, refused
	}
	return result, err
}

func (r *run) deadline(result outcome.Outcome) error {
	e := apierror.New(apierror.KindDeadline, result, "ask again with a longer time limit", "the time limit of %s is over", r.req.Deadline.Sub(r.req.Arrival))
	return e.WithRetryAfter(retryPause)
}

// Fingerprint is a hash of what a target would run, whoever asks for it.
func Fingerprint(req Request) suspect.Fingerprint {
	parts := [][]byte{[]byte(req.Model), []byte(req.Adapter), []byte(req.Prompt), []byte(strconv.Itoa(req.MaxTokens))}
	for _, stop := range req.Stop {
		parts = append(parts, []byte(stop))
	}
	return suspect.FingerprintOf(parts...)
}
