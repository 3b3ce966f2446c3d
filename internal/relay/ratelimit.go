package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// deferredJitter spreads the requests that wait for the same targets.
	deferredJitter = 50 * time.Millisecond
	// maxRetryAfterElsewhere is the longest time after which a caller is told to come back
	// if another host may serve it earlier.
	maxRetryAfterElsewhere = 500 * time.Millisecond
)

// waitUntilWanted waits until a target may accept another request. A request whose
// objective passes before is refused, unless the caller has part of the answer already.
func (j *job) waitUntilWanted(ctx context.Context, deferred *placement.DeferredError) (attemptResult, Reason) {
	reason := ReasonRateLimited
	wait := deferred.RetryAfter + rand.N(deferredJitter)
	retryAfter := wait
	if deferred.OnlyHere {
		reason = ReasonTargetsResting
		retryAfter = min(wait, maxRetryAfterElsewhere)
	}
	if !j.callerHasEvents() && time.Now().Add(wait).After(j.req.Arrived.Add(j.route.Objective)) {
		j.retryAfter = retryAfter
		return resultRejected, reason
	}
	select {
	case <-ctx.Done():
		return resultRejected, reason
	case <-time.After(wait):
	}
	return resultPostponed, reason
}

// recordLeaving records that a target says in an answer that it is about to end. It may
// still be registered.
func (j *job) recordLeaving(target catalog.Target, leaving bool) {
	if leaving && j.relay.cfg.Placer.RecordLeaving(target) {
		j.relay.cfg.Log.Info("target is leaving", zap.String("target", target.ID), zap.String("service", target.Service))
	}
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
