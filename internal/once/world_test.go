package once_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/retry"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/once"
	"github.com/plantainrun/plantainrun/internal/service"
	standin "github.com/plantainrun/plantainrun/internal/standin/service"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	ticketLifetime = time.Minute
	callLimit      = 10 * time.Second
	runLimit       = 30 * time.Second
	handoverPeers  = 2
)

var errLost = errors.New("connection lost")

// target is one stand-in behind in-memory connections.
type target struct {
	topology.Target
	svc    *standin.Service
	server *http.Server
	conns  chan net.Conn
	down   atomic.Bool
	done   chan struct{}
	once   sync.Once
}

func newTarget(id string, port uint16) *target {
	t := &target{svc: standin.New(), conns: make(chan net.Conn), done: make(chan struct{})}
	t.Target = topology.Target{ID: id, Kind: topology.KindService, Model: "enrolment", Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
	t.server = &http.Server{Handler: t.svc}
	go func() { _ = t.server.Serve(t) }()
	return t
}

func (t *target) Accept() (net.Conn, error) {
	select {
	case c := <-t.conns:
		return c, nil
	case <-t.done:
		return nil, net.ErrClosed
	}
}
func (t *target) Close() error   { t.once.Do(func() { close(t.done) }); return nil }
func (t *target) Addr() net.Addr { return &net.TCPAddr{} }

// host is one process of an entry host.
type host struct {
	world   *world
	self    identity.Incarnation
	owner   *once.Owner
	router  *once.Router
	store   *ledger.ClosedStore
	leaving atomic.Bool
	dead    chan struct{}
	paused  atomic.Pointer[time.Time]
	mu      sync.Mutex
	conns   []net.Conn
}

// awake waits until the process is not paused.
func (h *host) awake() {
	for {
		until := h.paused.Load()
		if until == nil || !time.Now().Before(*until) {
			return
		}
		time.Sleep(time.Until(*until))
	}
}

func (h *host) isDead() bool {
	select {
	case <-h.dead:
		return true
	default:
		return false
	}
}

// kill ends the process: its connections break and it opens no more.
func (h *host) kill() {
	close(h.dead)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.Close()
	}
}

// dial connects to a target, unless it is down or the process ended.
func (h *host) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	h.awake()
	i := slices.IndexFunc(h.world.targets, func(t *target) bool { return t.Target.Addr.String() == addr })
	t := h.world.targets[i]
	if t.down.Load() || h.isDead() {
		return nil, errLost
	}
	near, far := net.Pipe()
	select {
	case t.conns <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &hostConn{Conn: near, host: h}
	h.conns = append(h.conns, c)
	return c, nil
}

// hostConn stops while its process is paused, and fails after its end.
type hostConn struct {
	net.Conn
	host *host
}

func (c *hostConn) Write(b []byte) (int, error) {
	c.host.awake()
	if c.host.isDead() {
		return 0, errLost
	}
	return c.Conn.Write(b)
}

func (c *hostConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.host.awake()
	return n, err
}

// Pick returns the targets in turn.
func (h *host) Pick(_ context.Context, _ string, exclude []string) (topology.Target, error) {
	h.awake()
	targets := h.world.targets
	first := int(h.world.picks.Add(1))
	for i := range targets {
		if t := targets[(first+i)%len(targets)]; !slices.Contains(exclude, t.ID) {
			return t.Target, nil
		}
	}
	return topology.Target{}, apierror.NotRun(apierror.KindNoTarget, "come back later", "no target is left")
}

func (h *host) MarkLeaving(topology.Target) {}

// Find and Fetch look for closed ledgers here and at the other live hosts.
func (h *host) Find(owner identity.Incarnation) (*ledger.Closed, bool) { return h.store.Get(owner) }

func (h *host) Fetch(_ context.Context, owner identity.Incarnation) (*ledger.Closed, bool) {
	for _, other := range h.world.live() {
		if c, ok := other.store.Get(owner); ok && other.paused.Load() == nil {
			return c, true
		}
	}
	return nil, false
}

// linkFault is what happens to the next calls forwarded between hosts.
type linkFault uint8

const (
	linkUp        linkFault = iota
	linkCutBefore           // before anything is sent
	linkCutAfter            // after the call was sent; it arrives
	linkSlow                // the call arrives late, after the link was cut
)

const slowLink = 3 * time.Second

// Forward brings the call to the owner's process as it is now.
func (h *host) Forward(ctx context.Context, owner identity.Incarnation, call once.Call) (once.Response, error) {
	to := h.world.host(owner.Host)
	fault := h.world.takeLink()
	switch {
	case fault == linkCutBefore:
		return once.Response{}, &once.LostError{Err: errLost}
	case to.self != owner || to.isDead():
		return once.Response{}, &once.LostError{Gone: true, Err: errLost}
	}
	reply := make(chan func() (once.Response, error), 1)
	h.world.running.Go(func() {
		if fault == linkSlow {
			time.Sleep(slowLink)
		}
		to.awake()
		if to.isDead() {
			return
		}
		answer, err := to.owner.Execute(context.Background(), call)
		reply <- func() (once.Response, error) { return answer, err }
	})
	if fault != linkUp {
		return once.Response{}, &once.LostError{Sent: true, Err: errLost}
	}
	select {
	case result := <-reply:
		return result()
	case <-to.dead:
		return once.Response{}, &once.LostError{Sent: true, Gone: true, Err: errLost}
	case <-ctx.Done():
		return once.Response{}, &once.LostError{Sent: true, Err: ctx.Err()}
	}
}

