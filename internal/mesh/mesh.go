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

	"github.com/plantainrun/plantainrun/internal/netlisten"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// ForwardPrefix is the name prefix of methods that forward callers' requests. Their
// bytes are counted separately from control traffic.
const ForwardPrefix = "forward/"

// Handler serves one stream. The context is cancelled when the connection to the peer or
// the mesh is closed. If the handler returns nil, the peer's Recv returns io.EOF after the
// last message, otherwise an error that matches ErrAborted.
type Handler func(ctx context.Context, s *Stream) error

// Mesh holds the connections of one host to other entry hosts. It is safe for
// concurrent use.
type Mesh struct {
	cfg             Config
	ctx             context.Context
	cancel          context.CancelFunc
	counters        counters
	listener        net.Listener
	wake            chan struct{} // triggers a maintenance round
	tasks           sync.WaitGroup
	runningHandlers sync.WaitGroup

	mu               sync.RWMutex
	closing          bool
	handlersByMethod map[string]Handler
	hosts            map[string]topology.Host
	otherHostIDs     []string // ids of hosts, sorted, without this host
	peers            map[string]*peer
	linkSlots        []linkSlot
	links            []string // the hosts chosen for linkSlots in the last maintenance round
	pendingConns     map[net.Conn]struct{}
}

// New validates the configuration and returns a mesh that is not started.
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

// Start accepts connections and maintains links until ctx ends or Close is called.
func (m *Mesh) Start(ctx context.Context) error {
	listener, err := netlisten.Listen(ctx, m.cfg.Listen)
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

// Addr returns the address on which the mesh listens. Before Start it returns the configured one.
func (m *Mesh) Addr() netip.AddrPort {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.listener == nil {
		return m.cfg.Listen
	}
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Handle registers the handler of a method, in place of an earlier one.
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

// SetHosts replaces the host list. Connections to hosts that are no longer on it
// are drained: they take no new streams and close when their streams are done. A host that
// is not on its own list keeps no links: it connects to others when it opens a stream.
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

// Links returns the sorted ids of the hosts that this host currently links to. Their
// number is bounded independent of the size of the fleet. The links within a failure
// domain form a connected graph, and a few links cross domains.
func (m *Mesh) Links() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.links)
}

// Sample returns up to count random hosts of the host list other than this one. An
// occasional exchange with one of them reaches parts of the fleet that links do not.
func (m *Mesh) Sample(count int) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	picked := make([]string, 0, count)
	for _, i := range rand.Perm(len(m.otherHostIDs))[:min(count, len(m.otherHostIDs))] {
		picked = append(picked, m.otherHostIDs[i])
	}
	return picked
}

// Open opens a stream for method to host. If an existing connection proves unresponsive,
// it is closed and a new one is dialled. Every error matches ErrNotSent. The
// context bounds the opening only; use Stream.SetDeadline or Stream.Close afterwards. The
// caller must close the stream.
func (m *Mesh) Open(ctx context.Context, host, method string) (*Stream, error) {
	p, err := m.getOrCreatePeer(host)
	if err != nil {
		return nil, err
	}
	return p.open(ctx, method)
}

// Stats returns the traffic counters since the start and the current numbers of
// connections and links.
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

// Shutdown refuses new streams, waits until the streams in both directions are done or ctx
// ends, and closes the mesh. It returns the context's error if it closed open streams.
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

// awaitStreams waits until no connection has an open stream or ctx ends.
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

// Close closes every stream and connection and waits for the goroutines of the mesh.
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

// markClosing makes the mesh refuse new streams and connections.
func (m *Mesh) markClosing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
}

// tryStartHandler counts a handler as running. It returns false if the mesh is closing.
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
