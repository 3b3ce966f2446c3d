// Package gossip replicates the membership table between hosts. Changes are pushed over
// all links at once, and a periodic anti-entropy exchange with one peer at a time repairs
// what was lost.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/internal/gossip/gossippb"
	"github.com/plantainrun/plantainrun/internal/mesh"
)

// Defaults of Config.
const (
	DefaultInterval    = time.Second
	DefaultCallTimeout = 2 * time.Second
)

const (
	// sampleEvery is the number of rounds after which one exchange goes to a random host
	// instead of a linked one, so that partitions of the link graph still converge.
	sampleEvery = 30
	// sweepEvery is the number of rounds between two sweeps of the table.
	sweepEvery = 5
	// suspectAfterDials is the number of unanswered dials after which a host is suspected.
	suspectAfterDials = 3
	// maxPushEvents bounds the events of one push.
	maxPushEvents = 2048
	// maxPendingEvents bounds the events queued for a push. Peers receive dropped events
	// through the anti-entropy exchange.
	maxPendingEvents = 16384
)

// Handler serves a request from the peer host named by from.
type Handler func(from string, req *gossippb.Request) *gossippb.Reply

// Transport carries requests between hosts. NewTransport returns one that uses the mesh.
type Transport interface {
	Call(ctx context.Context, host string, req *gossippb.Request) (*gossippb.Reply, error)
	// Serve registers the handler of requests from peers.
	Serve(h Handler)
	// Links returns the hosts that this host has links to.
	Links() []string
	// Sample returns up to count random hosts.
	Sample(count int) []string
	// Peers returns the connection state of each peer.
	Peers() []mesh.PeerInfo
}

// Config configures a Gossip. Zero durations select the defaults.
type Config struct {
	Self        identity.Incarnation
	Started     time.Time // start time of this process
	Table       *membership.Table
	Transport   Transport
	Interval    time.Duration // mean time between two exchanges
	CallTimeout time.Duration // of a push, and of a whole exchange
	Logger      *zap.Logger
}

// Gossip replicates the membership events of one host. It is safe for concurrent use.
type Gossip struct {
	cfg   Config
	stats counters
	wake  chan struct{}
	calls sync.WaitGroup

	mu      sync.Mutex
	pending []membership.Event
	round   int
	random  *rand.Rand // jitters the exchanges
}

type counters struct {
	pushes, pushFailures, exchanges, exchangeFailures, repairs, dropped atomic.Uint64
}

// Stats holds the counters of a Gossip since its start.
type Stats struct {
	Pushes           uint64 // calls that pushed events
	PushFailures     uint64
	Exchanges        uint64
	ExchangeFailures uint64
	Repairs          uint64 // exchanges that found differing tables
	Dropped          uint64 // events dropped because the queue was full
}

// New returns a Gossip and registers its handler, so that it serves peers at once. Run
// starts its own pushes and exchanges.
func New(cfg Config) *Gossip {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	g := &Gossip{cfg: cfg, wake: make(chan struct{}, 1)}
	g.random = rand.New(rand.NewPCG(cfg.Self.Start, uint64(len(cfg.Self.Host))))
	g.round = g.random.IntN(sampleEvery) // spreads the sampling of hosts that started together
	cfg.Transport.Serve(g.handle)
	return g
}

// Publish queues events for a push to all links. The events are those that the methods of
// the membership table returned.
func (g *Gossip) Publish(events []membership.Event) {
	if len(events) == 0 {
		return
	}
	g.mu.Lock()
	accepted := max(0, min(len(events), maxPendingEvents-len(g.pending)))
	g.pending = append(g.pending, events[:accepted]...)
	g.mu.Unlock()
	g.stats.dropped.Add(uint64(len(events) - accepted))
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run pushes pending events and runs periodic exchanges until ctx ends, then waits for the
// calls in flight.
func (g *Gossip) Run(ctx context.Context) {
	defer g.calls.Wait()
	g.Publish(g.cfg.Table.ObserveHost(g.cfg.Self, g.cfg.Started))
	timer := time.NewTimer(g.nextInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
			g.push(ctx)
		case <-timer.C:
			timer.Reset(g.nextInterval())
			g.tick(ctx)
		}
	}
}

// nextInterval returns the time to the next exchange: Interval with a jitter of up to 25%
// in either direction.
func (g *Gossip) nextInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.cfg.Interval
	return d*3/4 + time.Duration(g.random.Int64N(int64(d)/2))
}

// Announce pushes to all links that this process is leaving or gone. It returns when each
// link was called once or timed out, or when ctx ends.
func (g *Gossip) Announce(ctx context.Context, state membership.State) {
	events := g.cfg.Table.AnnounceHost(g.cfg.Self, g.cfg.Started, state)
	if len(events) == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, host := range g.cfg.Transport.Links() {
		wg.Go(func() { g.pushTo(ctx, host, encodeEvents(events)) })
	}
	wg.Wait()
}

// Stats returns a snapshot of the counters.
func (g *Gossip) Stats() Stats {
	return Stats{
		Pushes: g.stats.pushes.Load(), PushFailures: g.stats.pushFailures.Load(),
		Exchanges: g.stats.exchanges.Load(), ExchangeFailures: g.stats.exchangeFailures.Load(),
		Repairs: g.stats.repairs.Load(), Dropped: g.stats.dropped.Load(),
	}
}

// tick runs one round: it records which peers are reachable, sweeps the table when due and
// starts one exchange.
func (g *Gossip) tick(ctx context.Context) {
	g.mu.Lock()
	g.round++
	round := g.round
	g.mu.Unlock()
	g.observePeers()
	if round%sweepEvery == 0 {
		g.Publish(g.cfg.Table.Sweep())
	}
	peers := g.cfg.Transport.Links()
	if round%sampleEvery == 0 || len(peers) == 0 {
		peers = g.cfg.Transport.Sample(1)
	}
	if len(peers) == 0 {
		return
	}
	host := peers[(round-round/sampleEvery)%len(peers)] // round robin bounds the time between two exchanges over a link
	g.calls.Go(func() { g.exchange(ctx, host) })
}

// observePeers records in the table which hosts this one is connected to and which it
// cannot reach.
func (g *Gossip) observePeers() {
	for _, p := range g.cfg.Transport.Peers() {
		switch {
		case p.State == mesh.ConnUp:
			g.Publish(g.cfg.Table.ObserveHost(p.Incarnation, p.Started))
		case p.UnansweredDials >= suspectAfterDials:
			g.Publish(g.cfg.Table.SuspectHost(p.Host))
		}
	}
}

// push sends a batch of pending events to every link. Each call has its own goroutine, so
// that an unresponsive peer does not delay the others.
func (g *Gossip) push(ctx context.Context) {
	g.mu.Lock()
	batch := g.pending[:min(maxPushEvents, len(g.pending))]
	g.pending = g.pending[len(batch):]
	more := len(g.pending) > 0
	g.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	events := encodeEvents(batch)
	for _, host := range g.cfg.Transport.Links() {
		g.calls.Go(func() { g.pushTo(ctx, host, events) })
	}
	if more {
		g.wakeRun()
	}
}

// wakeRun makes Run push the pending events. A wake-up that is already queued is enough.
func (g *Gossip) wakeRun() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Gossip) pushTo(ctx context.Context, host string, events []*gossippb.Event) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.CallTimeout)
	defer cancel()
	g.stats.pushes.Add(1)
	if _, err := g.cfg.Transport.Call(ctx, host, &gossippb.Request{Events: events}); err != nil {
		g.stats.pushFailures.Add(1)
	}
}
