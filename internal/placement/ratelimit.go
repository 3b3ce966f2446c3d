package placement

import (
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// burstTime is the time without requests that a rate limit makes up for with a
	// burst.
	burstTime = 250 * time.Millisecond
	// debtTime is how long requests beyond a rate limit, such as those that several
	// hosts sent at once, hold later ones back at most.
	debtTime = 4 * time.Second
	// minLimitedRate is the lowest rate, in requests per second, at which a target is
	// used, whatever limit it names: only its answers tell that the limit has ended.
	minLimitedRate = 0.1
)

// RateLimit is the rate of requests that a target accepts from all hosts together, as
// its latest answers name it.
type RateLimit struct {
	PerSecond float64
	Named     bool // false if the target names no limit
}

// TargetRateLimit is the rate limit of one target in the form that hosts exchange.
type TargetRateLimit struct {
	Service string
	Target  catalog.TargetKey
	Limit   RateLimit
}

// DeferredError means that every target that could serve the request is at its rate limit
// or has asked this host to send none for a while.
type DeferredError struct {
	RetryAfter time.Duration // until a target accepts the next request
	// OnlyHere means that the target has asked this host alone.
	OnlyHere bool
}

// Error returns when to try again.
func (e *DeferredError) Error() string {
	return fmt.Sprintf("no target wants a request now: try again in %s", e.RetryAfter)
}

// earlier returns the error with the earlier time; e may be nil.
func (e *DeferredError) earlier(other DeferredError) *DeferredError {
	if e != nil && e.RetryAfter <= other.RetryAfter {
		return e
	}
	return &other
}

// rateLimiter is a token bucket for the requests that all hosts send to one target, by the
// lower of the limit that the target names and the one of its cold state. It
// counts the requests of this host and those that peers report. Hosts that have not yet
// heard of each other's requests may overdraw it; later requests make up for that.
type rateLimiter struct {
	limit     RateLimit // that the target names
	cold      RateLimit // while the target is cold
	namedAt   time.Time // when this host last learned of a limit
	tokens    float64   // requests that may be sent; negative after an overdraft
	updatedAt time.Time
}

// record applies the limit of an answer to a request that was sent at sentAt, and
// reports whether the known limit has changed. An answer without a limit removes a
// known one only if its request was sent later than the limit was learned, since
// answers may overtake each other.
func (r *rateLimiter) record(limit RateLimit, sentAt, now time.Time) bool {
	if !limit.Named && (!r.limit.Named || !sentAt.After(r.namedAt)) {
		return false
	}
	return r.set(limit, now)
}

// set replaces the limit and reports whether it has changed. A new limit starts with an
// empty bucket.
func (r *rateLimiter) set(limit RateLimit, now time.Time) bool {
	if limit.Named {
		r.namedAt = now
	}
	if r.limit == limit {
		return false
	}
	if !r.limited() {
		r.tokens, r.updatedAt = 0, now
	}
	r.limit = limit
	return true
}

// setCold replaces the limit of the target's cold state. The bucket starts with a debt,
// for the requests that hosts have sent to an idle target before they learned of its state.
func (r *rateLimiter) setCold(limit RateLimit, now time.Time) {
	if r.cold == limit {
		return
	}
	if !r.limited() {
		r.tokens, r.updatedAt = -limit.PerSecond*burstTime.Seconds(), now
	}
	r.cold = limit
}

// limited reports whether a limit is in force.
func (r *rateLimiter) limited() bool { return r.limit.Named || r.cold.Named }

// perSecond is the lowest limit in force.
func (r *rateLimiter) perSecond() float64 {
	switch {
	case !r.cold.Named:
		return r.limit.PerSecond
	case !r.limit.Named:
		return r.cold.PerSecond
	default:
		return min(r.limit.PerSecond, r.cold.PerSecond)
	}
}

// rate is the number of requests per second to send. share is the fraction of all
// hosts whose requests this host counts; the others may use the rest of the limit.
func (r *rateLimiter) rate(share float64) float64 {
	return max(r.perSecond(), minLimitedRate) * share
}

