package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Admission under contention. The load: for some seconds long prompts ask for more prefill
// than all engines have. Without it each one is queued at engines at once, until all of
// them are late, and short prompts find these engines blocked for seconds after the burst.
// So a long prompt is admitted only while engines would begin with it soon. The bound is the
// same for all sizes, so that the largest prompts don't pay for the others.

const (
	// maxBacklogRatio is the longest wait for an engine to begin with a prompt, as a
	// fraction of its objective, for which it is admitted.
	maxBacklogRatio = 0.3
	// maxLateBacklogRatio is the same for a prompt that is late in any case: it takes only
	// room that others leave.
	maxLateBacklogRatio = 0.15
	// maxPromisedBacklogRatio is the longest mean backlog of the engines, with all that is
	// promised, as a fraction of its objective, for which a refused prompt is promised room:
	// a promise is kept whatever it costs others, so it is given only where room is near.
	maxPromisedBacklogRatio = 0.45
	// maxAdmittedPrefill is the prefill time on one engine up to which a prompt is always
	// admitted: it blocks the engine for short prompts for a few times as long as they can wait.
	maxAdmittedPrefill = 3 * blockingBacklog
	// minReturnRatio and maxReturnRatio bound the time after which a refused caller comes
	// back, as a fraction of the objective: late enough to find less backlog, early enough to
	// be in time.
	minReturnRatio = 0.25
	maxReturnRatio = 0.6
	// returnSpreadRatio is the range over which the returns are spread.
	returnSpreadRatio = 0.2
)

// Shortage is what is missing for a prompt that is not admitted.
type Shortage string

const (
	// ShortOfEngines means that engines would begin with the prompt too late, whatever is
	// promised.
	ShortOfEngines Shortage = "engines"
	// ShortByPromises means that engines would begin in time, if no room were kept for
	// callers who were refused before.
	ShortByPromises Shortage = "promises"
	// ShortOfPayoff means that engines would begin in time, at a higher cost to other requests
	// than the prompt earns.
	ShortOfPayoff Shortage = "payoff"
)

// BacklogError means that a long prompt is not admitted since the engines would not begin
// with it soon enough.
type BacklogError struct {
	Backlog    time.Duration // predicted, until engines begin with the prompt
	Limit      time.Duration // after Reserved is taken off
	Reserved   time.Duration // prefill for each engine that is promised to others
	RetryAfter time.Duration
	Shortage   Shortage
	// Cost is what the best choice that begins in time costs other requests, or the best one if
	// there is none, and Earned what the prompt earns by it, both in units of weight.
	Cost, Earned float64
	Compared     int // engines that were compared
	// Promised means that hosts keep room for the prompt until its caller should come back.
	Promised bool
}

// Error returns the backlog and when to try again.
func (e *BacklogError) Error() string {
	return fmt.Sprintf("engines begin in %s, later than %s: try again in %s", e.Backlog, e.Limit, e.RetryAfter)
}

// admit returns the choice with which a prompt is admitted, given the one with the lowest
// cost. Engines have to begin with the prompt soon: if those of the best choice don't, others
// may, and such a choice is taken unless it costs other requests more than the prompt earns. A
// caller who was promised room is always admitted: prefill grows faster with the size of a
// prompt than what it earns, so by the cost alone the largest ones would be refused again each
// time. One who is refused again is promised nothing: most callers try no third time, and the
// room would be kept for nobody. The error is a *BacklogError.
func (c *chooser) admit(best *choice) (*choice, error) {
	if !c.policy.Admission || !c.req.Contended || !c.blocksEngines() || c.req.Promised {
		return best, nil
	}
	limit := c.backlogLimit(best)
	backlog := best.wait - best.prefillTime
	if backlog <= limit {
		return best, nil
	}
	early := c.bestWithin(limit)
	if early != nil && c.pays(early) {
		return early, nil
	}
	refusal := &BacklogError{Backlog: backlog, Limit: limit, RetryAfter: returnDelay(c.req.Objective, backlog-limit, c.random)}
	refusal.Promised = !c.req.Returned && c.hasRoom()
	c.explainRefusal(refusal, best, early)
	return nil, refusal
}

