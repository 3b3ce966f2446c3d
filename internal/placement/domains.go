package placement

import (
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// minUnreachableTargets is how many targets of a failure domain have to be
	// unreachable, with no answer from the domain since the first of these failures,
	// for the whole domain to count as unreachable.
	minUnreachableTargets = 2
	// unreachableWindow is how long a failure to reach a target counts for its
	// domain.
	unreachableWindow = 10 * time.Second
	// domainBackoff is the time after the last failure in a domain before it is
	// probed.
	domainBackoff = 1500 * time.Millisecond
	// domainProbeInterval is the shortest time between two requests that probe an
	// unreachable domain.
	domainProbeInterval = 800 * time.Millisecond
)

// countDomains returns the number of failure domains of targets.
func countDomains(targets []catalog.Target) int {
	domains := make([]string, 0, expectedDomains)
	for i := range targets {
		if !slices.Contains(domains, targets[i].Domain) {
			domains = append(domains, targets[i].Domain)
		}
	}
	return len(domains)
}

// expectedDomains is the usual number of failure domains of a service.
const expectedDomains = 4

// domainHealth summarises the recent attempts at the targets of one failure domain.
type domainHealth struct {
	unreachable        int       // number of targets that were unreachable within the window
	firstUnreachableAt time.Time // first failure of these targets
	lastUnreachableAt  time.Time
	answeredAt         time.Time // last answer of any target
}

// unreachableDomains returns the failure domains that appear to be unreachable
// from this host: each attempt at another of their targets would cost a timeout.
// A domain that is due for a probe is left out once, so that a request tries it.
func (s *shard) unreachableDomains(now time.Time) map[string]bool {
	unreachable := make(map[string]bool)
	for domain, d := range s.healthByDomain(now) {
		if d.unreachable < minUnreachableTargets || !d.answeredAt.Before(d.firstUnreachableAt) {
			continue
		}
		if now.Sub(d.lastUnreachableAt) > domainBackoff && now.Sub(s.lastProbe[domain]) > domainProbeInterval {
			s.lastProbe[domain] = now
			continue
		}
		unreachable[domain] = true
	}
	return unreachable
}

func (s *shard) healthByDomain(now time.Time) map[string]*domainHealth {
	healthByDomain := make(map[string]*domainHealth)
	for _, l := range s.loads {
		d := healthByDomain[l.target.Domain]
		if d == nil {
			d = &domainHealth{}
			healthByDomain[l.target.Domain] = d
		}
		if l.answeredAt.After(d.answeredAt) {
			d.answeredAt = l.answeredAt
		}
		if l.unreachableAt.IsZero() || now.Sub(l.unreachableAt) > unreachableWindow {
			continue
		}
		d.unreachable++
		if d.firstUnreachableAt.IsZero() || l.unreachableAt.Before(d.firstUnreachableAt) {
			d.firstUnreachableAt = l.unreachableAt
		}
		if l.unreachableAt.After(d.lastUnreachableAt) {
			d.lastUnreachableAt = l.unreachableAt
		}
	}
	return healthByDomain
}
