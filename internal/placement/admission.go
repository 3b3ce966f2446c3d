package placement

import (
	"fmt"
	"math/rand/v2"
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
	// minReturnRatio and maxReturnRatio bound the time after which a refused caller comes
	// back, as a fraction of the objective: late enough to find less backlog, early enough to
	// be in time.
	minReturnRatio = 0.25
	maxReturnRatio = 0.6
	// returnSpreadRatio is the range over which the returns are spread.
	returnSpreadRatio = 0.2
)

// BacklogError means that a long prompt is not admitted since the engines would not begin
// with it soon enough.
type BacklogError struct {
	Backlog    time.Duration // predicted, until engines begin with the prompt
	Limit      time.Duration
	RetryAfter time.Duration
}

// Error returns the backlog and when to try again.
func (e *BacklogError) Error() string {
	return fmt.Sprintf("engines begin in %s, later than %s: try again in %s", e.Backlog, e.Limit, e.RetryAfter)
}

// admit returns a *BacklogError if a long prompt with the given choice of engines has to be
// refused, or nil.
func (c *chooser) admit(best *choice) error {
	if !c.policy.Admission || !c.req.Contended || c.singleEngine() {
		return nil
	}
	ratio := maxBacklogRatio
	if c.late(best.prefillTime) {
		ratio = maxLateBacklogRatio
	}
	limit := time.Duration(ratio * float64(c.req.Objective))
	backlog := best.wait - best.prefillTime
	if backlog <= limit {
		return nil
	}
	return &BacklogError{Backlog: backlog, Limit: limit, RetryAfter: returnDelay(c.req.Objective, backlog-limit, c.random)}
}

// returnDelay returns when a refused caller should come back: when the backlog is expected
// to be short enough, within bounds, at a random time so that callers do not return
// together.
func returnDelay(objective, excess time.Duration, random *rand.Rand) time.Duration {
	scale := func(ratio float64) time.Duration { return time.Duration(ratio * float64(objective)) }
	earliest := min(max(excess, scale(minReturnRatio)), scale(maxReturnRatio-returnSpreadRatio))
	return earliest + time.Duration(random.Float64()*float64(scale(returnSpreadRatio)))
}
