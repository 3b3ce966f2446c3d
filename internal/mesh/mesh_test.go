package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	settle  = 20 * time.Second // generous: waits end as soon as the state is there
	echoing = "echo"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func startMesh(t testing.TB, cfg Config) *Mesh {
	g := gomega.NewWithT(t)
	if !cfg.Listen.IsValid() {
		cfg.Listen = loopback
	}
	cfg.Domain = "north"
	m, err := New(cfg)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m.Handle(echoing, echo)
	g.Expect(m.Start(context.Background())).To(gomega.Succeed())
	t.Cleanup(m.Close)
	return m
}

func echo(_ context.Context, s *Stream) error {
	for {
		var msg wrapperspb.BytesValue
		if err := s.Recv(&msg); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := s.Send(&msg); err != nil {
			return err
		}
	}
}

func listed(meshes ...*Mesh) []topology.Host {
	var hosts []topology.Host
	for _, m := range meshes {
		hosts = append(hosts, topology.Host{ID: m.cfg.Self.Host, Domain: m.cfg.Domain, State: topology.StateLive, PeerAddr: m.Addr()})
	}
	return hosts
}

func connect(meshes ...*Mesh) {
	for _, m := range meshes {
		m.SetHosts(listed(meshes...))
	}
}

func inc(host string) identity.Incarnation { return identity.Incarnation{Host: host, Start: 7} }

func connectedPair(t testing.TB, tune func(*Config)) (*Mesh, *Mesh) {
	a, b := pair(t, tune)
	connect(a, b)
	return a, b
}

func pair(t testing.TB, tune func(*Config)) (*Mesh, *Mesh) {
	ca := NewTestCA(t)
	a := Config{Self: inc("a"), TLS: ca.Config(t, "a", false)}
	b := Config{Self: inc("b"), TLS: ca.Config(t, "b", true)}
	if tune != nil {
		tune(&a)
		tune(&b)
	}
	return startMesh(t, a), startMesh(t, b)
}

func TestStreamCarriesMessagesBothWays(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := connectedPair(t, nil)
	st, err := a.Open(t.Context(), "b", echoing)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer st.Close()
	g.Expect(st.Peer()).To(gomega.Equal(b.cfg.Self))
	payload := []byte(strings.Repeat("x", 3<<20)) // above the stream's window
	got := make(chan *wrapperspb.BytesValue, 1)
	go func() {
		var msg wrapperspb.BytesValue
		_ = st.Recv(&msg)
		got <- &msg
	}()
	g.Expect(st.Send(wrapperspb.Bytes(payload))).To(gomega.Succeed())
	g.Expect((<-got).GetValue()).To(gomega.Equal(payload))
	g.Expect(st.CloseSend()).To(gomega.Succeed())
	g.Expect(st.Recv(new(wrapperspb.BytesValue))).To(gomega.MatchError(io.EOF))
	g.Eventually(a.Links, settle).Should(gomega.Equal([]string{"b"}))
	g.Expect(a.Peers()[0].Incarnation).To(gomega.Equal(b.cfg.Self))
	g.Expect(a.Stats().BytesOut).To(gomega.BeNumerically(">", len(payload)))
}

func TestOpenFailsWithoutSending(t *testing.T) {
	a, b := connectedPair(t, nil)
	gone := startMesh(t, Config{Self: inc("gone")})
	hosts := append(listed(a, b, gone), topology.Host{ID: "none", Domain: "north", PeerAddr: gone.Addr()})
	a.SetHosts(hosts)
	gone.Close()
	for _, c := range []struct {
		host, method string
		cause        error
	}{
		{"stranger", echoing, ErrUnknownHost},
		{"gone", echoing, ErrUnreachable},
		{"b", "no such method", ErrUnknownMethod},
	} {
		_, err := a.Open(t.Context(), c.host, c.method)
		g := gomega.NewWithT(t)
		g.Expect(err).To(gomega.MatchError(c.cause), c.host)
		g.Expect(err).To(gomega.MatchError(ErrNotSent), c.host)
	}
}

func TestMessageTooLarge(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := connectedPair(t, func(c *Config) {
		if c.Self.Host == "b" {
			c.MaxMessageBytes = 100
		}
	})
	refused := make(chan error, 1)
	b.Handle("sink", func(_ context.Context, s *Stream) error {
		refused <- s.Recv(new(wrapperspb.BytesValue))
		return ErrTooLarge
	})
	st, err := a.Open(t.Context(), "b", "sink")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer st.Close()
	err = st.Send(wrapperspb.Bytes(make([]byte, DefaultMaxMessageBytes+1)))
	g.Expect(err).To(gomega.MatchError(ErrTooLarge))
	g.Expect(err).To(gomega.MatchError(ErrNotSent))
	g.Expect(st.Send(wrapperspb.Bytes(make([]byte, 200)))).To(gomega.Succeed())
	g.Expect(<-refused).To(gomega.MatchError(ErrTooLarge))
	err = st.Recv(new(wrapperspb.BytesValue)) // the peer ended the stream
	g.Expect(err).To(gomega.MatchError(ErrAborted))
	g.Expect(err).NotTo(gomega.MatchError(ErrNotSent))
}

func TestPlainOnlyOnLoopback(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := New(Config{Self: inc("a"), Listen: netip.MustParseAddrPort("192.0.2.1:7000")})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("give a CA")))
	a := startMesh(t, Config{Self: inc("a")})
	a.SetHosts(append(listed(a), topology.Host{ID: "b", Domain: "north", PeerAddr: netip.MustParseAddrPort("192.0.2.1:7000")}))
	_, err = a.Open(t.Context(), "b", echoing)
	g.Expect(err).To(gomega.MatchError(ErrIdentity))
}

