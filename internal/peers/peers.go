// Package peers tells the other hosts what this one has placed where, and
// learns the same from them. Hosts find each other by seeds and by what other
// hosts know. All of it is a hint: a host that hears nothing still serves.
//
// Each host keeps a connection to every host of its failure domain and sends on
// it; what peers send arrives on the connections that they opened. It tells its
// jobs to every host of a small domain, and to one hub of a large one, which
// bundles the news of many hosts and passes them on there. A connection carries
// one yamux stream of length-delimited protobuf messages.
//
// Hosts also pass on what the store says: in a large domain a few of them watch
// it, and the others ask these.
package peers

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// coalesceDelay is how long events wait for others to share a message.
	coalesceDelay = 2 * time.Millisecond
	// relayBatchDelay is how long news of other hosts wait for more to be passed on.
	relayBatchDelay = 12 * time.Millisecond
	// heartbeatInterval is the time between messages on a connection that
	// carries news of jobs.
	heartbeatInterval = time.Second
	// heartbeatTimeout is the silence after which a peer's news is dropped.
	heartbeatTimeout = 3500 * time.Millisecond
	// quietHeartbeatInterval and quietHeartbeatTimeout are the same for a
	// connection that carries none.
	quietHeartbeatInterval = 3 * heartbeatInterval
	quietHeartbeatTimeout  = 3 * heartbeatTimeout
	linkCheckInterval      = 500 * time.Millisecond
	dialTimeout            = 600 * time.Millisecond
	writeTimeout           = 2 * time.Second
	// hostTTL is how long an unreachable host is remembered.
	hostTTL = 2 * time.Minute
	// maxDirectHosts is the number of other hosts of a failure domain up to which
	// all of them are told directly.
	maxDirectHosts = 4
	// hubsPerDomain is how many hosts of a larger one pass news on.
	hubsPerDomain = 3
	// directDelay and hubDelay are how late a job is heard of, without and with
	// a hub between.
	directDelay = coalesceDelay + time.Millisecond
	hubDelay    = 2*coalesceDelay + relayBatchDelay + 2*time.Millisecond
)

// CrashRecorder learns of requests that broke off at targets.
type CrashRecorder interface {
	RecordPeerCrash(fingerprint uint64, target catalog.TargetKey)
}

// Config holds what a Service needs.
type Config struct {
	HostID string
	Domain string
	Addr   netip.AddrPort // to listen on
	Seeds  []netip.AddrPort
	Placer *placement.Placer
	Log    *zap.Logger
}

// Service exchanges news. It implements placement.Events and is safe for
// concurrent use.
type Service struct {
	cfg           Config
	self          *peerspb.Host
	crashes       CrashRecorder
	changeLog     ChangeLog
	hosts         *hostTable
	pendingAsks   pendingAsks
	deflater      deflater
	lastResponder atomic.Pointer[link] // whose answer was of use last
	inboundAsks   atomic.Int64         // questions of peers that wait for a change
	lastAskAt     atomic.Int64         // when the last one came, Unix nanoseconds, 0: never

	mu         sync.Mutex
	links      map[netip.AddrPort]*link
	inbound    map[string]uint64 // newest connection of each peer
	inboundSeq uint64            // of inbound connections
	relayedBy  map[string]string // by host of another domain, the peer that passes on its news
	relaying   map[string]bool   // hosts whose news this host passes on
}

// New returns a service that is not started.
func New(cfg Config) *Service {
	return &Service{
		cfg:         cfg,
		self:        &peerspb.Host{Id: cfg.HostID, StartedMs: time.Now().UnixMilli(), Addr: cfg.Addr.String(), Domain: cfg.Domain},
		hosts:       newHostTable(cfg.Addr, cfg.Domain, cfg.Seeds),
		relayedBy:   make(map[string]string),
		relaying:    make(map[string]bool),
		pendingAsks: pendingAsks{responses: make(map[uint64]chan *peerspb.Passed)},
		deflater:    deflater{cache: make(map[string]*peerspb.Entry)},
		links:       make(map[netip.AddrPort]*link),
		inbound:     make(map[string]uint64),
	}
}

// Attach sets who learns of crashes and what is passed on of the store. Call it
// before Start.
func (s *Service) Attach(crashes CrashRecorder, changeLog ChangeLog) {
	s.crashes, s.changeLog = crashes, changeLog
}

