package relay

import (
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// contended reports whether the request is subject to admission under contention, as settings
// and route have it. A request that may have run, or of which the caller has a part, is not
// refused any more.
func (j *job) contended() bool {
	shortest := j.relay.cfg.MinContendedObjective
	return shortest > 0 && j.route.Kind == catalog.Streaming && j.route.Objective >= shortest && j.possibleExecutions == 0 && !j.callerHasEvents()
}

// recogniseReturn finds out once whether the caller comes back after a refusal.
func (j *job) recogniseReturn() {
	if j.promptKey != 0 {
		return
	}
	j.promptKey = placement.PromptKey(j.fingerprint())
	j.earlier = j.relay.cfg.Placer.RecogniseReturn(j.serviceName, j.promptKey)
}

// precedence returns how the request relates to others that compete for the same targets.
func (j *job) precedence() catalog.Precedence {
	config := j.relay.cfg.Views.View().Config
	org, found := config.Organisation(j.req.Key)
	if !found || !j.authenticated {
		org = nil
	}
	return config.Precedence(j.serviceName, j.route, org)
}

// refuseBacklogged refuses a request for whose prompt the engines have too much work.
func (j *job) refuseBacklogged(e *placement.BacklogError) (attemptResult, Reason) {
	j.relay.cfg.Observer.Backlogged(e.Backlog)
	j.retryAfter = e.RetryAfter
	j.log("placement rejected, engines would begin too late", zap.Duration("backlog", e.Backlog), zap.Duration("limit", e.Limit),
		zap.String("short_of", string(e.Shortage)), zap.Duration("reserved", e.Reserved), zap.Float64("cost", e.Cost), zap.Float64("earned", e.Earned), zap.Int("engines_compared", e.Compared),
		zap.Duration("retry_after", e.RetryAfter), zap.Int("prompt_tokens", j.req.PromptTokens), zap.Duration("waited_before", j.earlier.Waited), zap.Bool("returned", j.earlier.Returned), zap.Bool("promised", e.Promised),
		zap.Duration("objective", j.route.Objective), zap.Duration("view_age", j.relay.cfg.Views.Age()))
	return resultRejected, ReasonBacklogged
}
