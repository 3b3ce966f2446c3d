package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// RateLimit is the rate of requests that a target accepts from all hosts together, as
// its latest answers name it.
type RateLimit struct {
	PerSecond float64
	Named     bool // false if the target names no limit
}

// rateLimiter holds the rate limit of one target.
type rateLimiter struct {
	limit   RateLimit
	namedAt time.Time // when this host last learned of a limit
}

// record applies the limit of an answer to a request that was sent at sentAt, and
// reports whether the known limit has changed. An answer without a limit removes a
// known one only if its request was sent later than the limit was learned, since
// answers may overtake each other.
func (r *rateLimiter) record(limit RateLimit, sentAt, now time.Time) bool {
	if !limit.Named && (!r.limit.Named || !sentAt.After(r.namedAt)) {
		return false
	}
	if limit.Named {
		r.namedAt = now
	}
	changed := r.limit != limit
	r.limit = limit
	return changed
}

// RecordRateLimit records the rate limit in a target's answer to a request that was
// sent at sentAt, and reports whether it differs from the one known before.
func (pl *Placer) RecordRateLimit(t catalog.Target, limit RateLimit, sentAt time.Time) bool {
	s := pl.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[t.TargetKey]
	return l != nil && l.limiter.record(limit, sentAt, pl.now())
}

// RateLimitedTargets returns the number of targets that name a rate limit.
func (pl *Placer) RateLimitedTargets() int {
	count := 0
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for _, l := range s.loads {
			if l.limiter.limit.Named {
				count++
			}
		}
		s.mu.Unlock()
	}
	return count
}
