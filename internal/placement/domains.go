package placement

import "time"

const (
	// cutTargets is how many targets of a failure domain must be unreachable,
	// and none heard of since, for the domain to count as cut off.
	cutTargets = 2
	// cutMemory is how long an unreachable target speaks for its domain.
	cutMemory = 10 * time.Second
	// cutPause is how long a domain is left alone after a failure there.
	cutPause = 1500 * time.Millisecond
	// probeInterval is the shortest time between two requests that try a domain
	// that is cut off.
	probeInterval = 800 * time.Millisecond
)

// domainState is what the targets of one failure domain show.
type domainState struct {
	unreachable int       // targets that failed lately
	firstFailed time.Time // of these
	lastFailed  time.Time
	aliveAt     time.Time // newest sign of life of any target
}

// cutDomains returns the failure domains that seem to be cut off from this
// host: trying their other targets would cost a timeout each. Now and then it
// leaves one out, so that one request tries it.
func (s *shard) cutDomains(now time.Time) map[string]bool {
	cut := make(map[string]bool)
	for domain, d := range s.domainStates(now) {
		if d.unreachable < cutTargets || !d.aliveAt.Before(d.firstFailed) {
			continue
		}
		if now.Sub(d.lastFailed) > cutPause && now.Sub(s.probed[domain]) > probeInterval {
			s.probed[domain] = now
			continue
		}
		cut[domain] = true
	}
	return cut
}

func (s *shard) domainStates(now time.Time) map[string]*domainState {
	states := make(map[string]*domainState)
	for _, l := range s.loads {
		d := states[l.target.Domain]
		if d == nil {
			d = &domainState{}
			states[l.target.Domain] = d
		}
		if l.aliveAt.After(d.aliveAt) {
			d.aliveAt = l.aliveAt
		}
		if l.failedAt.IsZero() || now.Sub(l.failedAt) > cutMemory {
			continue
		}
		d.unreachable++
		if d.firstFailed.IsZero() || l.failedAt.Before(d.firstFailed) {
			d.firstFailed = l.failedAt
		}
		if l.failedAt.After(d.lastFailed) {
			d.lastFailed = l.failedAt
		}
	}
	return states
}
