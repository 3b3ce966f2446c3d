package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// minFailedTargets is to how many targets of a service connections have to fail, with
	// no answer from any of its targets since the first failure, for the service to count as
	// unreachable from this host. One silent target is a fault of that target.
	minFailedTargets = 2
	// minFailedDomains is in how many failure domains these targets have to be, if there are
	// so many: a domain that is silent as a whole is no fault of this host either.
	minFailedDomains = 2
	// lostFraction is the fraction of the targets of an unreachable service that have to
	// fail for it to count as lost, so that the others are not tried either.
	lostFraction = 0.5
	// failureWindow is how long a failure counts.
	failureWindow = 10 * time.Second
	// unusedTime is the time without a request after which an unreachable service is no
	// longer probed. The next request tries it again.
	unusedTime = 10 * time.Second
)

// ReachabilityChange reports that this host has lost or regained its path to the targets
// of a service.
type ReachabilityChange struct {
	Service   string
	Reachable bool
	// Since is when the first connection failed.
	Since time.Time
	// FailedTargets is the number of targets to which connections have failed since then.
	FailedTargets int
	// StartProbing asks the receiver to probe the service until NeedsProbe returns false.
	StartProbing bool
}

// reachability tells from the results of this host's attempts whether it reaches the
// targets of one service at all.
type reachability struct {
	failures         map[catalog.TargetKey]failedConnection // latest ones since the last answer of any target
	firstFailureAt   time.Time                              // the earliest of these; zero if there are none
	unreachableSince time.Time                              // zero while the service counts as reachable
	answeredAt       time.Time                              // latest answer of any target
	usedAt           time.Time                              // latest request for the service
	probing          bool                                   // the service is being probed
}

// failedConnection is the latest failed connection to a target.
type failedConnection struct {
	at     time.Time
	domain string // of the target
}

// recordFailure records a failed connection to a target and reports whether the service
// has become unreachable. targets and domains are the numbers of targets of the service and
// of their failure domains.
func (r *reachability) recordFailure(target catalog.TargetKey, domain string, targets, domains int, now time.Time) bool {
	if r.failures == nil {
		r.failures = make(map[catalog.TargetKey]failedConnection)
	}
	r.expire(now)
	if len(r.failures) == 0 {
		r.firstFailureAt = now
	}
	r.failures[target] = failedConnection{at: now, domain: domain}
	if !r.unreachableSince.IsZero() || len(r.failures) < min(minFailedTargets, targets) || r.failedDomains() < min(minFailedDomains, domains) {
		return false
	}
	r.unreachableSince = r.firstFailureAt
	return true
}

// failedDomains returns the number of failure domains with failed connections.
func (r *reachability) failedDomains() int {
	domains := make(map[string]struct{}, len(r.failures))
	for _, f := range r.failures {
		domains[f.domain] = struct{}{}
	}
	return len(domains)
}

// recordAnswer records that a target has answered and reports whether the service has
// become reachable again.
func (r *reachability) recordAnswer(now time.Time) bool {
	regained := !r.unreachableSince.IsZero()
	r.answeredAt = now
	r.reset()
	return regained
}

// reset makes the service count as reachable until attempts fail again.
func (r *reachability) reset() {
	clear(r.failures)
	r.firstFailureAt, r.unreachableSince = time.Time{}, time.Time{}
}

// expire drops old failures while the service counts as reachable.
func (r *reachability) expire(now time.Time) {
	if !r.unreachableSince.IsZero() {
		return
	}
	for target, f := range r.failures {
		if now.Sub(f.at) > failureWindow {
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

// Unreachable reports whether this host reaches no target of a service that a request
// needs.
func (pl *Placer) Unreachable(service string) bool {
	now := pl.now()
	s := pl.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachability.usedAt = now
	return !s.reachability.unreachableSince.IsZero()
}

// AnsweredSince reports whether a target of a service has answered this host since t.
func (pl *Placer) AnsweredSince(service string, t time.Time) bool {
	s := pl.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachability.answeredAt.After(t)
}

// Lost reports whether connections to most targets of a service have failed, with no answer
// from any since, so that an attempt at another one would most likely fail too.
func (pl *Placer) Lost(service string) bool {
	s := pl.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.reachability
	return !r.unreachableSince.IsZero() && float64(len(r.failures)) > lostFraction*float64(s.targetCount)
}

// NeedsProbe reports whether a service is unreachable and in use.
func (pl *Placer) NeedsProbe(service string) bool {
	now := pl.now()
	s := pl.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.reachability
	if !r.unreachableSince.IsZero() && now.Sub(r.usedAt) > unusedTime {
		r.reset()
	}
	r.probing = !r.unreachableSince.IsZero()
	return r.probing
}

// RecordProbe records whether a probe has reached its target.
func (pl *Placer) RecordProbe(t catalog.Target, reached bool) {
	if !reached {
		return
	}
	s := pl.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.recordReachability(s, t.TargetKey, Served, pl.now())
}

// RecordUnconnected records that no connection to a target could be opened for a call that
// belongs to no placement.
func (pl *Placer) RecordUnconnected(t catalog.Target) {
	now := pl.now()
	s := pl.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(t.TargetKey).recordResult(Unconnected, now)
	pl.recordReachability(s, t.TargetKey, Unconnected, now)
}

// clearEjections makes the targets eligible again that have been ejected as unreachable
// since a time, so that the first one that answers does not get all requests.
func (s *shard) clearEjections(since time.Time) {
	for _, l := range s.loads {
		if !l.unreachableAt.Before(since) {
			l.clearEjection()
		}
	}
}

// recordReachability updates the reachability of a service after an attempt of this
// host. The caller holds the shard's lock.
func (pl *Placer) recordReachability(s *shard, target catalog.TargetKey, result Result, now time.Time) {
	change := ReachabilityChange{Service: s.service, Since: s.reachability.unreachableSince, FailedTargets: len(s.reachability.failures)}
	switch result {
	case Unconnected:
		if !s.reachability.recordFailure(target, s.load(target).target.Domain, s.targetCount, s.domainCount, now) {
			return
		}
		change.Since, change.FailedTargets = s.reachability.unreachableSince, len(s.reachability.failures)
		change.StartProbing = !s.reachability.probing
		s.reachability.probing = true
	case Served, Shed, Misdirected:
		if !s.reachability.recordAnswer(now) {
			return
		}
		s.clearEjections(change.Since)
		change.Reachable = true
	default:
		return // tells nothing about the path
	}
	pl.reachabilityChanged(change)
}
