// Package knowledge replicates the published configuration to every host: the rules, the
// host and target lists and the plan. The few readers of each failure domain read and watch
// the configuration service. All hosts propagate values to their peers by pushes and by
// anti-entropy exchanges of digests. A Replica passes the current revisions to the other
// parts of the host.
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

// Source reads and watches published values. It is implemented by confservice.Client.
type Source interface {
	Read(ctx context.Context, key string) (confservice.Value, error)
	Watch(ctx context.Context, q confservice.WatchRequest) ([]confservice.Change, error)
}

// Transport sends calls to other hosts. Implementations are safe for concurrent use.
type Transport interface {
	// Peers returns the hosts that can be called even if no host list is known: those from
	// the settings and those that connected to this host.
	Peers() []string
	// Exchange sends a digest and returns the peer's digest together with the values that
	// are missing or older in the digest sent.
	Exchange(ctx context.Context, host string, digest *knowledgepb.Digest) (*knowledgepb.Values, error)
	// Push sends values and expects no response message.
	Push(ctx context.Context, host string, values *knowledgepb.Values) error
}

// Default values for the fields of Config.
const (
	DefaultWatchTimeout     = 2 * time.Second
	DefaultPollInterval     = time.Minute
	DefaultExchangeInterval = time.Second
	DefaultStartupTimeout   = 10 * time.Second
	DefaultStartupJitter    = 4 * time.Second
	DefaultBatchInterval    = 500 * time.Millisecond
	DefaultReadersPerDomain = 3
)

// Config holds the settings and dependencies of a Replica. Zero durations and counts select
// the defaults above.
type Config struct {
	// Host is the id of this host, Domain its failure domain.
	Host   string
	Domain string
	// Partners are the partners whose rules are replicated.
	Partners  []string
	Source    Source
	Transport Transport              // nil: the host has no peers
	Audit     *audit.Trail           // nil: a trail of the default size
	Log       *zap.Logger            // nil: nothing is logged
	Rand      *rand.Rand             // source of jitter; nil: randomly seeded
	Alive     func(host string) bool // whether peers see a listed host as alive; nil: always true
	// WatchTimeout is how long a watch (a long poll) waits for a change.
	WatchTimeout time.Duration
	// PollInterval is the mean time between polls of the configuration service by a host that
	// is not a reader.
	PollInterval time.Duration
	// ExchangeInterval is the mean time between digest exchanges, each with one peer.
	ExchangeInterval time.Duration
	// StartupTimeout is how long a new host waits for responses before it serves with the
	// values it has.
	StartupTimeout time.Duration
	// StartupJitter bounds the random delay before the first read of a host that got no host
	// list from a peer.
	StartupJitter time.Duration
	// BatchInterval is the minimum time between two reads of a key by a watch, and between two
	// rounds of pushes.
	BatchInterval time.Duration
	// ReadersPerDomain is how many hosts of a failure domain watch the configuration service.
	ReadersPerDomain int
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
	if c.Transport == nil {
		c.Transport = noTransport{}
	}
	c.WatchTimeout = orDefault(c.WatchTimeout, DefaultWatchTimeout)
	c.PollInterval = orDefault(c.PollInterval, DefaultPollInterval)
	c.ExchangeInterval = orDefault(c.ExchangeInterval, DefaultExchangeInterval)
	c.StartupTimeout = orDefault(c.StartupTimeout, DefaultStartupTimeout)
	c.StartupJitter = orDefault(c.StartupJitter, DefaultStartupJitter)
	c.BatchInterval = orDefault(c.BatchInterval, DefaultBatchInterval)
	if c.ReadersPerDomain == 0 {
		c.ReadersPerDomain = DefaultReadersPerDomain
	}
}

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d == 0 {
		return defaultValue
	}
	return d
}

// RulesRevision is the current revision of a partner's rules.
type RulesRevision struct {
	Partner  string `json:"partner"`
	Revision uint64 `json:"revision"`
}

