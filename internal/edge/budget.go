package edge

import (
	"cmp"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/retry"
	"github.com/plantainrun/plantainrun/internal/relay"
)

const (
	// minAssumedHosts is the smallest host count that the burst is divided by. A
	// host that knows few peers may be partitioned from the others.
	minAssumedHosts = 10
	// retryBudgetFraction is the fraction of the configured retry bounds that is
	// used.
	retryBudgetFraction = 0.75
	// defaultRetryWindow is the window in which retries are bounded if none is configured.
	defaultRetryWindow = 10 * time.Second
	// discoveryTime is how long after its start a host that expects peers takes no part of the
	// burst, so that it has learned of them.
	discoveryTime = 2 * time.Second
)

// knownFleet tells which hosts a host knows. Its methods are safe for concurrent use.
type knownFleet interface {
	// HostCount and DomainCount return the numbers of known hosts and of their failure
	// domains, this host included.
	HostCount() int
	DomainCount() int
}

// retryBudget is this host's part of the retries that all hosts together may send to a
// service. It is safe for concurrent use.
type retryBudget struct {
	local        *retry.FleetBudget
	fleet        knownFleet
	burst        float64 // retries in a window, of all hosts together
	domains      int     // failure domains that have hosts, as far as the settings say
	expectsPeers bool
}

// newRetryBudget returns an empty budget. random returns numbers in [0, 1).
func newRetryBudget(s Settings, fleet knownFleet, random func() float64) *retryBudget {
	burst := s.RetryBurst * retryBudgetFraction
	fillAfter := time.Duration(0)
	if s.expectsPeers() {
		fillAfter = discoveryTime
	}
	return &retryBudget{
		local: retry.NewFleetBudget(retry.FleetConfig{
			Ratio: s.RetryRatio * retryBudgetFraction, Burst: burst, Window: cmp.Or(s.RetryWindow, defaultRetryWindow),
			FillAfter: fillAfter, Clock: clock.System{}, Random: random,
		}),
		fleet: fleet, burst: burst, domains: len(s.Regions), expectsPeers: s.expectsPeers(),
	}
}

// share returns this host's share of the burst and the number of known hosts. A host that
// knows none of the others that there must be has no share. Domains of which it knows no host are
// assumed to have as many hosts as the others.
func (b *retryBudget) share() (share float64, hosts int) {
	hosts = b.fleet.HostCount()
	if b.expectsPeers && hosts == 1 {
		return 0, hosts
	}
	assumed := float64(hosts)
	if known := b.fleet.DomainCount(); known < b.domains {
		assumed *= float64(b.domains) / float64(known)
	}
	return 1 / max(assumed, minAssumedHosts), hosts
}

// RecordFirstAttempt records a first try of a request at a service.
func (b *retryBudget) RecordFirstAttempt(service string) { b.local.RecordFirstAttempt(service) }

// DecideRetry decides whether a request to the service may be retried, and counts the
// retry if so.
func (b *retryBudget) DecideRetry(service string) relay.RetryDecision {
	share, hosts := b.share()
	decision := b.local.Decide(service, share)
	return relay.RetryDecision{Allowed: decision.Allowed, Available: decision.Available, BurstShare: share * b.burst, KnownHosts: hosts}
}
