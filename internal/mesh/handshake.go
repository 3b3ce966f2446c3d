package mesh

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/plantainrun/plantainrun/internal/mesh/meshpb"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// protocolVersion changes when hosts of two versions can't talk to each other.
const protocolVersion = 1

// dial connects to a listed host and starts the session.
func (m *Mesh) dial(ctx context.Context, host string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	m.traffic.dials.Add(1)
	s, err := m.dialSession(ctx, host)
	if err != nil {
		m.traffic.dialFailures.Add(1)
		return nil, err
	}
	return s, m.begin(s)
}

func (m *Mesh) dialSession(ctx context.Context, host string) (*session, error) {
	h, ok := m.host(host)
	if !ok {
		return nil, ErrUnknownHost
	}
	if m.cfg.TLS == nil && !h.PeerAddr.Addr().IsLoopback() {
		return nil, fmt.Errorf("%w: plain text to %s is refused; give a CA, a certificate and a key", ErrIdentity, h.PeerAddr.Addr())
	}
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", h.PeerAddr.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	s, err := m.dialHello(ctx, raw, host)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	if !stop() {
		s.close()
		return nil, ctx.Err()
	}
	return s, nil
}

func (m *Mesh) dialHello(ctx context.Context, raw net.Conn, host string) (*session, error) {
	wire := &countedConn{Conn: raw, traffic: &m.traffic}
	var conn net.Conn = wire
	if m.cfg.TLS != nil {
		secure := tls.Client(wire, clientConfig(m.cfg.TLS, host))
		if err := secure.HandshakeContext(ctx); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIdentity, err)
		}
		conn = secure
	}
	if err := writeFrame(conn, m.hello(host, "")); err != nil {
		return nil, err
	}
	var answer meshpb.Hello
	if err := readFrame(conn, &answer, maxControlBytes); err != nil {
		return nil, err
	}
	if answer.GetRefusal() != "" {
		return nil, fmt.Errorf("%w: %s", ErrRefused, answer.GetRefusal())
	}
	if answer.GetHost() != host {
		return nil, fmt.Errorf("%w: wanted %q, got %q", ErrIdentity, host, answer.GetHost())
	}
	return m.newSession(conn, wire, &answer, true)
}

func (m *Mesh) hello(want, refusal string) *meshpb.Hello {
	return &meshpb.Hello{
		Version: protocolVersion, Host: m.cfg.Self.Host, Start: m.cfg.Self.Start,
		Domain: m.cfg.Domain, Partner: m.cfg.Partner, WantHost: want, Refusal: refusal,
		StartedMs: m.cfg.Started.UnixMilli(),
	}
}

func (m *Mesh) acceptLoop(listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if m.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptRetry)
			continue
		}
		m.tasks.Go(func() { m.accept(raw) })
	}
}

func (m *Mesh) accept(raw net.Conn) {
	if !m.trackAccept(raw) {
		_ = raw.Close()
		return
	}
	_ = raw.SetDeadline(time.Now().Add(m.cfg.DialTimeout))
	s, err := m.acceptHello(raw)
	m.untrackAccept(raw)
	if err != nil {
		m.traffic.refused.Add(1)
		_ = raw.Close()
		return
	}
	_ = raw.SetDeadline(time.Time{})
	m.traffic.accepted.Add(1)
	_ = m.begin(s)
}

func (m *Mesh) acceptHello(raw net.Conn) (*session, error) {
	wire := &countedConn{Conn: raw, traffic: &m.traffic}
	var conn net.Conn = wire
	var names []string
	if m.cfg.TLS != nil {
		secure := tls.Server(wire, m.cfg.TLS)
		if err := secure.HandshakeContext(m.ctx); err != nil {
			return nil, err
		}
		conn = secure
		names = certificateHosts(secure.ConnectionState())
	}
	var hello meshpb.Hello
	if err := readFrame(conn, &hello, maxControlBytes); err != nil {
		return nil, err
	}
	if refusal := m.refusal(&hello, names); refusal != "" {
		_ = writeFrame(conn, m.hello("", refusal))
		return nil, fmt.Errorf("%w: %s", ErrIdentity, refusal)
	}
	if err := writeFrame(conn, m.hello("", "")); err != nil {
		return nil, err
	}
	return m.newSession(conn, wire, &hello, false)
}

// refusal says why a hello is not accepted; empty: it is.
func (m *Mesh) refusal(hello *meshpb.Hello, certified []string) string {
	host := hello.GetHost()
	h, listed := m.host(host)
	switch {
	case hello.GetVersion() != protocolVersion:
		return fmt.Sprintf("protocol version %d is not %d; run the same release everywhere", hello.GetVersion(), protocolVersion)
	case hello.GetWantHost() != m.cfg.Self.Host:
		return fmt.Sprintf("this is host %q; correct the address of %q on the host list", m.cfg.Self.Host, hello.GetWantHost())
	case host == m.cfg.Self.Host:
		return fmt.Sprintf("host id %q is in use here; give each host its own id", host)
	case m.cfg.TLS != nil && !names(certified, host):
		return fmt.Sprintf("the certificate doesn't name host %q; issue one that does", host)
	case !listed:
		return fmt.Sprintf("host %q is not on the host list known here; wait until the platform lists it", host)
	case h.Domain != hello.GetDomain():
		return fmt.Sprintf("host %q is listed in failure domain %q; correct its settings", host, h.Domain)
	}
	return ""
}

// begin registers a session and serves it in its own goroutine.
func (m *Mesh) begin(s *session) error {
	m.mu.Lock()
	if m.ctx.Err() != nil || m.closing {
		m.mu.Unlock()
		s.close()
		return ErrClosing
	}
	p := m.peerLocked(s.peer.Host)
	p.add(s)
	m.tasks.Go(s.run)
	if m.cfg.OnUp != nil {
		m.tasks.Go(func() { m.cfg.OnUp(p.info()) })
	}
	m.mu.Unlock()
	m.nudge()
	return nil
}

func (m *Mesh) forget(s *session) {
	m.mu.RLock()
	p := m.peers[s.peer.Host]
	m.mu.RUnlock()
	if p != nil {
		p.remove(s)
	}
	m.nudge()
}

func (m *Mesh) host(id string) (topology.Host, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.hosts[id]
	return h, ok
}

func (m *Mesh) trackAccept(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing || len(m.accepts) >= maxPendingAccepts {
		return false
	}
	m.accepts[conn] = struct{}{}
	return true
}

func (m *Mesh) untrackAccept(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepts, conn)
}
