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
	// maxHintPeers bounds the hosts that hear of each batch of hints.
	maxHintPeers = 8
	// elsewhereWait is the longest predicted wait at which another failure domain is tried.
	maxRemoteWait = 30 * time.Second
	// goneMemory is how long it is remembered since when a process is gone.
	goneRetention = time.Hour
)

// fleet answers questions on hosts and targets: the published lists joined
// with what hosts saw. It is safe for concurrent use.
type fleet struct {
	host          config.Host
	clk           clock.Clock
	table         *membership.Table
	publishEvents func([]membership.Event) // to peers
	domainLoads   func() []schedule.DomainLoad
	snapshot      atomic.Pointer[knowledge.Snapshot]

	mu   sync.Mutex
	gone map[identity.Incarnation]time.Time // since when an owner is known to be gone
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

// set takes the lists in force.
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

// Pick returns a target of a plain service: of the own failure domain if there
// is one, and any other otherwise.
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

// Leaving records that a target said that it is leaving, and passes it on.
func (f *fleet) Leaving(target topology.Target) {
	f.publishEvents(f.table.RecordTargetRefusal(target.ID))
}

// LedgerHolders lists the live hosts of the partner, without this one.
func (f *fleet) LedgerHolders() []string {
	return f.liveHostsMatching(func(h topology.Host) bool { return h.Partner == f.host.Partner && h.ID != f.host.ID })
}

// Elsewhere returns hosts of the failure domain that would serve the model
// first, by the hints on their load, and of any other without a hint.
func (f *fleet) Elsewhere(model string, _, count int) []string {
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

// IncarnationGone reports whether a process is known to have ended.
func (f *fleet) IncarnationGone(inc identity.Incarnation) bool { return f.table.IncarnationGone(inc) }

// GoneSince returns since when a process is known to have ended.
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

// forgetLocked drops the processes that ended long ago. The caller holds mu.
func (f *fleet) evictGoneLocked(now time.Time) {
	for inc, since := range f.gone {
		if now.Sub(since) > goneRetention {
			delete(f.gone, inc)
		}
	}
}

// alive reports whether nobody knows that a host of the list is down or leaving.
func (f *fleet) maybeAlive(host string) bool {
	state := f.table.HostState(host)
	return state == membership.Live || state == membership.Unknown
}

// LiveHosts lists the live hosts of a failure domain.
func (f *fleet) LiveHosts(domain string) []string { return f.table.LiveHosts(domain) }

// Engines lists the engines of a failure domain, leaving ones included.
func (f *fleet) Engines(domain string) []topology.Target {
	var out []topology.Target
	for _, t := range f.snapshot.Load().Targets.Targets {
		if t.Kind == topology.KindEngine && t.Domain == domain {
			out = append(out, t)
		}
	}
	return out
}

// neighbours lists the other live hosts of the failure domain.
func (f *fleet) domainPeers() []string {
	return slices.DeleteFunc(slices.Clone(f.table.LiveHosts(f.host.Domain)), func(id string) bool { return id == f.host.ID })
}

// hintPeers samples the other live hosts of the failure domain: all of a small
// one, and a bounded number of a large one.
func (f *fleet) hintPeers() []string {
	peers := f.domainPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxHintPeers)]
}

// abroad returns a random live host of another failure domain.
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

// sharers returns the listed hosts that want selects and that may still serve,
// and those that are known to have ended. A host that is leaving, or that
// nobody reaches, may still serve.
func (f *fleet) sharingHosts(match func(topology.Host) bool) (serving, left []string) {
	for _, h := range f.snapshot.Load().Hosts.Hosts {
		switch {
		case !match(h):
		case f.table.HostState(h.ID) == membership.Gone:
			left = append(left, h.ID)
		default:
			serving = append(serving, h.ID)
		}
	}
	return serving, left
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
