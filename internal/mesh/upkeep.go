package mesh

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	upkeepInterval    = time.Second
	drainPoll         = 10 * time.Millisecond
	acceptRetry       = 50 * time.Millisecond
	minDialBackoff    = 250 * time.Millisecond
	maxDialBackoff    = 8 * time.Second
	maxPendingAccepts = 128
	// dialGrace is how long the host with the higher id leaves the dialling of a link
	// to the other side, so that two hosts seldom hold two connections.
	dialGrace = time.Second
)

// dialBackoff is the jittered wait after the given number of failed dials.
func dialBackoff(failures int) time.Duration {
	wait := min(maxDialBackoff, minDialBackoff<<min(failures-1, 10))
	return wait/2 + rand.N(wait/2)
}

func (m *Mesh) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Mesh) upkeepLoop() {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		m.upkeep()
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// upkeep dials missing links and retires connections that nobody needs.
func (m *Mesh) upkeep() {
	m.mu.RLock()
	slots := m.slots
	m.mu.RUnlock()
	var links []string
	for _, candidates := range slots {
		if link := m.keepSlot(candidates); link != "" {
			links = append(links, link)
		}
	}
	slices.Sort(links)
	links = slices.Compact(links)
	m.mu.Lock()
	m.links = links
	m.mu.Unlock()
	m.retireUnused(links)
	m.dropUnlisted()
}

// keepSlot returns the first candidate that is connected or has not failed, and dials
// it and those before it.
func (m *Mesh) keepSlot(candidates slot) string {
	for _, host := range candidates {
		p, err := m.peer(host)
		if err != nil {
			continue
		}
		if p.usable() != nil {
			return host
		}
		failed := p.dialLink()
		if !failed {
			return host
		}
	}
	return ""
}

// dialLink dials in the background when it is time to, and reports whether the
// last dial failed.
func (p *peer) dialLink() bool {
	now := time.Now()
	p.mu.Lock()
	failed := p.failures > 0
	if p.wantedAt.IsZero() {
		p.wantedAt = now
	}
	due := !now.Before(p.retryAt)
	if p.mesh.cfg.Self.Host > p.host && now.Sub(p.wantedAt) < dialGrace {
		due = false
	}
	p.mu.Unlock()
	if due && len(p.dialing) == 0 {
		p.mesh.spawn(p.connect)
	}
	return failed
}

// connect dials unless the peer is connected.
func (p *peer) connect() {
	_, _, _ = p.session(p.mesh.ctx)
	p.mesh.nudge()
}

// spawn runs f in a goroutine that Close waits for, unless the mesh is closing.
func (m *Mesh) spawn(f func()) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.closing {
		m.tasks.Go(f)
	}
}

// retireUnused ends idle connections that this host dialled and that are no links.
func (m *Mesh) retireUnused(links []string) {
	idleSince := time.Now().Add(-m.cfg.IdleTimeout).UnixNano()
	for _, p := range m.allPeers() {
		sessions := p.all()
		_, listed := m.host(p.host)
		_, link := slices.BinarySearch(links, p.host)
		for i, s := range sessions {
			duplicate := i < len(sessions)-1
			idle := s.lastUsed.Load() < idleSince
			if !listed || (s.outbound && idle && (duplicate || !link)) {
				s.retire()
			}
			if s.done() {
				m.traffic.idle.Add(1)
				s.close()
			}
		}
	}
}

// done reports whether a retired connection may close: no stream is open, and those that
// crossed the retirement on the wire had time to be refused.
func (s *session) done() bool {
	at := s.retiredAt.Load()
	return at != 0 && time.Since(time.Unix(0, at)) > upkeepInterval &&
		s.streams.Load() == 0 && s.mux.NumStreams() == 0
}

// dropUnlisted forgets hosts that are off the list and not connected.
func (m *Mesh) dropUnlisted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for host, p := range m.peers {
		if _, listed := m.hosts[host]; !listed && p.sessionCount() == 0 {
			delete(m.peers, host)
		}
	}
}

func (m *Mesh) anyConnected(candidates slot) bool {
	return slices.ContainsFunc(candidates, func(host string) bool {
		m.mu.RLock()
		p := m.peers[host]
		m.mu.RUnlock()
		return p != nil && p.usable() != nil
	})
}

// ProbeConnections probes every connection and closes those on which nothing arrives. It is meant
// for use after a pause of the process, since peers may have given the connections up.
func (m *Mesh) ProbeConnections() {
	for _, p := range m.allPeers() {
		for _, s := range p.all() {
			m.spawn(s.probe)
		}
	}
}

func (s *session) probe() {
	before := s.wire.in.Load()
	if _, err := s.mux.Ping(); err != nil && s.wire.in.Load() == before {
		s.closeSilent()
	}
}
