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

// protocolVersion is incremented by every incompatible change of the protocol.
const protocolVersion = 1

// dial connects to a host on the host list and starts the session.
func (m *Mesh) dial(ctx context.Context, host string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	m.counters.dials.Add(1)
	s, err := m.dialSession(ctx, host)
	if err != nil {
		m.counters.dialFailures.Add(1)
		return nil, err
	}
	return s, m.startSession(s)
}

func (m *Mesh) dialSession(ctx context.Context, host string) (*session, error) {
	h, ok := m.lookupHost(host)
	if !ok {
		return nil, ErrUnknownHost
	}
	if m.cfg.TLS == nil && !m.cfg.PlainText && !h.PeerAddr.Addr().IsLoopback() {
		return nil, fmt.Errorf("%w: plain text to %s is refused; give a CA, a certificate and a key", ErrIdentity, h.PeerAddr.Addr())
	}
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", h.PeerAddr.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	s, err := m.clientHandshake(ctx, raw, host)
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

func (m *Mesh) clientHandshake(ctx context.Context, raw net.Conn, host string) (*session, error) {
	wire := &countingConn{Conn: raw, total: &m.counters}
	var conn net.Conn = wire
	if m.cfg.TLS != nil {
		tlsConn := tls.Client(wire, clientTLSConfig(m.cfg.TLS, host))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIdentity, err)
		}
		conn = tlsConn
	}
	if err := writeFrame(conn, m.newHello(host, "")); err != nil {
		return nil, err
	}
	var peerHello meshpb.Hello
	if err := readControlFrame(conn, &peerHello); err != nil {
		return nil, err
	}
	if peerHello.GetRefusal() != "" {
		return nil, fmt.Errorf("%w: %s", ErrRefused, peerHello.GetRefusal())
	}
	if peerHello.GetHost() != host {
		return nil, fmt.Errorf("%w: wanted %q, got %q", ErrIdentity, host, peerHello.GetHost())
	}
	return m.newSession(conn, wire, &peerHello, true)
}

func (m *Mesh) newHello(wantHost, refusal string) *meshpb.Hello {
	return &meshpb.Hello{
		Version: protocolVersion, Host: m.cfg.Self.Host, Start: m.cfg.Self.Start,
		Domain: m.cfg.Domain, Partner: m.cfg.Partner, WantHost: wantHost, Refusal: refusal,
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		m.tasks.Go(func() { m.handleConn(raw) })
	}
}

func (m *Mesh) handleConn(raw net.Conn) {
	if !m.addPendingConn(raw) {
		_ = raw.Close()
		return
	}
	_ = raw.SetDeadline(time.Now().Add(m.cfg.DialTimeout))
	s, err := m.serverHandshake(raw)
	m.removePendingConn(raw)
	if err != nil {
		m.counters.refused.Add(1)
		_ = raw.Close()
		return
	}
	_ = raw.SetDeadline(time.Time{})
	m.counters.accepted.Add(1)
	_ = m.startSession(s)
}

func (m *Mesh) serverHandshake(raw net.Conn) (*session, error) {
	wire := &countingConn{Conn: raw, total: &m.counters}
	var conn net.Conn = wire
	var certNames []string
	if m.cfg.TLS != nil {
		tlsConn := tls.Server(wire, m.cfg.TLS)
		if err := tlsConn.HandshakeContext(m.ctx); err != nil {
			return nil, err
		}
		conn = tlsConn
		certNames = peerCertificateNames(tlsConn.ConnectionState())
	}
	var hello meshpb.Hello
	if err := readControlFrame(conn, &hello); err != nil {
		return nil, err
	}
	if refusal := m.refusalReason(&hello, certNames); refusal != "" {
		_ = writeFrame(conn, m.newHello("", refusal))
		return nil, fmt.Errorf("%w: %s", ErrIdentity, refusal)
	}
	if err := writeFrame(conn, m.newHello("", "")); err != nil {
		return nil, err
	}
	return m.newSession(conn, wire, &hello, false)
}

// refusalReason returns why a hello is refused, or "" if it is accepted.
func (m *Mesh) refusalReason(hello *meshpb.Hello, certNames []string) string {
	host := hello.GetHost()
	h, listed := m.lookupHost(host)
	switch {
	case hello.GetVersion() != protocolVersion:
		return fmt.Sprintf("protocol version %d is not %d; run the same release everywhere", hello.GetVersion(), protocolVersion)
	case hello.GetWantHost() != m.cfg.Self.Host:
		return fmt.Sprintf("this is host %q; correct the address of %q on the host list", m.cfg.Self.Host, hello.GetWantHost())
	case host == m.cfg.Self.Host:
		return fmt.Sprintf("host id %q is in use here; give each host its own id", host)
	case m.cfg.TLS != nil && !containsHost(certNames, host):
		return fmt.Sprintf("the certificate doesn't name host %q; issue one that does", host)
	case !listed:
		return fmt.Sprintf("host %q is not on the host list known here; wait until the platform lists it", host)
	case h.Domain != hello.GetDomain():
		return fmt.Sprintf("host %q is listed in failure domain %q; correct its settings", host, h.Domain)
	}
	return ""
}

// startSession registers a session and serves it in its own goroutine. It closes the
// session and returns ErrClosing if the mesh is closing.
func (m *Mesh) startSession(s *session) error {
	m.mu.Lock()
	if m.ctx.Err() != nil || m.closing {
		m.mu.Unlock()
		s.close()
		return ErrClosing
	}
	p := m.getOrCreatePeerLocked(s.peer.Host)
	p.addSession(s)
	m.tasks.Go(s.run)
	if m.cfg.OnConnected != nil {
		m.tasks.Go(func() { m.cfg.OnConnected(p.info()) })
	}
	m.mu.Unlock()
	m.wakeMaintenance()
	return nil
}

func (m *Mesh) removeSession(s *session) {
	m.mu.RLock()
	p := m.peers[s.peer.Host]
	m.mu.RUnlock()
	if p != nil {
		p.removeSession(s)
	}
	m.wakeMaintenance()
}

func (m *Mesh) lookupHost(id string) (topology.Host, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.hosts[id]
	return h, ok
}

// addPendingConn records a connection whose handshake is not finished. It returns false if
// the mesh is closing or has too many of them.
func (m *Mesh) addPendingConn(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing || len(m.pendingConns) >= maxPendingConns {
		return false
	}
	m.pendingConns[conn] = struct{}{}
	return true
}

func (m *Mesh) removePendingConn(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pendingConns, conn)
}
