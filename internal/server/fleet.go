package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/config"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	noTargetRetryAfter = time.Second
	// maxHintPeers bounds the hosts that each batch of hints is sent to.
	maxHintPeers = 8
	// maxRemoteWait is the predicted wait at and above which another failure domain is
	// not tried.
	maxRemoteWait = 30 * time.Second
	// goneRetention is how long an entry of fleet.gone is kept.
	goneRetention = time.Hour
)

// fleet combines the published lists of hosts and targets with the observed
// membership states. It is safe for concurrent use.
type fleet struct {
	host          config.Host
	clk           clock.Clock
	table         *membership.Table
	publishEvents func([]membership.Event) // sends membership events to peers
	domainLoads   func() []schedule.DomainLoad
	snapshot      atomic.Pointer[knowledge.Snapshot]

	mu   sync.Mutex
	gone map[identity.Incarnation]time.Time // when this host learned that a process is gone
}

func newFleet(host config.Host, clk clock.Clock) *fleet {
	f := &fleet{
		host: host, clk: clk, table: membership.New(clk, membership.Config{}),
		publishEvents: func([]membership.Event) {},
		domainLoads:   func() []schedule.DomainLoad { return nil },
		gone:          make(map[identity.Incarnation]time.Time),
	}
	f.snapshot.Store(&knowledge.Snapshot{})
	return f
}

// setSnapshot applies the current lists of hosts and targets.
func (f *fleet) setSnapshot(snap knowledge.Snapshot) {
	f.snapshot.Store(&snap)
	hosts := make([]membership.Entry, 0, len(snap.Hosts.Hosts))
	for _, h := range snap.Hosts.Hosts {
		hosts = append(hosts, membership.Entry{ID: h.ID, Domain: h.Domain, Leaving: h.State == topology.StateLeaving})
	}
	targets := make([]membership.Entry, 0, len(snap.Targets.Targets))
	for _, t := range snap.Targets.Targets {
		targets = append(targets, membership.Entry{ID: t.ID, Domain: t.Domain, Leaving: t.State == topology.StateLeaving})
	}
	f.publishEvents(f.table.SetHosts(snap.HostsRevision, hosts))
	f.publishEvents(f.table.SetTargets(snap.TargetsRevision, targets))
}

// Pick returns a random live target of a plain service. Targets in this host's
// failure domain take precedence over all others.
func (f *fleet) Pick(_ context.Context, service string, exclude []string) (topology.Target, error) {
	var local, remote []topology.Target
	for _, t := range f.snapshot.Load().Targets.Targets {
		if t.Kind != topology.KindService || t.Model != service || slices.Contains(exclude, t.ID) || f.table.TargetState(t.ID) != membership.Live {
			continue
		}
		if t.Domain == f.host.Domain {
			local = append(local, t)
		} else {
			remote = append(remote, t)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return topology.Target{}, apierror.NotRun(apierror.KindNoTarget, "come back later, or check the service's name", "no target of service %q is up", service).WithRetryAfter(noTargetRetryAfter)
	}
	return local[rand.IntN(len(local))], nil
}

// MarkLeaving records that a target announced that it is leaving, and notifies the
// peers.
func (f *fleet) MarkLeaving(target topology.Target) {
	f.publishEvents(f.table.RecordTargetRefusal(target.ID))
}

// LedgerHolders lists the other live hosts of this host's partner, which may hold
// closed ledgers.
func (f *fleet) LedgerHolders() []string {
	return f.liveHostsMatching(func(h topology.Host) bool { return h.Partner == f.host.Partner && h.ID != f.host.ID })
}

// OverflowHosts returns up to count hosts, each in another failure domain, in the
// order of the domains' predicted waits for the model. Domains without a load hint, or
// with an outdated one, are left out.
func (f *fleet) OverflowHosts(model string, _, count int) []string {
	var chosen, tried []string
	for len(chosen) < count {
		domain, ok := schedule.PickDomain(f.clk.Now(), f.domainLoads(), model, tried, maxRemoteWait)
		if !ok {
			break
		}
		tried = append(tried, domain)
		if live := f.table.LiveHosts(domain); domain != f.host.Domain && len(live) > 0 {
			chosen = append(chosen, live[rand.IntN(len(live))])
		}
	}
	return chosen
}

// IncarnationGone reports whether the process inc is known to have ended.
func (f *fleet) IncarnationGone(inc identity.Incarnation) bool { return f.table.IncarnationGone(inc) }

// GoneSince returns when this host learned that the process inc has ended. It
// returns false if the process is not known to have ended.
func (f *fleet) GoneSince(inc identity.Incarnation) (time.Time, bool) {
	gone := f.table.IncarnationGone(inc)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !gone {
		delete(f.gone, inc)
		return time.Time{}, false
	}
	since, known := f.gone[inc]
	if !known {
		since = f.clk.Now()
		f.evictGoneLocked(since)
		f.gone[inc] = since
	}
	return since, true
}

// evictGoneLocked drops entries older than goneRetention. The caller holds mu.
func (f *fleet) evictGoneLocked(now time.Time) {
	for inc, since := range f.gone {
		if now.Sub(since) > goneRetention {
			delete(f.gone, inc)
		}
	}
}

// maybeAlive reports whether host is live or in an unknown state. It returns false
// only for a host that is known to be down or leaving.
func (f *fleet) maybeAlive(host string) bool {
	state := f.table.HostState(host)
	return state == membership.Live || state == membership.Unknown
}

// LiveHosts lists the live hosts of a failure domain, this host included.
func (f *fleet) LiveHosts(domain string) []string { return f.table.LiveHosts(domain) }

// Engines lists the engines of a failure domain, including those that are leaving.
func (f *fleet) Engines(domain string) []topology.Target {
	var out []topology.Target
	for _, t := range f.snapshot.Load().Targets.Targets {
		if t.Kind == topology.KindEngine && t.Domain == domain {
			out = append(out, t)
		}
	}
	return out
}

// domainPeers lists the other live hosts of the failure domain.
func (f *fleet) domainPeers() []string {
	return slices.DeleteFunc(slices.Clone(f.table.LiveHosts(f.host.Domain)), func(id string) bool { return id == f.host.ID })
}

// hintPeers returns a random sample of at most maxHintPeers other live hosts of the
// failure domain.
func (f *fleet) hintPeers() []string {
	peers := f.domainPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxHintPeers)]
}

// randomRemoteHost returns a random live host of another failure domain.
func (f *fleet) randomRemoteHost() (string, bool) {
	others := f.liveHostsMatching(func(h topology.Host) bool { return h.Domain != f.host.Domain })
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

func (f *fleet) allLiveHosts() []string {
	return f.liveHostsMatching(func(topology.Host) bool { return true })
}

// sharingHosts returns the matching listed hosts that may still serve, and those
// that are known to be gone. A host that is leaving or unreachable may still serve.
func (f *fleet) sharingHosts(match func(topology.Host) bool) (serving, gone []string) {
	for _, h := range f.snapshot.Load().Hosts.Hosts {
		switch {
		case !match(h):
		case f.table.HostState(h.ID) == membership.Gone:
			gone = append(gone, h.ID)
		default:
			serving = append(serving, h.ID)
		}
	}
	return serving, gone
}

func (f *fleet) inOwnDomain(h topology.Host) bool { return h.Domain == f.host.Domain }

func (f *fleet) liveHostsMatching(match func(topology.Host) bool) []string {
	var ids []string
	for _, h := range f.snapshot.Load().Hosts.Hosts {
		if f.table.HostState(h.ID) == membership.Live && match(h) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}
