package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// What targets say about themselves in their answers.

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
