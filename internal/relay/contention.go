package relay

import (
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// contended reports whether the request is subject to admission under contention. A request
// that may have run, or of which the caller has a part, is not refused any more.
func (j *job) contended() bool {
	return !j.relay.cfg.AdmitAllPrompts && j.route.Kind == catalog.Streaming && j.route.Objective > 0 && j.possibleExecutions == 0 && !j.callerHasEvents()
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
	j.log("placement rejected, engines have too much backlog", zap.Duration("backlog", e.Backlog), zap.Duration("limit", e.Limit), zap.Duration("chosen_backlog", e.Chosen),
		zap.Duration("retry_after", e.RetryAfter), zap.Int("prompt_tokens", j.req.PromptTokens),
		zap.Duration("objective", j.route.Objective), zap.Duration("view_age", j.relay.cfg.Views.Age()))
	return resultRejected, ReasonBacklogged
}
