package mesh

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// ConnState tells how a peer can be reached.
type ConnState string

// The states of a peer's connection.
const (
	ConnUp   ConnState = "up"
	ConnIdle ConnState = "idle" // no connection, none failed
	ConnDown ConnState = "down" // the last dial failed
)

// PeerInfo is what a host knows of one peer's connections.
type PeerInfo struct {
	Host        string
	Incarnation identity.Incarnation // of the newest connection; zero before the first
	Domain      string
	State       ConnState
	RTT         time.Duration // of the last heartbeat
	BytesIn     uint64        // over the open connections
	BytesOut    uint64
	ConnectedAt time.Time // when the newest connection came up
	Started     time.Time // of the peer's process, by its clock
	// UnansweredDials counts the dials since the last connection that got no answer from
	// the peer; refusals are answers.
	UnansweredDials int
}

// peer is one host of the list with its connections.
type peer struct {
	mesh    *Mesh
	host    string
	dialSem chan struct{} // holds one token; its holder may dial

	mu              sync.Mutex
	sessions        []*session // newest last
	incarnation     identity.Incarnation
	domain          string
	connectedAt     time.Time
	started         time.Time
	dialFailures    int
	unansweredDials int       // failures without an answer
	nextDialAt      time.Time // no link dial before
	missingSince    time.Time // since when a link is missing
}

// getOrCreatePeer returns the record of a listed host.
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

// Peers returns what is known of every peer that was ever connected or dialled
// and is on the list, sorted by host.
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

// getSession returns a usable connection and whether it was dialled for this call.
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
