package schedule

import (
	"math"
	"time"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// Bounds of the time after which a refused caller may come back.
const (
	leastRetryAfter = time.Second
	mostRetryAfter  = time.Minute
	noTargetRetry   = 2 * time.Second
)

// admit refuses a request that cannot finish in time.
func (p *pool) admit(now time.Time, w *waiter) error {
	var holds bool
	if w.fit, holds = w.route.fitOf(w.need, w.shape.Class); !holds {
		_, whole := w.route.largest()
		return apierror.NotRun(apierror.KindPromptTooLong,
			"shorten the prompt or lower max_tokens so that both together fit",
			"the prompt needs %d tokens of engine memory with its output limit and the largest that fits is %d", w.need, whole)
	}
	if left := w.req.Deadline.Sub(now); w.shape.PrefillTime+w.shape.DecodeTime > left {
		return apierror.NotRun(apierror.KindDeadline,
			"allow more time or lower max_tokens",
			"the request needs about %s on an idle engine and its time limit leaves %s",
			(w.shape.PrefillTime + w.shape.DecodeTime).Round(time.Millisecond), left.Round(time.Millisecond))
	}
	first, usable := p.predict(now, w)
	if !usable {
		err := apierror.NotRun(apierror.KindNoTarget, "come back later",
			"no target of model %s takes work in this failure domain", w.req.Model).After(noTargetRetry)
		return &DomainFullError{Err: err, Predicted: time.Duration(math.MaxInt64)}
	}
	w.predicted = first
	first = p.learned.corrected(w.shape.Class, first)
	if total := first + w.shape.DecodeTime; now.Add(total).After(w.req.Deadline) {
		return overloaded(total, now.Add(total).Sub(w.req.Deadline),
			"the request would take about %s and its time limit leaves %s",
			total.Round(time.Millisecond), w.req.Deadline.Sub(now).Round(time.Millisecond))
	}
	return nil
}

func overloaded(predicted, excess time.Duration, format string, args ...any) error {
	err := apierror.NotRun(apierror.KindOverloaded, "come back after the time in Retry-After", format, args...)
	return &DomainFullError{Err: err.After(retryAfter(excess)), Predicted: predicted}
}

func retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, leastRetryAfter), mostRetryAfter).Round(time.Second)
}

func (p *pool) queueFull(w *waiter) error {
	wait := cost.Seconds(p.queue.Backlog(w.req.Partner, w.req.Organisation).Organisation / w.route.rate())
	return overloaded(w.predicted+wait, wait, "the queue of organisation %s is full", w.req.Organisation)
}

func (p *pool) givenUp(now time.Time, w *waiter) error {
	err := apierror.NotRun(apierror.KindDeadline, "come back after the time in Retry-After",
		"the request waited %s and can no longer finish within its time limit", now.Sub(w.offered).Round(time.Millisecond))
	return err.After(retryAfter(w.shape.PrefillTime))
}

// predict is the expected time until the first token: the wait in this host's
// queue and the work ahead at the best target.
func (p *pool) predict(now time.Time, w *waiter) (time.Duration, bool) {
	best, found := time.Duration(math.MaxInt64), false
	rate := 0.
	for _, t := range w.route.targets {
		if !p.enterable(now, w, t) {
			continue
		}
		rate += t.rates.Prefill / float64(t.sharers)
		var c Candidate
		t.estimate(now, &c, p.prefillLeft(w, t), w.priority, w.shape.Class)
		best, found = min(best, c.PredictedTTFT), true
	}
	if !found {
		return 0, false
	}
	return best + cost.Seconds(p.queuedAhead(w)/rate), true
}

// queuedAhead is the queued work that probably runs before w, in tokens: all
// that is not longer, but no more than its organisation's fair share makes it wait for.
func (p *pool) queuedAhead(w *waiter) float64 {
	ahead := p.queued[rules.ClassShort]
	if w.shape.Class != rules.ClassShort {
		ahead += p.queued[rules.ClassMedium]
	}
	if w.shape.Class == rules.ClassLong {
		ahead += p.queued[rules.ClassLong]
	}
	b := p.queue.Backlog(w.req.Partner, w.req.Organisation)
	return min(ahead, b.Organisation/b.Share)
}

// rate is this host's part of the prefill rate of all targets, in tokens per second.
func (r *route) rate() float64 {
	rate := 0.
	for _, t := range r.targets {
		rate += t.rates.Prefill / float64(max(t.sharers, 1))
	}
	return max(rate, 1)
}
