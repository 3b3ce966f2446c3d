package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/internal/gossip"
	"github.com/plantainrun/plantainrun/internal/gossip/gossippb"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	target           = "engine-1"
	dispatchInterval = 100 * time.Millisecond
	// leavingDeadline is the latest time after a target begins to leave at which a host may
	// still dispatch work to it.
	leavingDeadline = 5 * time.Second
)

// network simulates the transport in virtual time. It delays calls and drops requests or
// replies.
type network struct {
	hosts       []topology.Host
	byID        map[string]*host
	lossPercent uint64 // of requests, and of replies, that are dropped
	maxDelay    time.Duration
	pushBlocked string // host to which every push is dropped
}

type host struct {
	id           string
	net          *network
	table        *membership.Table
	gossip       *gossip.Gossip
	handler      gossip.Handler
	lastDispatch time.Time // when it last dispatched work to the target
}

// drawBelow returns a number in [0, n), hashed from the host, its peer, the purpose and the
// virtual time, so that a run can be repeated.
func (h *host) drawBelow(to, what string, n uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprint(h.id, to, what, time.Now().UnixNano())) % n
}

func (h *host) Call(ctx context.Context, to string, req *gossippb.Request) (*gossippb.Reply, error) {
	peer := h.net.byID[to]
	requestRoll, replyRoll := h.drawBelow(to, "there", 100), h.drawBelow(to, "back", 100)
	delay := time.Duration(h.drawBelow(to, "delay", uint64(h.net.maxDelay)))
	push := req.GetRoot() == 0 && len(req.GetWant()) == 0
	pushLost := push && to == h.net.pushBlocked
	if requestRoll < h.net.lossPercent || pushLost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(delay)
	reply := peer.handler(h.id, req)
	if replyRoll < h.net.lossPercent {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, errors.New("reply lost")
	}
	return reply, nil
}

func (h *host) Serve(handler gossip.Handler) { h.handler = handler }
func (h *host) Links() []string              { return mesh.PlanLinks(h.id, h.net.hosts) }
func (h *host) Peers() []mesh.PeerInfo       { return nil }
func (h *host) Sample(int) []string {
	return []string{h.net.hosts[h.drawBelow("", "sample", uint64(len(h.net.hosts)))].ID}
}

func newNetwork(domains, perDomain int) *network {
	n := &network{byID: make(map[string]*host)}
	for d := range domains {
		for i := range perDomain {
			n.hosts = append(n.hosts, topology.Host{ID: fmt.Sprintf("host-%d-%d", d, i), Domain: fmt.Sprintf("domain-%d", d)})
		}
	}
	var entries []membership.Entry
	for _, t := range n.hosts {
		entries = append(entries, membership.Entry{ID: t.ID, Domain: t.Domain})
	}
	for i, t := range n.hosts {
		h := &host{id: t.ID, net: n, table: membership.New(clock.System{}, membership.Config{})}
		h.table.SetHosts(1, entries)
		h.table.SetTargets(1, []membership.Entry{{ID: target, Domain: "domain-0"}})
		self := identity.Incarnation{Host: t.ID, Start: uint64(i + 1)}
		h.gossip = gossip.New(gossip.Config{Self: self, Started: time.Now(), Table: h.table, Transport: h})
		n.byID[t.ID] = h
	}
	return n
}

// run starts gossip on every host and dispatches work to the target from each host that
// sees it as live, until ctx ends.
func (n *network) run(ctx context.Context) {
	for _, h := range n.byID {
		go h.gossip.Run(ctx)
		go func() {
			for ctx.Err() == nil {
				if h.table.TargetState(target) == membership.Live {
					h.lastDispatch = time.Now()
				}
				time.Sleep(dispatchInterval)
			}
		}()
	}
}

// One host learns that a target is leaving, messages are lost, and no push reaches one of
// the hosts. The exchange must still stop every host's dispatches within the bound.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 6).Draw(rt, "domains")
		perDomain := rapid.IntRange(1, 3).Draw(rt, "hosts per domain")
		first := rapid.IntRange(0, domains*perDomain-1).Draw(rt, "first to know")
		blocked := rapid.IntRange(0, domains*perDomain-1).Draw(rt, "misses pushes")
		loss := rapid.Uint64Range(0, 10).Draw(rt, "loss in 100")
		source := rapid.SampledFrom([]string{"said", "refused", "listed"}).Draw(rt, "way")
		var late []string
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(domains, perDomain)
			n.lossPercent, n.maxDelay, n.pushBlocked = loss, 300*time.Millisecond, n.hosts[blocked].ID
			late = n.leave(t, n.byID[n.hosts[first].ID], source)
		})
		if len(late) > 0 {
			rt.Fatalf("work for the leaving target: %v", late)
		}
	})
}

// In a fleet of 100 hosts, the hosts that receive the leaving state have to forward it.
func TestLeavingStateReachesLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(20, 5)
		n.maxDelay = 50 * time.Millisecond
		gomega.NewWithT(t).Expect(n.leave(t, n.byID["host-0-0"], "said")).To(gomega.BeEmpty())
	})
}

// leave makes one host learn that the target is leaving and returns the hosts that
// dispatched work to it after the bound.
func (n *network) leave(t *testing.T, first *host, source string) []string {
	ctx, cancel := context.WithCancel(t.Context())
	n.run(ctx)
	time.Sleep(3 * time.Second)
	left := time.Now()
	first.gossip.Publish(first.observeLeaving(source, left))
	time.Sleep(leavingDeadline + time.Second)
	cancel()
	time.Sleep(5 * time.Second) // lets calls in flight end
	synctest.Wait()
	var late []string
	for _, h := range n.byID {
		if after := h.lastDispatch.Sub(left); after > leavingDeadline {
			late = append(late, fmt.Sprintf("%s after %v", h.id, after))
		}
	}
	slices.Sort(late)
	return late
}

// observeLeaving records in the host's table that the target is leaving: as the target reported it,
// as it refused work, or as the target list names it.
func (h *host) observeLeaving(source string, at time.Time) []membership.Event {
	switch source {
	case "said":
		return h.table.ObserveTarget(target, "start-7", at, true)
	case "refused":
		return h.table.RecordTargetRefusal(target)
	default:
		return h.table.SetTargets(2, []membership.Entry{{ID: target, Domain: "domain-0", Leaving: true}})
	}
}
