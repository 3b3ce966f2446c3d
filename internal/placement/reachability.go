package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// minFailedTargets is how many targets of a service have to fail, with no answer
	// from any of its targets since the first failure, for the service to count as
	// unreachable from this host. One silent target is a fault of that target.
	minFailedTargets = 2
	// failureWindow is how long a failure counts.
	failureWindow = 10 * time.Second
)

// ReachabilityChange reports that this host has lost or regained its path to the targets
// of a service.
type ReachabilityChange struct {
	Service   string
	Reachable bool
	// Since is when the first attempt without an answer ended.
	Since time.Time
	// FailedTargets is the number of targets without an answer since then.
	FailedTargets int
}

// reachability tells from the results of this host's attempts whether it reaches the
// targets of one service at all.
type reachability struct {
	failures         map[catalog.TargetKey]time.Time // latest attempts without an answer since the last answer of any target
	firstFailureAt   time.Time                       // the earliest of these; zero if there are none
	unreachableSince time.Time                       // zero while the service counts as reachable
}

// recordFailure records an attempt that got no answer and reports whether the service
// has become unreachable. targets is the number of targets of the service.
func (r *reachability) recordFailure(target catalog.TargetKey, targets int, now time.Time) bool {
	if r.failures == nil {
		r.failures = make(map[catalog.TargetKey]time.Time)
	}
	r.expire(now)
	if len(r.failures) == 0 {
		r.firstFailureAt = now
	}
	r.failures[target] = now
	if !r.unreachableSince.IsZero() || len(r.failures) < min(minFailedTargets, targets) {
		return false
	}
	r.unreachableSince = r.firstFailureAt
	return true
}

// recordAnswer records that a target has answered and reports whether the service has
// become reachable again.
func (r *reachability) recordAnswer() bool {
	regained := !r.unreachableSince.IsZero()
	clear(r.failures)
	r.firstFailureAt, r.unreachableSince = time.Time{}, time.Time{}
	return regained
}

// expire drops old failures while the service counts as reachable.
func (r *reachability) expire(now time.Time) {
	if !r.unreachableSince.IsZero() {
		return
	}
	for target, at := range r.failures {
		if now.Sub(at) > failureWindow {
			delete(r.failures, target)
		}
	}
}

// OnReachabilityChanged sets the function that is told of changes. It is called with a
// lock of the Placer held and must not block. Call it before Place.
func (pl *Placer) OnReachabilityChanged(f func(ReachabilityChange)) { pl.reachabilityChanged = f }

// UnreachableServices returns the number of services none of whose targets this host
// reaches.
func (pl *Placer) UnreachableServices() int {
	count := 0
	for _, s := range pl.allShards() {
		s.mu.Lock()
		if !s.reachability.unreachableSince.IsZero() {
			count++
		}
		s.mu.Unlock()
	}
	return count
}

// recordReachability updates the reachability of a service after an attempt of this
// host. The caller holds the shard's lock.
func (pl *Placer) recordReachability(s *shard, target catalog.TargetKey, result Result, now time.Time) {
	change := ReachabilityChange{Service: s.service, Since: s.reachability.unreachableSince, FailedTargets: len(s.reachability.failures)}
	switch result {
	case Unreachable:
		if !s.reachability.recordFailure(target, s.targetCount, now) {
			return
		}
		change.Since, change.FailedTargets = s.reachability.unreachableSince, len(s.reachability.failures)
	case Served, Shed, Misdirected:
		if !s.reachability.recordAnswer() {
			return
		}
		change.Reachable = true
	default:
		return // tells nothing about the path
	}
	pl.reachabilityChanged(change)
}
