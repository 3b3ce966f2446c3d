package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/topology"
)

// ForwardPrefix starts the names of methods that carry callers' requests. Their
// bytes are counted apart from control traffic.
const ForwardPrefix = "forward/"

// Handler serves one stream. The context ends with the peer's connection or the mesh. When
// the handler returns nil, the peer's Recv ends with io.EOF, otherwise with ErrAborted.
type Handler func(ctx context.Context, s *Stream) error

// Mesh is one host's end of the links between entry hosts. It is safe for
// concurrent use.
type Mesh struct {
	cfg             Config
	ctx             context.Context
	cancel          context.CancelFunc
	counters        counters
	listener        net.Listener
	wake            chan struct{} // asks for a round of link upkeep
	tasks           sync.WaitGroup
	runningHandlers sync.WaitGroup

	mu               sync.RWMutex
	closing          bool
	handlersByMethod map[string]Handler
	hosts            map[string]topology.Host
	otherHostIDs     []string // of hosts, sorted, without self
	peers            map[string]*peer
	linkSlots        []linkSlot
	links            []string // what slots came to in the last round of upkeep
	pendingConns     map[net.Conn]struct{}
}

// New checks the configuration and returns a mesh that is not started.
func New(cfg Config) (*Mesh, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		cfg: cfg, ctx: ctx, cancel: cancel,
		wake:             make(chan struct{}, 1),
		handlersByMethod: make(map[string]Handler),
		hosts:            make(map[string]topology.Host),
		peers:            make(map[string]*peer),
		pendingConns:     make(map[net.Conn]struct{}),
	}, nil
}

// Start listens and keeps links until ctx ends or Close is called.
func (m *Mesh) Start(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", m.cfg.Listen.String())
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener = listener
	m.mu.Unlock()
	m.tasks.Go(func() { m.acceptLoop(listener) })
	m.tasks.Go(m.maintenanceLoop)
	stop := context.AfterFunc(ctx, m.stop)
	context.AfterFunc(m.ctx, func() { stop() })
	return nil
}

// Addr returns the address on which the mesh listens, after Start.
func (m *Mesh) Addr() netip.AddrPort {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.listener == nil {
		return m.cfg.Listen
	}
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Handle registers the handler of a method; a later one replaces it.
func (m *Mesh) Handle(method string, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlersByMethod[method] = h
}

func (m *Mesh) handler(method string) Handler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.handlersByMethod[method]
}

// SetHosts sets the host list. Connections to hosts that are no longer
// on it take no new streams and close when their streams are done.
func (m *Mesh) SetHosts(hosts []topology.Host) {
	byID := make(map[string]topology.Host, len(hosts))
	ids := make([]string, 0, len(hosts))
	for _, h := range hosts {
		byID[h.ID] = h
		if h.ID != m.cfg.Self.Host {
			ids = append(ids, h.ID)
		}
	}
	slices.Sort(ids)
	slots := computeLinkSlots(m.cfg.Self.Host, hosts)
	m.mu.Lock()
	m.hosts, m.otherHostIDs, m.linkSlots = byID, ids, slots
	m.mu.Unlock()
	m.wakeMaintenance()
}

// Links returns the ids of the link hosts in use, sorted: a bounded number,
// whatever the size of the fleet. Those of a failure domain form a connected graph, and
// a few cross domains.
func (m *Mesh) Links() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.links)
}

// Sample returns up to count random hosts of the list, without this one. An exchange
// with one of them now and then reaches parts of the fleet to which no link leads.
func (m *Mesh) Sample(count int) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	picked := make([]string, 0, count)
	for _, i := range rand.Perm(len(m.otherHostIDs))[:min(count, len(m.otherHostIDs))] {
		picked = append(picked, m.otherHostIDs[i])
	}
	return picked
}

// Open opens a stream for method at host. A connection that turns out silent is
// replaced by a new one first. Every error matches ErrNotSent. The
// context bounds the opening only; use Stream.SetDeadline or Stream.Close afterwards. The
// caller must close the stream when it is done with it.
func (m *Mesh) Open(ctx context.Context, host, method string) (*Stream, error) {
	p, err := m.getOrCreatePeer(host)
	if err != nil {
		return nil, err
	}
	return p.open(ctx, method)
}

// Stats returns the counters since the start.
func (m *Mesh) Stats() Stats {
	s := m.counters.snapshot()
	m.mu.RLock()
	links, slots := m.links, m.linkSlots
	m.mu.RUnlock()
	s.Links = len(links)
	for _, p := range m.allPeers() {
		s.Sessions += p.sessionCount()
	}
	for _, candidates := range slots {
		if !m.anyConnected(candidates) {
			s.LinksNotConnected++
		}
	}
	return s
}

// Shutdown refuses new streams, waits until the streams of both directions are done or ctx
// ends, and closes the mesh. It returns the context's error if streams were cut off.
func (m *Mesh) Shutdown(ctx context.Context) error {
	m.markClosing()
	done := make(chan struct{})
	go func() {
		m.runningHandlers.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
		err = m.awaitStreams(ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	m.Close()
	return err
}

// awaitStreams waits until no connection has an open stream.
func (m *Mesh) awaitStreams(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for m.openStreamCount() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (m *Mesh) openStreamCount() int64 {
	var open int64
	for _, p := range m.allPeers() {
		for _, s := range p.allSessions() {
			open += s.openStreams.Load()
		}
	}
	return open
}

// Close cuts off every stream and waits for the mesh's goroutines.
func (m *Mesh) Close() {
	m.stop()
	m.tasks.Wait()
}

func (m *Mesh) stop() {
	m.markClosing()
	m.cancel()
	m.mu.Lock()
	listener := m.listener
	for conn := range m.pendingConns {
		_ = conn.Close()
	}
	m.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, p := range m.allPeers() {
		for _, s := range p.allSessions() {
			s.close()
		}
	}
}

func (m *Mesh) markClosing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
}

// tryStartHandler counts a handler as running, unless the mesh is closing.
func (m *Mesh) tryStartHandler() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.closing {
		return false
	}
	m.runningHandlers.Add(1)
	return true
}

func (m *Mesh) logConnectionLost(s *session, err error) {
	m.cfg.Logger.Info("connection to peer lost", zap.String("peer", s.peer.String()), zap.Error(err))
}

func isForwardMethod(method string) bool { return strings.HasPrefix(method, ForwardPrefix) }