// Start listens and keeps connections until ctx ends.
func (s *Service) Start(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.cfg.Addr.String())
	if err != nil {
		return eris.Wrapf(err, "cannot listen for peers on %s, choose a free address", s.cfg.Addr)
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go s.accept(ctx, listener)
	go s.maintainLinks(ctx)
	return nil
}

// HostCount is the number of hosts heard of lately, this one included.
func (s *Service) HostCount() int { return s.hosts.count(time.Now()) + 1 }

// maintainLinks opens and closes links as hosts come and go.
func (s *Service) maintainLinks(ctx context.Context) {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for {
		s.reconcileLinks(ctx)
		s.cfg.Placer.SetPropagationDelay(s.updateDelay())
		s.cfg.Placer.ExpireRemoteJobs()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateDelay is how late the jobs of most peers are heard of.
func (s *Service) updateDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.route.relay {
			return hubDelay
		}
	}
	return directDelay
}

func (s *Service) reconcileLinks(ctx context.Context) {
	wanted := s.hosts.routes(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, l := range s.links {
		if r, ok := wanted[addr]; !ok || r != l.route {
			l.cancel()
			delete(s.links, addr)
		}
	}
	for addr, r := range wanted {
		if s.links[addr] == nil {
			s.links[addr] = s.openLink(ctx, addr, r)
		}
	}
}

// Started tells peers of a placed job.
func (s *Service) JobStarted(job placement.Job) {
	pb := encodeJob(job)
	s.broadcast(func(n *peerspb.News) { n.Started = append(n.Started, pb) })
}

// Read tells peers of a job's first event.
func (s *Service) JobPrefilled(id placement.JobID) {
	s.broadcast(func(n *peerspb.News) { n.Read = append(n.Read, uint64(id)) })
}

// Ended tells peers of a job's end.
func (s *Service) JobEnded(id placement.JobID) {
	s.broadcast(func(n *peerspb.News) { n.Ended = append(n.Ended, uint64(id)) })
}

// Crashed tells peers that a request broke off at a target.
func (s *Service) Crashed(fingerprint uint64, target catalog.TargetKey) {
	c := &peerspb.Crash{Fingerprint: fingerprint, Target: target.ID, Born: target.StartUnixMilli}
	s.broadcast(func(n *peerspb.News) { n.Crashes = append(n.Crashes, c) })
}

// broadcast tells those that are told this host's jobs.
func (s *Service) broadcast(add func(*peerspb.News)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.route.jobs {
			l.queue(true, add)
		}
	}
}

// apply takes a peer's news over.
func (s *Service) apply(from *peerspb.Host, n *peerspb.News) {
	for _, h := range n.GetKnown() {
		s.hosts.recordMention(h, time.Now())
	}
	s.applyJobs(from.GetId(), n)
	for _, r := range n.GetRelayed() {
		s.applyRelayed(from.GetId(), r)
	}
	for _, p := range n.GetPassed() {
		s.pendingAsks.deliver(p)
	}
	s.serveAsks(from, n.GetAsk())
}

func (s *Service) serveAsks(from *peerspb.Host, asks []*peerspb.Ask) {
	if len(asks) == 0 {
		return
	}
	addr, err := netip.ParseAddrPort(from.GetAddr())
	if err != nil {
		s.cfg.Log.Warn("peer gives no address", zap.String("peer", from.GetId()), zap.Error(err))
		return
	}
	for _, ask := range asks {
		s.serveAsk(addr, ask)
	}
}

// applyJobs takes over what a host says of its own jobs.
func (s *Service) applyJobs(host string, n *peerspb.News) {
	for _, j := range n.GetStarted() {
		s.cfg.Placer.RemoteStarted(host, decodeJob(j))
	}
	for _, id := range n.GetRead() {
		s.cfg.Placer.RemotePrefilled(host, placement.JobID(id))
	}
	for _, id := range n.GetEnded() {
		s.cfg.Placer.RemoteEnded(host, placement.JobID(id))
	}
	for _, c := range n.GetCrashes() {
		s.crashes.RecordPeerCrash(c.GetFingerprint(), catalog.TargetKey{ID: c.GetTarget(), StartUnixMilli: c.GetBorn()})
	}
}