// explainRefusal records what a prompt is short of, given the best choice and the best one
// within the limit, if there is one.
func (c *chooser) explainRefusal(refusal *BacklogError, best, early *choice) {
	refusal.Compared = len(c.engines)
	refusal.Reserved = c.promised(best.wait)
	refusal.Shortage = ShortOfEngines
	rejected := best
	switch {
	case early != nil:
		refusal.Shortage, rejected = ShortOfPayoff, early
	case refusal.Backlog <= refusal.Limit+refusal.Reserved || c.bestWithin(refusal.Limit+refusal.Reserved) != nil:
		refusal.Shortage = ShortByPromises
	}
	refusal.Cost, refusal.Earned = rejected.interference, c.earned(rejected)
}

// blocksEngines reports whether the prompt has so much prefill that refusing it relieves the
// engines.
func (c *chooser) blocksEngines() bool {
	return !c.singleEngine() && c.engine.PrefillTime(c.req.PromptTokens) > maxAdmittedPrefill
}

// backlogLimit returns the longest wait for engines to begin with a prompt for which it is
// admitted. Prompts that are promised to others come before it.
func (c *chooser) backlogLimit(ch *choice) time.Duration {
	ratio := maxBacklogRatio
	if c.late(c.shortestPrefill()) {
		ratio = maxLateBacklogRatio
	}
	return time.Duration(ratio*float64(c.req.Objective)) - c.promised(ch.wait)
}

// shortestPrefill returns the prefill time of the prompt over as many engines as can share it.
func (c *chooser) shortestPrefill() time.Duration {
	counts := c.feasiblePartCounts(len(c.engines))
	return partPrefillTime(c.engine, c.req.PromptTokens, counts[len(counts)-1])
}

// pays reports whether a prompt earns at least what a choice costs other requests.
func (c *chooser) pays(ch *choice) bool { return ch.interference <= c.earned(ch) }

// earned returns what a prompt earns by a choice, in units of weight. A late answer counts
// half.
func (c *chooser) earned(ch *choice) float64 {
	return c.weight * (1 - lateProbability(c.req.Waited+ch.wait, c.req.Objective)/2)
}

// bestWithin returns the choice with the lowest cost whose engines are predicted to begin
// within a limit, or nil if there is none.
func (c *chooser) bestWithin(limit time.Duration) *choice {
	engines := make([]*engineSnapshot, 0, len(c.engines))
	for _, snap := range c.engines {
		if snap.timeToFirstEvent(c.engine, 0) <= limit {
			engines = append(engines, snap)
		}
	}
	if len(engines) < minParts(c.req) || !slices.ContainsFunc(engines, func(s *engineSnapshot) bool { return !s.onlyHelps }) {
		return nil
	}
	best := c.best(engines)
	if best.wait-best.prefillTime > limit {
		return nil
	}
	return best
}

// hasRoom reports whether all that engines have to do and all that is promised is soon done.
// The bound is the same for all sizes. For a prompt that is late in any case there is none.
func (c *chooser) hasRoom() bool {
	if c.late(c.shortestPrefill()) {
		return false
	}
	backlog := c.promised(math.MaxInt64)
	for _, snap := range c.engines {
		backlog += snap.backlog / time.Duration(len(c.engines))
	}
	return backlog <= time.Duration(maxPromisedBacklogRatio*float64(c.req.Objective))
}

// promised returns the prefill for each eligible engine of promised prompts whose callers are
// expected to come back before a prompt with the given wait is prefilled.
func (c *chooser) promised(wait time.Duration) time.Duration {
	eligible := float64(len(c.engines)) / c.sampledFraction
	return time.Duration(float64(c.refused.promisedWork(wait, c.now)) / eligible)
}

// returnDelay returns when a refused caller should come back: when the backlog is expected
// to be short enough, within bounds, at a random time so that callers do not return
// together.
func returnDelay(objective, excess time.Duration, random *rand.Rand) time.Duration {
	scale := func(ratio float64) time.Duration { return time.Duration(ratio * float64(objective)) }
	earliest := min(max(excess, scale(minReturnRatio)), scale(maxReturnRatio-returnSpreadRatio))
	return earliest + time.Duration(random.Float64()*float64(scale(returnSpreadRatio)))
}