// world is all hosts and targets, in virtual time.
type world struct {
	mu        sync.Mutex
	hosts     []*host
	targets   []*target
	picks     atomic.Int64
	starts    atomic.Uint64
	link      linkFault
	linkTimes int
	running   sync.WaitGroup
	rolling   chan struct{} // held by the host that restarts: one at a time
}

func newWorld(hosts, targets int) *world {
	w := &world{rolling: make(chan struct{}, 1)}
	for i := range targets {
		w.targets = append(w.targets, newTarget(string(rune('a'+i)), uint16(1000+i)))
	}
	for i := range hosts {
		w.hosts = append(w.hosts, w.newHost(string(rune('A'+i))))
	}
	return w
}

func (w *world) newHost(id string) *host {
	h := &host{world: w, self: identity.Incarnation{Host: id, Start: w.starts.Add(1)}, dead: make(chan struct{})}
	cfg := once.DefaultOwnerConfig()
	cfg.TicketLifetime, cfg.RunLimit = ticketLifetime, runLimit
	cfg.Ledger.MaxEntries, cfg.Ledger.Retention = 64, time.Hour
	budget, err := retry.New(retry.DefaultConfig())
	if err != nil {
		panic(err)
	}
	svc := service.DefaultConfig()
	svc.Dial = h.dial
	h.owner, err = once.NewOwner(h.self, clock.System{}, cfg, h, service.New(svc), budget)
	if err != nil {
		panic(err)
	}
	h.store = ledger.NewClosedStore(clock.System{}, 100, 64<<20)
	h.router = once.NewRouter(h.owner, h, h)
	return h
}

func (w *world) host(id string) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.self.Host == id })]
}

func (w *world) live() []*host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts)
}

func (w *world) takeLink() linkFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.linkTimes == 0 {
		return linkUp
	}
	w.linkTimes--
	return w.link
}

// replace starts a new process in the place of h.
func (w *world) replace(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.hosts, h); i >= 0 {
		w.hosts[i] = w.newHost(h.self.Host)
	}
}

// crash kills h's process and starts another one.
func (w *world) crash(h *host) {
	if !h.isDead() {
		h.kill()
		w.replace(h)
	}
}

// restart shuts h down gracefully and starts another process.
func (w *world) restart(h *host) {
	w.rolling <- struct{}{}
	defer func() { <-w.rolling }()
	if h.isDead() || !h.leaving.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*runLimit)
	defer cancel()
	closed := append([]*ledger.Closed{h.owner.Drain(ctx)}, h.store.All()...)
	if h.isDead() {
		return
	}
	w.handOver(h, closed)
	w.crash(h)
}

// handOver gives the closed ledgers to other hosts that stay.
func (w *world) handOver(from *host, closed []*ledger.Closed) {
	given := 0
	for _, h := range w.live() {
		if h == from || h.leaving.Load() || given == handoverPeers {
			continue
		}
		given++
		for _, c := range closed {
			data, err := c.MarshalBinary()
			if err != nil {
				panic(err)
			}
			copied, err := ledger.UnmarshalClosed(data)
			if err != nil {
				panic(err)
			}
			_ = h.store.Add(copied)
		}
	}
}

// stop ends everything, so that the bubble can end.
func (w *world) stop() {
	w.running.Wait()
	for _, t := range w.targets {
		t.svc.Release()
		_ = t.server.Close()
	}
}

// runs counts how often the ticket ran, over all targets.
func (w *world) runs(ticket string) int {
	total := 0
	for _, t := range w.targets {
		total += t.svc.Runs(ticket)
	}
	return total
}

// bodyRuns counts how often the ticket ran with the body.
func (w *world) bodyRuns(ticket string, body []byte) int {
	total := 0
	for _, t := range w.targets {
		total += t.svc.BodyRuns(ticket, body)
	}
	return total
}

// told is what a caller learned, or nothing if its host died.
type told struct {
	outcome outcome.Outcome
	kind    apierror.Kind
	ticket  string // a fresh one
	body    []byte
}

func (t told) ran() bool { return t.outcome == outcome.Done || t.outcome == outcome.Failed }

// send sends one call through h, and reports what the caller learned.
func (w *world) send(h *host, call once.Call, limit time.Duration) (told, bool) {
	h.awake()
	call.Deadline = time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	answer, err := h.router.Execute(ctx, call)
	if h.isDead() {
		return told{}, false
	}
	if err != nil {
		e := apierror.From(err)
		return told{outcome: e.Outcome, kind: e.Kind, ticket: e.Ticket}, true
	}
	return told{outcome: answer.Outcome, body: answer.Body}, true
}
