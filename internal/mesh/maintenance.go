package mesh

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maintenanceInterval = time.Second
	drainPollInterval   = 10 * time.Millisecond
	acceptRetryDelay    = 50 * time.Millisecond
	minDialBackoff      = 250 * time.Millisecond
	maxDialBackoff      = 8 * time.Second
	maxPendingConns     = 128
	// higherIDDialDelay is how long the host with the higher id waits for the other host to
	// dial a link before it dials itself. This makes it rare that both dial at once and end
	// up with two connections.
	higherIDDialDelay = time.Second
)

// dialBackoff returns the exponential backoff, with jitter, after the given number of failed dials.
func dialBackoff(failures int) time.Duration {
	backoff := min(maxDialBackoff, minDialBackoff<<min(failures-1, 10))
	return backoff/2 + rand.N(backoff/2)
}

// wakeMaintenance starts a maintenance round without waiting for the next tick.
func (m *Mesh) wakeMaintenance() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Mesh) maintenanceLoop() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		m.maintainLinks()
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// maintainLinks runs one maintenance round: it dials missing links, drains connections that
// are not needed and removes peers that are no longer on the host list.
func (m *Mesh) maintainLinks() {
	m.mu.RLock()
	slots := m.linkSlots
	m.mu.RUnlock()
	var links []string
	for _, candidates := range slots {
		if link := m.maintainSlot(candidates); link != "" {
			links = append(links, link)
		}
	}
	slices.Sort(links)
	links = slices.Compact(links)
	m.mu.Lock()
	m.links = links
	m.mu.Unlock()
	m.drainUnused(links)
	m.removeUnlistedPeers()
}

// maintainSlot returns the first candidate that is connected or whose last dial did not
// fail, or "" if there is none. It dials the candidates up to that one that are not connected.
func (m *Mesh) maintainSlot(candidates linkSlot) string {
	for _, host := range candidates {
		p, err := m.getOrCreatePeer(host)
		if err != nil {
			continue
		}
		if p.usableSession() != nil {
			return host
		}
		failed := p.dialLink()
		if !failed {
			return host
		}
	}
	return ""
}

// dialLink starts a dial in the background, unless one is running or the peer's backoff or
// higherIDDialDelay has not passed. It reports whether the last dial failed.
func (p *peer) dialLink() bool {
	now := time.Now()
	p.mu.Lock()
	failed := p.dialFailures > 0
	if p.missingSince.IsZero() {
		p.missingSince = now
	}
	due := !now.Before(p.nextDialAt)
	if p.mesh.cfg.Self.Host > p.host && now.Sub(p.missingSince) < higherIDDialDelay {
		due = false
	}
	p.mu.Unlock()
	if due && len(p.dialSem) == 0 {
		p.mesh.spawn(p.connect)
	}
	return failed
}

// connect dials the peer unless it is connected already.
func (p *peer) connect() {
	_, _, _ = p.getSession(p.mesh.ctx)
	p.mesh.wakeMaintenance()
}

// spawn runs f in a goroutine that Close waits for. It does nothing if the mesh is closing.
func (m *Mesh) spawn(f func()) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.closing {
		m.tasks.Go(f)
	}
}

// drainUnused drains connections to hosts that are off the host list, and idle connections
// that this host dialled and that are duplicates or not links. It closes drained connections.
func (m *Mesh) drainUnused(links []string) {
	idleSince := time.Now().Add(-m.cfg.IdleTimeout).UnixNano()
	for _, p := range m.allPeers() {
		sessions := p.allSessions()
		_, listed := m.lookupHost(p.host)
		_, isLink := slices.BinarySearch(links, p.host)
		for i, s := range sessions {
			duplicate := i < len(sessions)-1
			idle := s.lastUsed.Load() < idleSince
			if !listed || (s.dialled && idle && (duplicate || !isLink)) {
				s.drain()
			}
			if s.drained() {
				m.counters.idleClosed.Add(1)
				s.close()
			}
		}
	}
}

// drained reports whether a draining connection may be closed: no stream is open, and
// streams that the peer opened before it received the go-away had time to be refused.
func (s *session) drained() bool {
	since := s.drainingSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > maintenanceInterval &&
		s.openStreams.Load() == 0 && s.mux.NumStreams() == 0
}

// removeUnlistedPeers removes peers that are not on the host list and not connected.
func (m *Mesh) removeUnlistedPeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for host, p := range m.peers {
		if _, listed := m.hosts[host]; !listed && p.sessionCount() == 0 {
			delete(m.peers, host)
		}
	}
}

// anyConnected reports whether any of the candidates has a usable connection.
func (m *Mesh) anyConnected(candidates linkSlot) bool {
	return slices.ContainsFunc(candidates, func(host string) bool {
		m.mu.RLock()
		p := m.peers[host]
		m.mu.RUnlock()
		return p != nil && p.usableSession() != nil
	})
}

// ProbeConnections sends a ping on every connection and closes those on which nothing
// arrives. Call it after the process was paused, because peers may have closed the
// connections in the meantime.
func (m *Mesh) ProbeConnections() {
	for _, p := range m.allPeers() {
		for _, s := range p.allSessions() {
			m.spawn(s.probe)
		}
	}
}

func (s *session) probe() {
	bytesBefore := s.wire.in.Load()
	if _, err := s.mux.Ping(); err != nil && s.wire.in.Load() == bytesBefore {
		s.closeUnresponsive()
	}
}