// refill adds the tokens for the time since the last update.
func (r *rateLimiter) refill(share float64, now time.Time) {
	rate := r.rate(share)
	r.tokens = min(r.tokens+rate*now.Sub(r.updatedAt).Seconds(), 1+rate*burstTime.Seconds())
	r.updatedAt = now
}

// take counts one request.
func (r *rateLimiter) take(share float64, now time.Time) {
	if !r.limited() {
		return
	}
	r.refill(share, now)
	r.tokens = max(r.tokens-1, -r.rate(share)*debtTime.Seconds())
}

// wait returns the time until a request may be sent; 0 if one may be sent now.
func (r *rateLimiter) wait(share float64, now time.Time) time.Duration {
	if !r.limited() {
		return 0
	}
	r.refill(share, now)
	if r.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - r.tokens) / r.rate(share) * float64(time.Second))
}

// fleetView is what a host knows of the other hosts, for the use of rate limits.
type fleetView struct {
	countedHosts     int           // hosts whose requests are counted here, this one included
	knownHosts       int           // all hosts, those included that are not heard from
	propagationDelay time.Duration // until this host learns of peers' jobs
	expectsPeers     bool          // there are other hosts, as far as the settings say
}

// isolated reports whether the host knows none of the other hosts that there must be.
func (v fleetView) isolated() bool { return v.expectsPeers && v.knownHosts == 1 }

// share is the fraction of all hosts whose requests are counted.
func (v fleetView) share() float64 { return float64(v.countedHosts) / float64(v.knownHosts) }

// rateLimitWait returns the time after which a target's rate limit may permit a
// request; 0 if it permits it now. Hosts that find the same token at the same time
// cannot all take it, so each takes it with a probability that falls with the number of
// requests that the others are expected to place before this host learns of them.
func (s *shard) rateLimitWait(l *targetLoad, view fleetView, now time.Time) time.Duration {
	if wait := l.limiter.wait(view.share(), now); wait > 0 {
		return wait
	}
	if !l.limiter.limited() {
		return 0
	}
	unseen := s.ownAttempts.perSecond(now) * float64(view.countedHosts-1) * view.propagationDelay.Seconds()
	if s.random.Float64()*(1+unseen) < l.limiter.tokens {
		return 0
	}
	return view.propagationDelay
}

// countRequest counts a job that was sent to its primary target, the first of its
// shares, against the rate limit there.
func (s *shard) countRequest(j *Job, view fleetView, now time.Time) {
	if l := s.loads[j.Shares[0].Target]; l != nil {
		l.limiter.take(view.share(), now)
	}
}

// SetPeers sets how many hosts there are, this one included: known is the number of all
// hosts, counted that of the hosts whose jobs this host receives.
func (pl *Placer) SetPeers(counted, known int) {
	pl.countedHosts.Store(int64(max(counted, 1)))
	pl.knownHosts.Store(int64(max(counted, known, 1)))
}

// ExpectPeers sets that there are other hosts, so that this one takes no whole limit for
// itself while it knows none of them.
func (pl *Placer) ExpectPeers() { pl.expectsPeers.Store(true) }

func (pl *Placer) fleetView() fleetView {
	return fleetView{
		expectsPeers:     pl.expectsPeers.Load(),
		countedHosts:     int(pl.countedHosts.Load()),
		knownHosts:       int(pl.knownHosts.Load()),
		propagationDelay: pl.PropagationDelay(),
	}
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

// RecordPeerRateLimit records a rate limit that a peer reports, or its end.
func (pl *Placer) RecordPeerRateLimit(r TargetRateLimit) {
	s := pl.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(r.Target).limiter.set(r.Limit, pl.now())
}

// RateLimits returns the known rate limits of all targets.
func (pl *Placer) RateLimits() []TargetRateLimit {
	var out []TargetRateLimit
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for key, l := range s.loads {
			if l.limiter.limit.Named {
				out = append(out, TargetRateLimit{Service: s.service, Target: key, Limit: l.limiter.limit})
			}
		}
		s.mu.Unlock()
	}
	return out
}
