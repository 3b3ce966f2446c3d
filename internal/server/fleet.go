package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/config"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	// leavingMemory is how long a target that said that it leaves is avoided
	// although the list still names it.
	leavingMemory   = 5 * time.Minute
	noTargetRetry   = time.Second
	maxHostsInReply = 8
)

// fleet answers questions on hosts and targets from the published lists and
// from what this host saw itself. It is safe for concurrent use.
type fleet struct {
	host     config.Host
	snapshot atomic.Pointer[knowledge.Snapshot]

	mu      sync.Mutex
	leaving map[string]time.Time // until when, by target id
}

func newFleet(host config.Host) *fleet {
	f := &fleet{host: host, leaving: make(map[string]time.Time)}
	f.snapshot.Store(&knowledge.Snapshot{})
	return f
}

func (f *fleet) set(snap knowledge.Snapshot) { f.snapshot.Store(&snap) }

// Pick returns a target of a plain service: of the own failure domain if there
// is one, and any other otherwise.
func (f *fleet) Pick(_ context.Context, service string, exclude []string) (topology.Target, error) {
	var near, far []topology.Target
	for _, t := range f.snapshot.Load().Targets.Targets {
		if t.Kind != topology.KindService || t.Model != service || t.State != topology.StateLive || slices.Contains(exclude, t.ID) || f.isLeaving(t.ID) {
			continue
		}
		if t.Domain == f.host.Domain {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return topology.Target{}, apierror.NotRun(apierror.KindNoTarget, "come back later, or check the service's name", "no target of service %q is up", service).After(noTargetRetry)
	}
	return near[rand.IntN(len(near))], nil
}

// Leaving records that a target said that it is leaving.
func (f *fleet) Leaving(target topology.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[target.ID] = time.Now().Add(leavingMemory)
}

func (f *fleet) isLeaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, ok := f.leaving[id]
	return ok && time.Now().Before(until)
}

// LedgerHolders lists the live hosts of the partner, without this one.
func (f *fleet) LedgerHolders() []string {
	return f.hosts(func(h topology.Host) bool { return h.Partner == f.host.Partner && h.ID != f.host.ID })
}

// Elsewhere returns hosts of other failure domains, in random order.
func (f *fleet) Elsewhere(_ string, _, count int) []string {
	all := f.hosts(func(h topology.Host) bool { return h.Domain != f.host.Domain })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all), maxHostsInReply)]
}

// IncarnationGone reports whether a process is known to have ended.
func (f *fleet) IncarnationGone(identity.Incarnation) bool { return false }

func (f *fleet) liveHosts() []string { return f.hosts(func(topology.Host) bool { return true }) }

// domainHosts returns the live and the leaving hosts of the failure domain.
func (f *fleet) domainHosts() (live, left []string) {
	for _, h := range f.snapshot.Load().Hosts.Hosts {
		switch {
		case h.Domain != f.host.Domain:
		case h.State == topology.StateLive:
			live = append(live, h.ID)
		default:
			left = append(left, h.ID)
		}
	}
	return live, left
}

func (f *fleet) hosts(want func(topology.Host) bool) []string {
	var ids []string
	for _, h := range f.snapshot.Load().Hosts.Hosts {
		if h.State == topology.StateLive && want(h) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// engines returns the engines of the failure domain.
func (f *fleet) engines() []topology.Target {
	var out []topology.Target
	for _, t := range f.snapshot.Load().Targets.Targets {
		if t.Kind == topology.KindEngine && t.Domain == f.host.Domain {
			out = append(out, t)
		}
	}
	return out
}