// Each case is a peer that must not get in or be believed.
func TestPeersProveThemselves(t *testing.T) {
	ca, foreign := NewTestCA(t), NewTestCA(t)
	good := startMesh(t, Config{Self: inc("good"), TLS: ca.Config(t, "good", false)})
	for _, c := range []struct {
		name   string
		cfg    Config
		listed bool
		cause  error
		says   string
	}{
		{"wrong CA", Config{Self: inc("p"), TLS: foreign.Config(t, "p", false)}, true, nil, ""},
		{"off the list", Config{Self: inc("p"), TLS: ca.Config(t, "p", false)}, false, ErrRefused, "not on the host list"},
		{"plain", Config{Self: inc("p")}, true, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := startMesh(t, c.cfg)
			if p.cfg.TLS != nil { // what the stranger itself accepts must not matter
				p.cfg.TLS.ClientAuth, p.cfg.TLS.RootCAs = tls.RequestClientCert, good.cfg.TLS.RootCAs
			}
			good.SetHosts(listed(good))
			if c.listed {
				good.SetHosts(listed(good, p))
			}
			p.SetHosts(listed(good, p))
			_, err := p.Open(t.Context(), "good", echoing)
			g.Expect(err).To(gomega.MatchError(ErrNotSent))
			if c.cause != nil {
				g.Expect(err).To(gomega.MatchError(c.cause))
				g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.says)))
			}
			_, err = good.Open(t.Context(), "p", echoing)
			g.Expect(err).To(gomega.MatchError(ErrNotSent))
		})
	}
}

// A host with a valid certificate claims another host's id, in either direction.
func TestHostIDIsBoundToTheCertificate(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := NewTestCA(t)
	good := startMesh(t, Config{Self: inc("good"), TLS: ca.Config(t, "good", false)})
	thief := startMesh(t, Config{Self: inc("thief"), TLS: ca.Config(t, "thief", false)})
	thief.cfg.Self.Host = "victim"
	connect(good, thief)
	_, err := thief.Open(t.Context(), "good", echoing)
	g.Expect(err).To(gomega.MatchError(ErrRefused))
	_, err = good.Open(t.Context(), "victim", echoing)
	g.Expect(err).To(gomega.MatchError(ErrIdentity))
	_, err = New(Config{Self: inc("a"), Listen: loopback, TLS: ca.Config(t, "other", false)})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("doesn't name host")))
}

// silencer forwards bytes until told to drop them, like something between the two
// ends that lost track of a connection: neither end hears of the other again. Later
// connections work.
type silencer struct {
	listener net.Listener
	silent   chan struct{}
	done     chan struct{}
}

func newSilencer(t testing.TB, to netip.AddrPort) *silencer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := &silencer{listener: l, silent: make(chan struct{}), done: make(chan struct{})}
	go func() {
		for first := true; ; first = false {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			go s.pipe(in, out, first)
			go s.pipe(out, in, first)
		}
	}()
	t.Cleanup(func() { close(s.done); _ = l.Close() })
	return s
}

func (s *silencer) pipe(from, to net.Conn, first bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if first && s.isSilent() {
			<-s.done
			return
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (s *silencer) isSilent() bool {
	select {
	case <-s.silent:
		return true
	default:
		return false
	}
}

func TestOpenReplacesASilentConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	slow := func(c *Config) { c.HeartbeatInterval, c.OpenTimeout = time.Hour, 200*time.Millisecond }
	a, b := pairThrough(t, slow)
	open(g, t, a).Close()
	close(b.silent)
	open(g, t, a).Close()
	g.Expect(a.Stats().SilentClosed).To(gomega.BeEquivalentTo(1))
	g.Expect(a.Stats().Dials).To(gomega.BeEquivalentTo(2))
}

func TestHeartbeatReplacesASilentLink(t *testing.T) {
	g := gomega.NewWithT(t)
	fast := func(c *Config) { c.HeartbeatInterval, c.HeartbeatTimeout = 20*time.Millisecond, 200*time.Millisecond }
	a, b := pairThrough(t, fast)
	up := func() LinkState { return a.Peers()[0].State }
	g.Eventually(func() []PeerInfo { return a.Peers() }, settle).Should(gomega.HaveLen(1))
	g.Eventually(up, settle).Should(gomega.Equal(ConnUp))
	close(b.silent)
	g.Eventually(func() uint64 { return a.Stats().SilentClosed }, settle).Should(gomega.BeNumerically(">=", 1))
	g.Eventually(up, settle).Should(gomega.Equal(ConnUp))
}

// pairThrough returns host a and the silencer through which it reaches host b.
func pairThrough(t testing.TB, tune func(*Config)) (*Mesh, *silencer) {
	a, b := pair(t, tune)
	s := newSilencer(t, b.Addr())
	hosts := listed(a, b)
	b.SetHosts([]topology.Host{{ID: "a", Domain: "north", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1")}, hosts[1]})
	hosts[1].PeerAddr = s.listener.Addr().(*net.TCPAddr).AddrPort()
	a.SetHosts(hosts)
	return a, s
}

func open(g *gomega.WithT, t testing.TB, m *Mesh) *Stream {
	st, err := m.Open(t.Context(), "b", echoing)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(st.Send(wrapperspb.Bytes([]byte("ping")))).To(gomega.Succeed())
	var msg wrapperspb.BytesValue
	g.Expect(st.Recv(&msg)).To(gomega.Succeed())
	return st
}
