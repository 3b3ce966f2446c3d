package e2e_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/topology"
)

// relay stands in the way to one address and can cut it off.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, target netip.AddrPort) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	r := &relay{listener: l, target: target.String()}
	t.Cleanup(func() {
		l.Close()
		r.setCut(true)
	})
	go r.serve()
	return r
}

func (r *relay) addr() netip.AddrPort { return netip.MustParseAddrPort(r.listener.Addr().String()) }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.keep(in, out) {
			in.Close()
			continue
		}
		go func() { _, _ = io.Copy(out, in); out.Close() }()
		go func() { _, _ = io.Copy(in, out); in.Close() }()
	}
}

// keep reports false, and closes out, while the way is cut.
func (r *relay) keep(in, out net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		out.Close()
		return false
	}
	r.conns = append(r.conns, in, out)
	return true
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}

// A failure domain with one host left is cut off from the platform and from
// the other domain. Both sides go on serving, with the rules that each knows;
// after the cut both have the newer ones, and neither ever went back.
func TestCutOffDomainServesAloneAndCatchesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	c := prepareCluster(t, 2, 1)
	engine := startStandin(t, "engine", "--id=sapporo-engine-far", "--model="+modelName)
	far := &host{id: "asahikawa-1", domain: "asahikawa", partner: partner}
	far.callers, far.peers, far.operators = freeAddr(t), freeAddr(t), freeAddr(t)
	toPlatform := newRelay(t, c.platform.addr)
	far.platform = toPlatform.addr()
	c.hosts = append(c.hosts, far)
	c.targets = append(c.targets, topology.Target{
		ID: "sapporo-engine-far", Kind: topology.KindEngine, Partner: partner, Domain: "asahikawa", State: topology.StateLive,
		Addr: engine.addr, Model: modelName, MemoryTokens: 400_000,
	})
	relays := []*relay{toPlatform}
	list := topology.HostList{}
	for _, h := range c.hosts {
		way := newRelay(t, h.peers)
		relays = append(relays, way)
		list.Hosts = append(list.Hosts, topology.Host{ID: h.id, Partner: partner, Domain: h.domain, State: topology.StateLive, PeerAddr: way.addr()})
	}
	c.publish(t, "hosts", marshal(t, list))
	c.publish(t, "targets", marshal(t, topology.TargetList{Targets: c.targets}))
	for _, h := range c.hosts {
		h.start(t)
	}
	for _, h := range c.hosts {
		h.waitReady(t)
	}

	for _, r := range relays {
		r.setCut(true)
	}
	c.publish(t, "rules/kushiro", goodRules("9s"))
	g.Eventually(func() string { return c.hosts[0].run(t, "audit", "--subject=rules/kushiro") }, stateWait).Should(gomega.ContainSubstring("short 9s"))
	for i := range 20 {
		for _, h := range []*host{far, c.hosts[0]} {
			a, err := prompt(h, fmt.Sprint("question ", i), 5, 0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(a.whole).To(gomega.BeTrue(), "%s: %+v", h.id, a)
		}
	}
	r, err := callService(far, newTicket(t, far, "seat 5"), "seat 5")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.status).To(gomega.Equal(http.StatusCreated), "the ticket's owner and the service are within reach: %s", r.body)
	g.Expect(far.run(t, "audit", "--subject=rules/kushiro")).NotTo(gomega.ContainSubstring("short 9s"))
	g.Expect(far.run(t, "status")).To(gomega.MatchRegexp(`rules/kushiro +\d+ +\S+ ago`))

	for _, r := range relays {
		r.setCut(false)
	}
	g.Eventually(func() string { return far.run(t, "audit", "--subject=rules/kushiro") }, stateWait).Should(gomega.ContainSubstring("short 9s"))
}

// A host whose own failure domain has no engine has its prompts run in the
// other one. When that is cut off, callers are refused with when to come back.
func TestPromptsRunInAnotherDomainWhenTheOwnHasNoRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	c := prepareCluster(t, 1, 1)
	far := &host{id: "asahikawa-1", domain: "asahikawa", partner: partner, platform: c.platform.addr}
	far.callers, far.peers, far.operators = freeAddr(t), freeAddr(t), freeAddr(t)
	c.hosts = append(c.hosts, far)
	way := newRelay(t, c.hosts[0].peers)
	back := newRelay(t, far.peers)
	c.publish(t, "hosts", marshal(t, topology.HostList{Hosts: []topology.Host{
		{ID: c.hosts[0].id, Partner: partner, Domain: "sapporo", State: topology.StateLive, PeerAddr: way.addr()},
		{ID: far.id, Partner: partner, Domain: far.domain, State: topology.StateLive, PeerAddr: back.addr()},
	}}))
	for _, h := range c.hosts {
		h.start(t)
	}
	for _, h := range c.hosts {
		h.waitReady(t)
	}
	g.Eventually(func() string {
		a, err := prompt(far, "which glue", 10, 0)
		if err != nil || !a.whole {
			return ""
		}
		return a.text
	}, stateWait).Should(gomega.Equal(wholeText("which glue", 10)))

	way.setCut(true)
	back.setCut(true)
	a, err := prompt(far, "which glue now", 10, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable), "%+v", a)
	g.Expect(a.err.Run).To(gomega.Equal("not_run"))
	g.Expect(a.err.RetryAfterSeconds).To(gomega.BeNumerically(">", 0))
}