// Snapshot has all current values at one moment, with their revisions. It is immutable:
// callers must not change what it refers to.
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

// Replica is this host's copy of the published configuration. Run keeps it up to date. It
// is safe for concurrent use.
type Replica struct {
	cfg              Config
	store            *dissemination.Store
	peers            *dissemination.PeerTracker
	encoder          *encoder
	snapshot         atomic.Pointer[Snapshot]
	counters         counters
	readersChanged   chan struct{} // wakes runWatches: the set of readers may have changed
	pushPending      chan struct{} // wakes runPushes: values or refusals are to be sent
	exchangeRequests chan string   // peers to exchange digests with immediately

	mu             sync.Mutex // serialises adoption and guards the fields below
	decoded        decodedValues
	freshness      map[string]*freshness           // by key; entries are neither added nor removed
	refusals       map[string]*knowledgepb.Refusal // the latest refusal, by key
	unsentRefusals []*knowledgepb.Refusal
	subscribers    []func(Snapshot)
	startup        startupState
}

// New returns a Replica without values. Call Run to fill it.
func New(cfg Config) (*Replica, error) {
	cfg.setDefaults()
	switch {
	case cfg.Source == nil:
		return nil, errors.New("knowledge: no source is set; pass a client of the configuration service")
	case cfg.Host == "" || cfg.Domain == "":
		return nil, errors.New("knowledge: the host id or failure domain is missing; give both in the settings")
	case len(cfg.Partners) == 0:
		return nil, errors.New("knowledge: no partners are set; name the partners whose rules to read in the settings")
	}
	r := &Replica{
		cfg:              cfg,
		encoder:          newEncoder(),
		readersChanged:   make(chan struct{}, 1),
		pushPending:      make(chan struct{}, 1),
		exchangeRequests: make(chan string, 1),
		freshness:        make(map[string]*freshness),
		refusals:         make(map[string]*knowledgepb.Refusal),
		decoded:          decodedValues{rulesByPartner: make(map[string]*rules.Set)},
		startup:          startupState{informedByPeer: make(map[string]bool)},
	}
	r.store = dissemination.NewStore(r.validators())
	r.peers = dissemination.NewPeerTracker(r.store)
	for _, key := range r.store.Keys() {
		r.freshness[key] = &freshness{}
	}
	r.snapshot.Store(&Snapshot{Rules: rules.NewIndex()})
	return r, nil
}

// Snapshot returns the current values.
func (r *Replica) Snapshot() Snapshot { return *r.snapshot.Load() }

// Audit returns the audit trail, which has every adopted and every refused revision.
func (r *Replica) Audit() *audit.Trail { return r.cfg.Audit }

// Subscribe calls fn with the current snapshot at once and with each new one after a
// change. Calls never overlap, and snapshots never go back. fn runs under the lock of the
// Replica: it must return quickly and must not call any method of it but Snapshot.
func (r *Replica) Subscribe(fn func(Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, fn)
	fn(r.Snapshot())
}

// Run keeps the replica up to date until ctx ends, and returns the error of ctx.
func (r *Replica) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.resetStartup()
	hostListFetched := make(chan struct{})
	wg.Go(func() { r.runStartup(ctx, hostListFetched) })
	wg.Go(func() {
		<-hostListFetched
		r.runWatches(ctx)
	})
	wg.Go(func() { r.runPolls(ctx) })
	wg.Go(func() { r.runExchanges(ctx) })
	wg.Go(func() { r.runPushes(ctx) })
	<-ctx.Done()
	return ctx.Err()
}

// noTransport is the Transport of a host without peers.
type noTransport struct{}

var errNoTransport = errors.New("this host has no transport to peers")

func (noTransport) Peers() []string { return nil }

func (noTransport) Exchange(context.Context, string, *knowledgepb.Digest) (*knowledgepb.Values, error) {
	return nil, errNoTransport
}

func (noTransport) Push(context.Context, string, *knowledgepb.Values) error { return errNoTransport }
