package mesh

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// ConnState is the state of the connection to a peer.
type ConnState string

// States of the connection to a peer.
const (
	ConnUp   ConnState = "up"   // connected
	ConnIdle ConnState = "idle" // not connected, and the last dial did not fail
	ConnDown ConnState = "down" // not connected, and the last dial failed
)

// PeerInfo describes a peer and the connections to it.
type PeerInfo struct {
	Host        string
	Incarnation identity.Incarnation // the peer's process on the newest connection; zero before the first one
	Domain      string
	State       ConnState
	RTT         time.Duration // round-trip time of the last heartbeat
	BytesIn     uint64        // received over the connections that are open now
	BytesOut    uint64        // sent over the connections that are open now
	ConnectedAt time.Time     // when the newest connection was established
	Started     time.Time     // when the peer's process started, by its own clock
	// UnansweredDials is the number of dials since the last connection that the peer did
	// not respond to. A refusal counts as a response.
	UnansweredDials int
}

// peer holds the connections and the dial state of one host of the host list.
type peer struct {
	mesh    *Mesh
	host    string
	dialSem chan struct{} // semaphore that allows one dial at a time

	mu              sync.Mutex
	sessions        []*session // newest last
	incarnation     identity.Incarnation
	domain          string
	connectedAt     time.Time
	started         time.Time
	dialFailures    int
	unansweredDials int       // dial failures without a response from the peer
	nextDialAt      time.Time // links are not dialled before this time
	missingSince    time.Time // since when the peer is wanted as a link but not connected
}

// getOrCreatePeer returns the peer of a host on the host list. The error matches ErrNotSent.
func (m *Mesh) getOrCreatePeer(host string) (*peer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return nil, notSent(host, "open", "ask another host", ErrClosing)
	}
	if _, listed := m.hosts[host]; !listed || host == m.cfg.Self.Host {
		return nil, notSent(host, "open", "wait until the platform's host list names it", ErrUnknownHost)
	}
	return m.getOrCreatePeerLocked(host), nil
}

// getOrCreatePeerLocked returns the peer of a host; m.mu must be held for writing.
func (m *Mesh) getOrCreatePeerLocked(host string) *peer {
	p := m.peers[host]
	if p == nil {
		p = &peer{mesh: m, host: host, dialSem: make(chan struct{}, 1)}
		m.peers[host] = p
	}
	return p
}

func (m *Mesh) allPeers() []*peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		all = append(all, p)
	}
	return all
}

// Peers describes every host that was connected or dialled and has not been removed since
// for being off the host list, sorted by host id.
func (m *Mesh) Peers() []PeerInfo {
	var infos []PeerInfo
	for _, p := range m.allPeers() {
		infos = append(infos, p.info())
	}
	slices.SortFunc(infos, func(a, b PeerInfo) int { return compareStrings(a.Host, b.Host) })
	return infos
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (p *peer) info() PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	info := PeerInfo{Host: p.host, Incarnation: p.incarnation, Domain: p.domain, State: ConnIdle, ConnectedAt: p.connectedAt,
		Started: p.started, UnansweredDials: p.unansweredDials}
	if p.dialFailures > 0 {
		info.State = ConnDown
	}
	for _, s := range p.sessions {
		info.State = ConnUp
		info.RTT = time.Duration(s.rtt.Load())
		info.BytesIn += s.wire.in.Load()
		info.BytesOut += s.wire.out.Load()
	}
	return info
}

func (p *peer) open(ctx context.Context, method string) (*Stream, error) {
	for {
		s, newlyDialled, err := p.getSession(ctx)
		if err != nil {
			return nil, notSent(p.host, "dial", "ask another host or try again", err)
		}
		st, err := s.open(ctx, method)
		switch {
		case err == nil:
			return st, nil
		case errors.Is(err, ErrUnknownMethod), errors.Is(err, ErrBusy), errors.Is(err, ErrClosing), ctx.Err() != nil, newlyDialled:
			return nil, notSent(p.host, "open", "ask another host or try again", err)
		}
		s.closeUnresponsive()
	}
}

// getSession returns a usable session, dialling if there is none, and whether this call
// dialled it.
func (p *peer) getSession(ctx context.Context) (*session, bool, error) {
	if s := p.usableSession(); s != nil {
		return s, false, nil
	}
	select {
	case p.dialSem <- struct{}{}:
		defer func() { <-p.dialSem }()
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	if s := p.usableSession(); s != nil {
		return s, false, nil
	}
	s, err := p.mesh.dial(ctx, p.host)
	p.recordDialResult(err)
	return s, err == nil, err
}

// usableSession returns the newest session that accepts new streams, or nil.
func (p *peer) usableSession() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range slices.Backward(p.sessions) {
		if s.usable() {
			return s
		}
	}
	return nil
}

func (p *peer) allSessions() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.sessions)
}

func (p *peer) sessionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

func (p *peer) addSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = append(p.sessions, s)
	p.incarnation, p.domain, p.connectedAt, p.started = s.peer, s.domain, time.Now(), s.started
	p.unansweredDials = 0
	p.dialFailures, p.nextDialAt, p.missingSince = 0, time.Time{}, time.Time{}
}

func (p *peer) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = slices.DeleteFunc(p.sessions, func(other *session) bool { return other == s })
}

// recordDialResult counts a failed dial and sets the time of the next link dial. A successful
// dial is recorded by addSession.
func (p *peer) recordDialResult(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		return
	}
	p.dialFailures++
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrIdentity) && !errors.Is(err, context.Canceled) {
		p.unansweredDials++
	}
	p.nextDialAt = time.Now().Add(dialBackoff(p.dialFailures))
}
