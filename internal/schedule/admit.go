package schedule

import (
	"math"
	"time"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// Retry-After values of refused requests.
const (
	minRetryAfter      = time.Second
	maxRetryAfter      = time.Minute
	noTargetRetryAfter = 2 * time.Second
)

// admit returns an error for a request that is predicted to miss its deadline or
// does not fit into memory.
func (p *pool) admit(now time.Time, w *waiter) error {
	var fits bool
	if w.fit, fits = w.route.fitFor(w.need, w.shape.Class); !fits {
		_, largest := w.route.maxTokens()
		return apierror.NotRun(apierror.KindPromptTooLong,
			"shorten the prompt or lower max_tokens so that both together fit",
			"the prompt needs %d tokens of engine memory with its output limit and the largest that fits is %d", w.need, largest)
	}
	if remaining := w.req.Deadline.Sub(now); w.shape.PrefillTime+w.shape.DecodeTime > remaining {
		return apierror.NotRun(apierror.KindDeadline,
			"allow more time or lower max_tokens",
			"the request needs about %s on an idle engine and its time limit leaves %s",
			(w.shape.PrefillTime + w.shape.DecodeTime).Round(time.Millisecond), remaining.Round(time.Millisecond))
	}
	ttft, usable := p.predictTTFT(now, w)
	if !usable {
		err := apierror.NotRun(apierror.KindNoTarget, "come back later",
			"no target of model %s takes work in this failure domain", w.req.Model).WithRetryAfter(noTargetRetryAfter)
		return &DomainFullError{Err: err, Predicted: time.Duration(math.MaxInt64)}
	}
	w.predictedTTFT = ttft
	ttft = p.calibration.correctTTFT(w.shape.Class, ttft)
	if total := ttft + w.shape.DecodeTime; now.Add(total).After(w.req.Deadline) {
		return overloadedError(total, now.Add(total).Sub(w.req.Deadline),
			"the request would take about %s and its time limit leaves %s",
			total.Round(time.Millisecond), w.req.Deadline.Sub(now).Round(time.Millisecond))
	}
	return nil
}

func overloadedError(predicted, excess time.Duration, format string, args ...any) error {
	err := apierror.NotRun(apierror.KindOverloaded, "come back after the time in Retry-After", format, args...)
	return &DomainFullError{Err: err.WithRetryAfter(retryAfter(excess)), Predicted: predicted}
}

func retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, minRetryAfter), maxRetryAfter).Round(time.Second)
}

func (p *pool) queueFullError(w *waiter) error {
	wait := cost.SecondsToDuration(p.queue.Backlog(w.req.Partner, w.req.Organisation).Organisation / w.route.prefillRate())
	return overloadedError(w.predictedTTFT+wait, wait, "the queue of organisation %s is full", w.req.Organisation)
}

func (p *pool) expiredError(now time.Time, w *waiter) error {
	err := apierror.NotRun(apierror.KindDeadline, "come back after the time in Retry-After",
		"the request waited %s and can no longer finish within its time limit", now.Sub(w.offeredAt).Round(time.Millisecond))
	return err.WithRetryAfter(retryAfter(w.shape.PrefillTime))
}

// predictTTFT predicts the time to first token: the wait in this host's queue plus
// the shortest predicted time to first token of a target. It returns false if no
// target can take the request.
func (p *pool) predictTTFT(now time.Time, w *waiter) (time.Duration, bool) {
	best, found := time.Duration(math.MaxInt64), false
	rate := 0.
	for _, t := range w.route.targets {
		if !p.schedulable(now, w, t) {
			continue
		}
		rate += t.rates.Prefill / float64(t.sharers)
		var c Candidate
		t.estimate(now, &c, p.uncachedTokens(w, t), w.priority, w.shape.Class)
		best, found = min(best, c.PredictedTTFT), true
	}
	if !found {
		return 0, false
	}
	return best + cost.SecondsToDuration(p.queuedTokensAhead(w)/rate), true
}

// queuedTokensAhead estimates the queued tokens that run before w: all requests of
// the same or a shorter class, but at most as much as w has to wait for under its
// organisation's fair share.
func (p *pool) queuedTokensAhead(w *waiter) float64 {
	ahead := p.queuedTokens[rules.ClassShort]
	if w.shape.Class != rules.ClassShort {
		ahead += p.queuedTokens[rules.ClassMedium]
	}
	if w.shape.Class == rules.ClassLong {
		ahead += p.queuedTokens[rules.ClassLong]
	}
	b := p.queue.Backlog(w.req.Partner, w.req.Organisation)
	return min(ahead, b.Organisation/b.Share)
}

// prefillRate returns this host's share of the prefill rate of all targets, in
// tokens per second.
func (r *route) prefillRate() float64 {
	rate := 0.
	for _, t := range r.targets {
		rate += t.rates.Prefill / float64(max(t.sharers, 1))
	}
	return max(rate, 1)
}
