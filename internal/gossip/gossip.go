// Package gossip keeps the hosts' membership tables in step: news is pushed over all
// links at once, and a periodic exchange with one link at a time repairs what was lost.
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
	// sampleEvery is the number of exchanges of which one goes to a random host in place
	// of a link, so that parts of the fleet without a link between them still meet.
	sampleEvery = 30
	// sweepEvery is the number of intervals between two sweeps of the table.
	sweepEvery = 5
	// unreachableDials is the number of unanswered dials after which a host is suspected.
	unreachableDials = 3
	// maxBatch bounds the events of one push.
	maxBatch = 2048
	// maxPending bounds the events that wait for a push. What is dropped is repaired by
	// the exchange.
	maxPending = 16384
)

// Handler answers a request from a peer.
type Handler func(from string, req *gossippb.Request) *gossippb.Reply

// Transport carries requests between hosts. NewTransport makes one of a mesh.
type Transport interface {
	Call(ctx context.Context, host string, req *gossippb.Request) (*gossippb.Reply, error)
	Serve(h Handler)
	Links() []string
	Sample(count int) []string
	Peers() []mesh.PeerInfo
}

// Config is what a Gossip works with. Zero durations take the defaults.
type Config struct {
	Self        identity.Incarnation
	Started     time.Time // of this process
	Table       *membership.Table
	Transport   Transport
	Interval    time.Duration // between two exchanges
	CallTimeout time.Duration
	Logger      *zap.Logger
}

// Gossip exchanges one host's membership events. It is safe for concurrent use.
type Gossip struct {
	cfg   Config
	stats counters
	wake  chan struct{}
	calls sync.WaitGroup

	mu      sync.Mutex
	pending []membership.Event
	round   int
	random  *rand.Rand // of the times of exchanges
}

type counters struct {
	pushes, pushFailures, exchanges, exchangeFailures, repairs, dropped atomic.Uint64
}

// Stats are a Gossip's counters.
type Stats struct {
	Pushes           uint64 // calls that carried news
	PushFailures     uint64
	Exchanges        uint64
	ExchangeFailures uint64
	Repairs          uint64 // exchanges in which tables differed
	Dropped          uint64 // events for which there was no room
}

// New returns a Gossip that answers peers from now on; Run makes it speak.
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
	g.round = g.random.IntN(sampleEvery) // hosts that started together sample at different times
	cfg.Transport.Serve(g.handle)
	return g
}

// Publish queues events to be pushed to all links at once. It takes what the methods of
// the table returned.
func (g *Gossip) Publish(events []membership.Event) {
	if len(events) == 0 {
		return
	}
	g.mu.Lock()
	room := max(0, min(len(events), maxPending-len(g.pending)))
	g.pending = append(g.pending, events[:room]...)
	g.mu.Unlock()
	g.stats.dropped.Add(uint64(len(events) - room))
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run pushes and exchanges until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	defer g.calls.Wait()
	g.Publish(g.cfg.Table.ObserveHost(g.cfg.Self, g.cfg.Started))
	timer := time.NewTimer(g.wait())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
			g.push(ctx)
		case <-timer.C:
			timer.Reset(g.wait())
			g.tick(ctx)
		}
	}
}

// wait is the jittered time to the next exchange.
func (g *Gossip) wait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.cfg.Interval
	return d*3/4 + time.Duration(g.random.Int64N(int64(d)/2))
}

// Announce tells the peers that this process is leaving or gone, and waits until
// each link was called once, or ctx ends.
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

// Stats returns the counters.
func (g *Gossip) Stats() Stats {
	return Stats{
		Pushes: g.stats.pushes.Load(), PushFailures: g.stats.pushFailures.Load(),
		Exchanges: g.stats.exchanges.Load(), ExchangeFailures: g.stats.exchangeFailures.Load(),
		Repairs: g.stats.repairs.Load(), Dropped: g.stats.dropped.Load(),
	}
}

// tick is one round of upkeep: contacts, expiry and one exchange.
func (g *Gossip) tick(ctx context.Context) {
	g.mu.Lock()
	g.round++
	round := g.round
	g.mu.Unlock()
	g.notePeers()
	if round%sweepEvery == 0 {
		g.Publish(g.cfg.Table.Sweep())
	}
	partners := g.cfg.Transport.Links()
	if round%sampleEvery == 0 || len(partners) == 0 {
		partners = g.cfg.Transport.Sample(1)
	}
	if len(partners) == 0 {
		return
	}
	host := partners[(round-round/sampleEvery)%len(partners)] // in turn: each link within a bounded time
	g.calls.Go(func() { g.exchange(ctx, host) })
}

// notePeers passes on which hosts this one is connected with, and which it can't reach.
func (g *Gossip) notePeers() {
	for _, p := range g.cfg.Transport.Peers() {
		switch {
		case p.State == mesh.ConnUp:
			g.Publish(g.cfg.Table.ObserveHost(p.Incarnation, p.Started))
		case p.UnansweredDials >= unreachableDials:
			g.Publish(g.cfg.Table.SuspectHost(p.Host))
		}
	}
}

// push sends what is pending to every link, each in its own goroutine so that a silent one
// delays none.
func (g *Gossip) push(ctx context.Context) {
	g.mu.Lock()
	batch := g.pending[:min(maxBatch, len(g.pending))]
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
		g.nudge()
	}
}

func (g *Gossip) nudge() {
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
