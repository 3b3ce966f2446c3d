package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// coldReportInterval is the shortest time between two reports of the same target.
	coldReportInterval = time.Second
	// coldReportWindow is how recently another target of the service must have answered for
	// a host to report one that does not: otherwise its own links may have failed.
	coldReportWindow = time.Second
	// minDarkTime is the shortest time without a sign of life since a report after which a
	// target was dark. One that answers less often than that is not held back by the limit.
	minDarkTime = time.Second
	// maxDarkReportAge is how long after the last report a target counts as dark without a sign
	// of life: hosts that meet it report it again.
	maxDarkReportAge = 10 * time.Second
)

// coldLimits are a service's published figures of cold targets: those that have just
// started, or that say in their registration that they are cold.
type coldLimits struct {
	perSecond float64       // requests that a cold target accepts from all hosts together; 0 for no limit
	period    time.Duration // for which a target is cold after a start
}

// coldState is what this host knows of whether a target is cold, besides its registration.
// A target that did not answer may have restarted and not have registered yet.
type coldState struct {
	limits coldLimits
	// suspectedUntil is until when the target may be cold.
	suspectedUntil time.Time
	// darkSince is when a host reported it, if it has answered no host since then as far as
	// this host knows; zero if it has.
	darkSince  time.Time
	reportedAt time.Time // when this host last reported it
	// reporter is the last other host that reported it, at reporterAt.
	reporter   string
	reporterAt time.Time
}

// limitCold applies the limit of cold targets to the target's rate limiter, or ends it.
func (l *targetLoad) limitCold(now time.Time) {
	perSecond := l.coldState.limits.perSecond
	l.limiter.setCold(RateLimit{PerSecond: perSecond, Named: perSecond > 0 && l.cold(now)}, now)
}

// cold reports whether the target is cold or may be.
func (l *targetLoad) cold(now time.Time) bool {
	c := &l.coldState
	dark := !c.darkSince.IsZero() && now.Sub(c.reporterAt) <= maxDarkReportAge
	return dark || now.Before(l.target.ColdUntil) || now.Before(c.suspectedUntil) || l.unreachableAt.After(l.answeredAt)
}

// recordSignOfLife records that a target answers some host. If it has not for a while since a
// host reported it, it may be cold from now on; else the links of that host have failed.
func (l *targetLoad) recordSignOfLife(now time.Time) {
	c := &l.coldState
	if !c.darkSince.IsZero() && now.Sub(c.darkSince) > minDarkTime {
		c.suspectedUntil = later(c.suspectedUntil, now.Add(c.limits.period))
	}
	c.darkSince = time.Time{}
}

// recordAnswer records that the target has answered. After it was unreachable, it may be
// cold from now on.
func (l *targetLoad) recordAnswer(now time.Time) {
	if l.unreachableAt.After(l.answeredAt) {
		l.coldState.suspectedUntil = now.Add(l.coldState.limits.period)
	}
	l.answeredAt = now
	l.recordSignOfLife(now)
}

// reportCold tells the observer of a target that this host suspects to be cold. The caller
// holds the shard's lock.
func (pl *Placer) reportCold(s *shard, l *targetLoad, now time.Time) {
	c := &l.coldState
	switch {
	case c.limits.perSecond == 0, now.Sub(c.reportedAt) < coldReportInterval:
	case !l.unreachableAt.After(l.answeredAt) && !now.Before(c.suspectedUntil):
	case now.Sub(s.reachability.answeredAt) > coldReportWindow:
	default:
		c.reportedAt = now
		pl.observer.TargetSuspectedCold(s.service, l.target.TargetKey)
	}
}

// RecordPeerSuspectedCold records that a peer suspects a target to be cold. One host alone
// is believed only until the target answers any host, since its own links may have failed.
func (pl *Placer) RecordPeerSuspectedCold(peer, service string, target catalog.TargetKey) {
	now := pl.now()
	s := pl.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.load(target).coldState
	if c.reporter != "" && c.reporter != peer && now.Sub(c.reporterAt) < s.coldPeriod {
		c.suspectedUntil = later(c.suspectedUntil, now.Add(s.coldPeriod))
	}
	if c.darkSince.IsZero() {
		c.darkSince = now
	}
	c.reporter, c.reporterAt = peer, now
}

// ColdTargets returns the number of targets whose requests are limited as cold.
func (pl *Placer) ColdTargets() int {
	count := 0
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for _, l := range s.loads {
			if l.limiter.cold.Named {
				count++
			}
		}
		s.mu.Unlock()
	}
	return count
}
