package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Admission under contention. The load: for some seconds long prompts ask for more prefill
// than all engines have. Without it each one is queued at engines at once, until all of
// them are late, and short prompts find these engines blocked for seconds after the burst.
//
// A long prompt is admitted while the engines of the service have little backlog on average,
// or those that it would use have little. The first condition doesn't depend on the size of
// the prompt. The second uses room that others leave, which small prompts find more often, so
// the limit also grows with what the prompt itself asks of the engines. Both are in proportion
// to the objective that most of the work has, so a short one next to it is not cut off first.
// Less urgent requests are refused earlier.

const (
	// maxBacklogRatio is the mean backlog of the engines up to which prompts are admitted, as
	// a fraction of the objective of the work.
	maxBacklogRatio = 0.2
	// ownWorkRatio is how much more backlog a prompt may find for its own work, spread over
	// all engines.
	ownWorkRatio = 0.4
	// chosenBacklogFactor is how much more backlog than the mean the chosen engines may have.
	chosenBacklogFactor = 2
	// rankLimitFactor multiplies the limit for each step of priority below the most urgent
	// requests.
	rankLimitFactor = 0.85
	// minReturnRatio and maxReturnRatio bound the time after which a refused caller comes
	// back, as a fraction of the objective: late enough to find less backlog, early enough to
	// be in time.
	minReturnRatio = 0.1
	maxReturnRatio = 0.6
	// returnSpreadRatio is the range over which the returns are spread.
	returnSpreadRatio = 0.2
)

// BacklogError means that a long prompt is not admitted since the engines would not begin
// with it soon enough.
type BacklogError struct {
	Backlog    time.Duration // mean of the engines, until they have prefilled what is assigned to them
	Limit      time.Duration // of the mean
	Chosen     time.Duration // backlog of the engines that the prompt would use
	RetryAfter time.Duration
}

// Error returns the backlog and when to try again.
func (e *BacklogError) Error() string {
	return fmt.Sprintf("engines have a backlog of %s, more than %s: try again in %s", e.Backlog, e.Limit, e.RetryAfter)
}

// admit returns a *BacklogError if a long prompt with the given choice of engines has to be
// refused, or nil.
func (c *chooser) admit(best *choice) error {
	if !c.policy.Admission || !c.req.Contended || c.singleEngine() {
		return nil
	}
	limit, mean, chosen := c.backlogLimit(), c.meanBacklog(), c.chosenBacklog(best)
	if mean <= limit || chosen <= scale(limit, chosenBacklogFactor) {
		return nil
	}
	return &BacklogError{Backlog: mean, Limit: limit, Chosen: chosen, RetryAfter: returnDelay(c.req.Objective, mean-limit, c.random)}
}

// backlogLimit returns the mean backlog of the engines up to which the prompt is admitted.
func (c *chooser) backlogLimit() time.Duration {
	work := c.engine.PrefillTime(c.req.PromptTokens)
	objective := c.demand.meanObjective(work, c.req.Objective, c.now)
	limit := scale(objective, maxBacklogRatio) + scale(work, ownWorkRatio/float64(len(c.engines)))
	return scale(limit, math.Pow(rankLimitFactor, float64(c.req.Rank)))
}

// meanBacklog returns the mean time until the engines have prefilled what is assigned to
// them.
func (c *chooser) meanBacklog() time.Duration {
	var sum time.Duration
	for _, snap := range c.engines {
		sum += snap.backlog
	}
	return sum / time.Duration(len(c.engines))
}

// chosenBacklog returns the time until all engines of a choice begin with the prompt.
func (c *chooser) chosenBacklog(ch *choice) time.Duration {
	var longest time.Duration
	for _, snap := range ch.engines {
		longest = max(longest, snap.backlog)
	}
	return longest + c.slotWait(ch.engines[0], ch.wait)
}

// returnDelay returns when a refused caller should come back: when the backlog is expected
// to be short enough, within bounds, at a random time so that callers do not return
// together.
func returnDelay(objective, excess time.Duration, random *rand.Rand) time.Duration {
	earliest := min(max(excess, scale(objective, minReturnRatio)), scale(objective, maxReturnRatio-returnSpreadRatio))
	return earliest + scale(objective, returnSpreadRatio*random.Float64())
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
