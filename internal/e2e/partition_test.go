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

// tcpProxy forwards TCP connections to one address and can block them to simulate
// a network partition.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	blocked bool
	conns   []net.Conn
}

func newTCPProxy(t *testing.T, target netip.AddrPort) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	p := &tcpProxy{listener: l, target: target.String()}
	t.Cleanup(func() {
		l.Close()
		p.setBlocked(true)
	})
	go p.serve()
	return p
}

func (p *tcpProxy) addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *tcpProxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil || !p.track(in, out) {
			in.Close()
			continue
		}
		go func() { _, _ = io.Copy(out, in); out.Close() }()
		go func() { _, _ = io.Copy(in, out); in.Close() }()
	}
}

// track registers the connections so that setBlocked can close them. While the
// proxy is blocked, it closes out and returns false.
func (p *tcpProxy) track(in, out net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked {
		out.Close()
		return false
	}
	p.conns = append(p.conns, in, out)
	return true
}

// setBlocked blocks or unblocks new connections. Blocking also closes all open
// connections.
func (p *tcpProxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	if !blocked {
		return
	}
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// A failure domain with a single host is partitioned from the platform and from
// the other domain while new rules are published. Both sides keep serving with the
// rules that each knows, and after the partition both use the newer rules. Neither
// side may go back to older ones.
func TestPartitionedDomainServesAndConverges(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClusterWithoutHosts(t, 2, 1)
	engine := startStandin(t, "engine", "--id=sapporo-engine-far", "--model="+modelName)
	remote := &host{id: "asahikawa-1", domain: "asahikawa", partner: partner}
	remote.callers, remote.peers, remote.operators = freeAddr(t), freeAddr(t), freeAddr(t)
	platformProxy := newTCPProxy(t, c.platform.addr)
	remote.platform = platformProxy.addr()
	c.hosts = append(c.hosts, remote)
	c.targets = append(c.targets, topology.Target{
		ID: "sapporo-engine-far", Kind: topology.KindEngine, Partner: partner, Domain: "asahikawa", State: topology.StateLive,
		Addr: engine.addr, Model: modelName, MemoryTokens: 400_000,
	})
	proxies := []*tcpProxy{platformProxy}
	list := topology.HostList{}
	for _, h := range c.hosts {
		peerProxy := newTCPProxy(t, h.peers)
		proxies = append(proxies, peerProxy)
		list.Hosts = append(list.Hosts, topology.Host{ID: h.id, Partner: partner, Domain: h.domain, State: topology.StateLive, PeerAddr: peerProxy.addr()})
	}
	c.publish(t, "hosts", marshal(t, list))
	c.publish(t, "targets", marshal(t, topology.TargetList{Targets: c.targets}))
	for _, h := range c.hosts {
		h.start(t)
	}
	for _, h := range c.hosts {
		h.waitReady(t)
	}

	for _, p := range proxies {
		p.setBlocked(true)
	}
	c.publish(t, "rules/kushiro", validRules("9s"))
	g.Eventually(func() string { return c.hosts[0].run(t, "audit", "--subject=rules/kushiro") }, eventTimeout).Should(gomega.ContainSubstring("short 9s"))
	for i := range 20 {
		for _, h := range []*host{remote, c.hosts[0]} {
			a, err := prompt(h, fmt.Sprint("question ", i), 5, 0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(a.complete).To(gomega.BeTrue(), "%s: %+v", h.id, a)
		}
	}
	r, err := callReservations(remote, newTicket(t, remote, "seat 5"), "seat 5")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.status).To(gomega.Equal(http.StatusCreated), "the ticket's owner and the service are reachable: %s", r.body)
	g.Expect(remote.run(t, "audit", "--subject=rules/kushiro")).NotTo(gomega.ContainSubstring("short 9s"))
	g.Expect(remote.run(t, "status")).To(gomega.MatchRegexp(`rules/kushiro +\d+ +\S+ ago`))

	for _, p := range proxies {
		p.setBlocked(false)
	}
	g.Eventually(func() string { return remote.run(t, "audit", "--subject=rules/kushiro") }, eventTimeout).Should(gomega.ContainSubstring("short 9s"))
}

// A host without engines in its failure domain forwards prompts to the other
// domain. When that domain is unreachable, it rejects prompts with a retry delay.
func TestPromptsAreForwardedToAnotherDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClusterWithoutHosts(t, 1, 1)
	remote := &host{id: "asahikawa-1", domain: "asahikawa", partner: partner, platform: c.platform.addr}
	remote.callers, remote.peers, remote.operators = freeAddr(t), freeAddr(t), freeAddr(t)
	c.hosts = append(c.hosts, remote)
	toSapporo := newTCPProxy(t, c.hosts[0].peers)
	toAsahikawa := newTCPProxy(t, remote.peers)
	c.publish(t, "hosts", marshal(t, topology.HostList{Hosts: []topology.Host{
		{ID: c.hosts[0].id, Partner: partner, Domain: "sapporo", State: topology.StateLive, PeerAddr: toSapporo.addr()},
		{ID: remote.id, Partner: partner, Domain: remote.domain, State: topology.StateLive, PeerAddr: toAsahikawa.addr()},
	}}))
	for _, h := range c.hosts {
		h.start(t)
	}
	for _, h := range c.hosts {
		h.waitReady(t)
	}
	g.Eventually(func() string {
		a, err := prompt(remote, "which glue", 10, 0)
		if err != nil || !a.complete {
			return ""
		}
		return a.text
	}, eventTimeout).Should(gomega.Equal(expectedText("which glue", 10)))

	toSapporo.setBlocked(true)
	toAsahikawa.setBlocked(true)
	a, err := prompt(remote, "which glue now", 10, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable), "%+v", a)
	g.Expect(a.err.Run).To(gomega.Equal("not_run"))
	g.Expect(a.err.RetryAfterSeconds).To(gomega.BeNumerically(">", 0))
}
