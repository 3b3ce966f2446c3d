package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// rateLimitJitter spreads the requests that wait for the rate limits of the same
// targets.
const rateLimitJitter = 50 * time.Millisecond

// waitForRateLimit waits until a target may accept another request. A request whose
// objective passes before is refused, unless the caller has part of the answer already.
func (j *job) waitForRateLimit(ctx context.Context, limited *placement.RateLimitedError) (attemptResult, Reason) {
	wait := limited.RetryAfter + rand.N(rateLimitJitter)
	if !j.callerHasEvents() && time.Now().Add(wait).After(j.req.Arrived.Add(j.route.Objective)) {
		j.retryAfter = wait
		return resultRejected, ReasonRateLimited
	}
	select {
	case <-ctx.Done():
		return resultRejected, ReasonRateLimited
	case <-time.After(wait):
	}
	return resultPostponed, ReasonRateLimited
}

// recordRateLimit records the rate limit that a target names in an answer to a request
// sent at sentAt.
func (j *job) recordRateLimit(target catalog.Target, limit placement.RateLimit, sentAt time.Time) {
	if !j.relay.cfg.Placer.RecordRateLimit(target, limit, sentAt) {
		return
	}
	j.relay.cfg.Log.Info("rate limit of a target changed", zap.String("target", target.ID), zap.String("service", target.Service),
		zap.Bool("limited", limit.Named), zap.Float64("per_second", limit.PerSecond))
	j.relay.cfg.Peers.RateLimitChanged(placement.TargetRateLimit{Service: target.Service, Target: target.TargetKey, Limit: limit})
}
