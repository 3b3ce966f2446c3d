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
	target       = "engine-1"
	workInterval = 100 * time.Millisecond
	// leavingBound is the promise: no new work later than this.
	leavingBound = 5 * time.Second
)

// network carries calls between hosts in virtual time: late, or lost on the way there or back.
type network struct {
	hosts    []topology.Host
	byID     map[string]*host
	lossPart uint64 // of 100
	maxDelay time.Duration
	deaf     string // host that every push misses
}

type host struct {
	id      string
	net     *network
	table   *membership.Table
	gossip  *gossip.Gossip
	handler gossip.Handler
	lastRun time.Time // when it last gave the target work
}

// chance draws from 0 to n-1 by where and when, so that each run draws the same.
func (h *host) chance(to, what string, n uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprint(h.id, to, what, time.Now().UnixNano())) % n
}

func (h *host) Call(ctx context.Context, to string, req *gossippb.Request) (*gossippb.Reply, error) {
	peer := h.net.byID[to]
	there, back := h.chance(to, "there", 100), h.chance(to, "back", 100)
	delay := time.Duration(h.chance(to, "delay", uint64(h.net.maxDelay)))
	push := req.GetRoot() == 0 && len(req.GetWant()) == 0
	lost := push && to == h.net.deaf
	if there < h.net.lossPart || lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(delay)
	reply := peer.handler(h.id, req)
	if back < h.net.lossPart {
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
	return []string{h.net.hosts[h.chance("", "sample", uint64(len(h.net.hosts)))].ID}
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

// run lets every host gossip and give the target work until stop.
func (n *network) run(ctx context.Context) {
	for _, h := range n.byID {
		go h.gossip.Run(ctx)
		go func() {
			for ctx.Err() == nil {
				if h.table.TargetState(target) == membership.Live {
					h.lastRun = time.Now()
				}
				time.Sleep(workInterval)
			}
		}()
	}
}

// A target leaves; one host learns it, and a drawn other host misses every push. Nobody gives
// the target work later than the bound.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 6).Draw(rt, "domains")
		perDomain := rapid.IntRange(1, 3).Draw(rt, "hosts per domain")
		first := rapid.IntRange(0, domains*perDomain-1).Draw(rt, "first to know")
		deaf := rapid.IntRange(0, domains*perDomain-1).Draw(rt, "misses pushes")
		loss := rapid.Uint64Range(0, 10).Draw(rt, "loss in 100")
		way := rapid.SampledFrom([]string{"said", "refused", "listed"}).Draw(rt, "way")
		var late []string
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(domains, perDomain)
			n.lossPart, n.maxDelay, n.deaf = loss, 300*time.Millisecond, n.hosts[deaf].ID
			late = n.leave(t, n.byID[n.hosts[first].ID], way)
		})
		if len(late) > 0 {
			rt.Fatalf("work for the leaving target: %v", late)
		}
	})
}

// At the size of a large fleet, news is passed on by those who hear it.
func TestNewsCrossesALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(20, 5)
		n.maxDelay = 50 * time.Millisecond
		gomega.NewWithT(t).Expect(n.leave(t, n.byID["host-0-0"], "said")).To(gomega.BeEmpty())
	})
}

// leave lets one host learn that the target leaves, and returns the hosts that gave it
// work after the bound.
func (n *network) leave(t *testing.T, first *host, way string) []string {
	ctx, cancel := context.WithCancel(t.Context())
	n.run(ctx)
	time.Sleep(3 * time.Second)
	left := time.Now()
	first.gossip.Publish(first.learn(way, left))
	time.Sleep(leavingBound + time.Second)
	cancel()
	time.Sleep(5 * time.Second) // calls on the way end
	synctest.Wait()
	var late []string
	for _, h := range n.byID {
		if after := h.lastRun.Sub(left); after > leavingBound {
			late = append(late, fmt.Sprintf("%s after %v", h.id, after))
		}
	}
	slices.Sort(late)
	return late
}

func (h *host) learn(way string, at time.Time) []membership.Event {
	switch way {
	case "said":
		return h.table.ObserveTarget(target, "start-7", at, true)
	case "refused":
		return h.table.RecordTargetRefusal(target)
	default:
		return h.table.SetTargets(2, []membership.Entry{{ID: target, Domain: "domain-0", Leaving: true}})
	}
}
