// Package knowledge keeps what a host knows of the rules, the fleet and the
// plan: it reads and watches the configuration service if the host is one of
// the few readers of its failure domain, exchanges values with peers, and
// tells the rest of the host what is in force.
package knowledge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge/knowledgepb"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Source reads and watches published values, as confservice.Client does.
type Source interface {
	Read(ctx context.Context, key string) (confservice.Value, error)
	Watch(ctx context.Context, q confservice.WatchRequest) ([]confservice.Change, error)
}

// Links reaches other hosts. Implementations are safe for concurrent use.
type Links interface {
	// Peers returns hosts that can be asked although no host list is known:
	// those from the settings and those that linked to this host.
	Peers() []string
	// Exchange sends a digest and returns the peer's digest with the values
	// that the digest lacks.
	Exchange(ctx context.Context, host string, digest *knowledgepb.Digest) (*knowledgepb.Values, error)
	// Push sends values without an answer.
	Push(ctx context.Context, host string, values *knowledgepb.Values) error
}

// Defaults of Config.
const (
	DefaultWatchWait        = 2 * time.Second
	DefaultCheckInterval    = time.Minute
	DefaultExchangeInterval = time.Second
	DefaultStartWait        = 10 * time.Second
	DefaultStartSpread      = 4 * time.Second
	DefaultBatchInterval    = 500 * time.Millisecond
	DefaultReaders          = 3
)

// Config is what a Knowledge needs.
type Config struct {
	// Host is this host's id, Domain its failure domain.
	Host   string
	Domain string
	// Partners are those whose rules are read.
	Partners []string
	Source   Source
	Links    Links                  // nil: no peers
	Audit    *audit.Trail           // nil: one of the default size
	Log      *zap.Logger            // nil: no log
	Rand     *rand.Rand             // for jitter; nil: a random one
	Alive    func(host string) bool // what peers saw of a host on the list; nil: alive
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration
	// CheckInterval is the mean time between direct checks of a host that is no reader.
	CheckInterval time.Duration
	// ExchangeInterval is the mean time between exchanges of digests with a peer.
	ExchangeInterval time.Duration
	// StartWait is how long a new host waits for answers.
	StartWait time.Duration
	// StartSpread bounds the random wait before the first read of a host that
	// no peer told the host list.
	StartSpread time.Duration
	// BatchInterval is the least time between two reads of a key and between two pushes.
	BatchInterval time.Duration
	// Readers is how many hosts of a failure domain hold watches.
	Readers int
}

func (c *Config) setDefaults() {
	if c.Audit == nil {
		c.Audit = audit.New(0)
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Alive == nil {
		c.Alive = func(string) bool { return true }
	}
	if c.Links == nil {
		c.Links = noLinks{}
	}
	c.WatchWait = orDefault(c.WatchWait, DefaultWatchWait)
	c.CheckInterval = orDefault(c.CheckInterval, DefaultCheckInterval)
	c.ExchangeInterval = orDefault(c.ExchangeInterval, DefaultExchangeInterval)
	c.StartWait = orDefault(c.StartWait, DefaultStartWait)
	c.StartSpread = orDefault(c.StartSpread, DefaultStartSpread)
	c.BatchInterval = orDefault(c.BatchInterval, DefaultBatchInterval)
	if c.Readers == 0 {
		c.Readers = DefaultReaders
	}
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// RulesRevision is the revision of a partner's rules in force.
type RulesRevision struct {
	Partner  string `json:"partner"`
	Revision uint64 `json:"revision"`
}

// Snapshot is all that is in force at one moment. It must not be changed.
type Snapshot struct {
	Rules           *rules.Index
	RulesRevisions  []RulesRevision
	Hosts           topology.HostList
	HostsRevision   uint64
	Targets         topology.TargetList
	TargetsRevision uint64
	Plan            topology.Plan
	PlanRevision    uint64
}

// Knowledge is what this host knows. Run makes it learn. It is safe for
// concurrent use.
type Knowledge struct {
	cfg      Config
	store    *dissemination.Store
	peers    *dissemination.Peers
	encoder  *encoder
	snapshot atomic.Pointer[Snapshot]
	counters counters
	nudge    chan struct{} // the readers may have changed
	changed  chan struct{} // there is something to pass on
	again    chan string   // peers to exchange digests with at once

	mu          sync.Mutex // serialises adoption; guards what follows
	decoded     decoded
	freshness   map[string]*freshness           // the map itself never changes
	refusals    map[string]*knowledgepb.Refusal // the latest of each key
	unsent      []*knowledgepb.Refusal
	subscribers []func(Snapshot)
	start       startState
}

// New returns a Knowledge that knows nothing yet.
func New(cfg Config) (*Knowledge, error) {
	cfg.setDefaults()
	switch {
	case cfg.Source == nil:
		return nil, errors.New("knowledge needs a source; give it a platform client")
	case cfg.Host == "" || cfg.Domain == "":
		return nil, errors.New("knowledge needs the host's id and failure domain; give both in the settings")
	case len(cfg.Partners) == 0:
		return nil, errors.New("knowledge needs the partners whose rules to read; name them in the settings")
	}
	k := &Knowledge{
		cfg:       cfg,
		encoder:   newEncoder(),
		nudge:     make(chan struct{}, 1),
		changed:   make(chan struct{}, 1),
		again:     make(chan string, 1),
		freshness: make(map[string]*freshness),
		refusals:  make(map[string]*knowledgepb.Refusal),
		decoded:   decoded{sets: make(map[string]*rules.Set)},
		start:     startState{peers: make(map[string]bool)},
	}
	k.store = dissemination.NewStore(k.validators())
	k.peers = dissemination.NewPeers(k.store)
	for _, key := range k.store.Keys() {
		k.freshness[key] = &freshness{}
	}
	k.snapshot.Store(&Snapshot{Rules: rules.NewIndex()})
	return k, nil
}

// Snapshot returns what is in force now.
func (k *Knowledge) Snapshot() Snapshot { return *k.snapshot.Load() }

// Audit returns the trail of changes.
func (k *Knowledge) Audit() *audit.Trail { return k.cfg.Audit }

// Subscribe calls fn with what is in force, now and after every change, one
// call at a time and never with an older snapshot. fn must be quick and must
// not call back into Knowledge, beside Snapshot.
func (k *Knowledge) Subscribe(fn func(Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, fn)
	fn(k.Snapshot())
}

// Run learns until ctx ends, and returns its error.
func (k *Knowledge) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.beginStart()
	asked := make(chan struct{})
	wg.Go(func() { k.runStart(ctx, asked) })
	wg.Go(func() {
		<-asked
		k.superviseWatches(ctx)
	})
	wg.Go(func() { k.runChecks(ctx) })
	wg.Go(func() { k.runExchanges(ctx) })
	wg.Go(func() { k.runPushes(ctx) })
	<-ctx.Done()
	return ctx.Err()
}

// noLinks is a host without peers.
type noLinks struct{}

var errNoLinks = errors.New("this host has no links to peers")

func (noLinks) Peers() []string { return nil }

func (noLinks) Exchange(context.Context, string, *knowledgepb.Digest) (*knowledgepb.Values, error) {
	return nil, errNoLinks
}

func (noLinks) Push(context.Context, string, *knowledgepb.Values) error { return errNoLinks }
