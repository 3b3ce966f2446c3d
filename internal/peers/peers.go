// Package peers exchanges placements between hosts: each host sends the jobs that
// it has placed to the other hosts and receives theirs. Hosts discover each other
// through seeds and gossip. All of this data is advisory: a host without any peer
// still serves.
//
// Each host keeps a connection to every host of its failure domain and only sends
// on it; messages of peers arrive on the connections that the peers opened. A host
// sends its jobs to every host of a small domain, and to one hub of a large
// domain, which batches the updates of many hosts and relays them there. A
// connection carries one yamux stream of length-delimited protobuf messages.
//
// Hosts also share the store's changes: in a large domain a few hosts, the
// readers, watch the store, and the others ask them.
package peers

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/netlisten"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/quarantine"
)

const (
	// coalesceDelay is how long events wait for more events to share a message with.
	coalesceDelay = 2 * time.Millisecond
	// relayBatchDelay is how long a hub collects updates before it relays them.
	relayBatchDelay = 12 * time.Millisecond
	// heartbeatInterval is the interval of heartbeats on a connection that carries
	// jobs.
	heartbeatInterval = time.Second
	// heartbeatTimeout is the time without a message after which a connection is
	// closed and the peer's jobs are dropped.
	heartbeatTimeout = 3500 * time.Millisecond
	// quietHeartbeatInterval and quietHeartbeatTimeout are the same for a
	// connection that carries no jobs.
	quietHeartbeatInterval = 3 * heartbeatInterval
	quietHeartbeatTimeout  = 3 * heartbeatTimeout
	linkCheckInterval      = 500 * time.Millisecond
	dialTimeout            = 600 * time.Millisecond
	writeTimeout           = 2 * time.Second
	// hostTTL is how long a host is kept after it was last seen.
	hostTTL = 2 * time.Minute
	// maxDirectHosts is the largest number of other hosts in a failure domain for
	// which each of them is sent jobs directly.
	maxDirectHosts = 4
	// minHubsPerDomain is the smallest number of hosts of a larger domain that relay updates to
	// it.
	minHubsPerDomain = 3
	// maxRelayPairs is the largest product of the hosts whose updates a hub relays and of the
	// hosts that it relays them to.
	maxRelayPairs = 1000
	// directDelay and hubDelay are the expected delays until a peer learns of a
	// job, without and with a hub in between.
	directDelay = coalesceDelay + time.Millisecond
	hubDelay    = 2*coalesceDelay + relayBatchDelay + 2*time.Millisecond
)

// Quarantine tracks requests and parts of prompts that crash targets, with what peers
// report.
type Quarantine interface {
	RecordPeerCrash(c quarantine.Crash)
	RecordPeerAnswers(host string, a quarantine.Answers)
	RecentCrashes() []quarantine.Crash
	QuarantinedParts() []quarantine.Entry
	QuarantinePart(e quarantine.Entry)
}

// Config holds the settings and dependencies of a Service.
type Config struct {
	HostID string
	Domain string
	Addr   netip.AddrPort // to listen on; peers dial it
	// ForwardAddr is where this host takes requests of other hosts; invalid if it takes
	// none.
	ForwardAddr netip.AddrPort
	Seeds       []netip.AddrPort
	// OnHosts is called with the other hosts that take requests whenever they have changed;
	// nil for none.
	OnHosts func([]ForwardHost)
	Placer  *placement.Placer
	// Memory accounts for messages of peers; nil for no limit.
	Memory *membudget.Budget
	Log    *zap.Logger
}

// Service exchanges jobs, crashes and changes of the store with other hosts. It
// implements placement.JobObserver and follow.Peers and is safe for concurrent use.
type Service struct {
	cfg           Config
	self          *peerspb.Host
	quarantine    Quarantine
	changeLog     ChangeLog
	hosts         *hostTable
	pendingAsks   pendingAsks
	deflater      deflater
	lastResponder atomic.Pointer[link] // link to the host that last had a recent enough view
	inboundConns  atomic.Int64         // connections that peers opened
	inboundAsks   atomic.Int64         // requests of peers that wait for a change
	lastAskAt     atomic.Int64         // last request of a peer, in Unix nanoseconds; 0 if never
	startedAt     time.Time
	delays        updateDelays

	mu        sync.Mutex
	links     map[netip.AddrPort]*link
	inbound   map[string]*inbound // current connection, by peer id
	relayedBy map[string]string   // by host of another domain, the peer that relays its updates
	relaying  map[string]bool     // hosts whose updates this host relays
}

// New returns a Service. It does nothing until Start is called.
func New(cfg Config) *Service {
	return &Service{
		cfg:         cfg,
		self:        newSelf(cfg),
		startedAt:   time.Now(),
		hosts:       newHostTable(cfg.Addr, cfg.Domain, cfg.Seeds),
		relayedBy:   make(map[string]string),
		relaying:    make(map[string]bool),
		pendingAsks: pendingAsks{responses: make(map[uint64]chan *peerspb.Passed)},
		deflater:    deflater{cache: make(map[string]*peerspb.Entry)},
		links:       make(map[netip.AddrPort]*link),
		inbound:     make(map[string]*inbound),
	}
}

// newSelf describes this host to others.
func newSelf(cfg Config) *peerspb.Host {
	self := &peerspb.Host{Id: cfg.HostID, StartedMs: time.Now().UnixMilli(), Addr: cfg.Addr.String(), Domain: cfg.Domain}
	if cfg.ForwardAddr.IsValid() {
		self.ForwardAddr = cfg.ForwardAddr.String()
	}
	return self
}

// Attach sets the quarantine that peers' reports go to and the changes of the store
// that are served to peers. Call it before Start.
func (s *Service) Attach(q Quarantine, changeLog ChangeLog) {
	s.quarantine, s.changeLog = q, changeLog
}

// Start listens for peers and maintains links to them until ctx ends. It returns
// once the listener is open.
func (s *Service) Start(ctx context.Context) error {
	listener, err := netlisten.Listen(ctx, s.cfg.Addr)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for peers on %s, choose a free address", s.cfg.Addr)
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go s.accept(ctx, listener)
	go s.maintainLinks(ctx)
	return nil
}

// HostCount returns the number of hosts seen within hostTTL, including this one.
func (s *Service) HostCount() int { return s.hosts.count(time.Now()) + 1 }

// LiveHosts returns the ids of the live hosts of a failure domain, of all live hosts if it has
// none.
func (s *Service) LiveHosts(domain string) []string {
	return s.hosts.liveHosts(domain, s.cfg.HostID, time.Now())
}

// DomainCount returns the number of failure domains of these hosts.
func (s *Service) DomainCount() int { return s.hosts.domainCount(time.Now()) }

// maintainLinks periodically adapts links to the known hosts, updates the
// propagation delay of the placer and expires peers' jobs.
func (s *Service) maintainLinks(ctx context.Context) {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	var forwardHosts []ForwardHost
	for {
		s.reconcileLinks(ctx)
		forwardHosts = s.reportForwardHosts(forwardHosts)
		s.updatePlacer()
		s.logDelay()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updatePlacer tells the placer what it reckons with: how late it learns of peers' jobs, and how
// many peers there are.
func (s *Service) updatePlacer() {
	s.cfg.Placer.SetPropagationDelay(s.UpdateDelay())
	s.cfg.Placer.SetPeers(s.countedHosts(), s.HostCount())
	s.cfg.Placer.ExpireRemoteJobs()
}

// reportForwardHosts reports the hosts that take requests if they differ from the last
// ones, and returns them.
func (s *Service) reportForwardHosts(last []ForwardHost) []ForwardHost {
	if s.cfg.OnHosts == nil {
		return last
	}
	current := s.hosts.forwardHosts(time.Now())
	if !slices.Equal(current, last) {
		s.cfg.OnHosts(current)
	}
	return current
}

// shortestDelay returns the delay with which the jobs of most peers arrive if nothing holds them
// up: hubDelay if this host itself sends through a hub, else directDelay.
func (s *Service) shortestDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.route.relay {
			return hubDelay
		}
	}
	return directDelay
}

// countedHosts returns the number of hosts whose jobs this host receives, directly or
// through a hub, including this one.
func (s *Service) countedHosts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 1 + len(s.relayedBy)
	for host, in := range s.inbound {
		if _, relayed := s.relayedBy[host]; in.jobs && !relayed {
			count++
		}
	}
	return count
}

// reconcileLinks closes links whose route is gone or has changed and opens missing
// ones.
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

// JobStarted sends a placed job to peers.
func (s *Service) JobStarted(job placement.Job) {
	pb := encodeJob(job)
	s.broadcast(func(n *peerspb.News) { n.Started = append(n.Started, pb) })
}

// JobPrefilled tells peers that the first event of a job has arrived.
func (s *Service) JobPrefilled(id placement.JobID) {
	s.broadcast(func(n *peerspb.News) { n.Read = append(n.Read, uint64(id)) })
}

// JobEnded tells peers that a job has ended.
func (s *Service) JobEnded(id placement.JobID) {
	s.broadcast(func(n *peerspb.News) { n.Ended = append(n.Ended, uint64(id)) })
}

// TargetSuspectedCold tells peers that a target may be cold.
func (s *Service) TargetSuspectedCold(service string, target catalog.TargetKey) {
	pb := &peerspb.ColdTarget{Service: service, Target: target.ID, Born: target.StartUnixMilli}
	s.broadcast(func(n *peerspb.News) { n.ColdTargets = append(n.ColdTargets, pb) })
}

// PromptRefused tells peers of a prompt that this host has refused.
func (s *Service) PromptRefused(p placement.RefusedPrompt) {
	pb := encodeRefusedPrompt(p)
	s.broadcast(func(n *peerspb.News) { n.RefusedPrompts = append(n.RefusedPrompts, pb) })
}

// PromptReturned tells peers that the caller of a refused prompt has come back.
func (s *Service) PromptReturned(service string, key placement.PromptKey) {
	pb := &peerspb.ReturnedPrompt{Service: service, Key: uint64(key)}
	s.broadcast(func(n *peerspb.News) { n.ReturnedPrompts = append(n.ReturnedPrompts, pb) })
}

// Crashed tells peers that a request broke off at a target.
func (s *Service) Crashed(c quarantine.Crash) {
	pb := encodeCrash(c)
	s.broadcast(func(n *peerspb.News) { n.Crashes = append(n.Crashes, pb) })
}

// AnswersReceived tells peers of answers that clear a part of prompts.
func (s *Service) AnswersReceived(a quarantine.Answers) {
	pb := &peerspb.Answers{Part: a.Part, Count: a.Count}
	s.broadcast(func(n *peerspb.News) { n.Answers = append(n.Answers, pb) })
}

// RateLimitChanged tells peers the rate limit of a target.
func (s *Service) RateLimitChanged(limit placement.TargetRateLimit) {
	pb := encodeRateLimit(limit)
	s.broadcast(func(n *peerspb.News) { n.RateLimits = append(n.RateLimits, pb) })
}

// broadcast queues an event on all links that carry this host's jobs.
func (s *Service) broadcast(add func(*peerspb.News)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.route.jobs {
			l.queue(true, add)
		}
	}
}

// apply processes a message from a peer.
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

// serveAsks serves the requests for changes in a message. The responses go out on
// the link to the address that the sender names.
func (s *Service) serveAsks(from *peerspb.Host, asks []*peerspb.Ask) {
	if len(asks) == 0 {
		return
	}
	addr, err := netip.ParseAddrPort(from.GetAddr())
	if err != nil {
		s.cfg.Log.Warn("peer sent no valid address", zap.String("peer", from.GetId()), zap.Error(err))
		return
	}
	for _, ask := range asks {
		s.serveAsk(addr, ask)
	}
}

// applyJobs applies a host's updates of its own jobs and its reports on targets.
func (s *Service) applyJobs(host string, n *peerspb.News) {
	s.recordDelay(host, n)
	for _, j := range n.GetStarted() {
		s.cfg.Placer.RemoteStarted(host, decodeJob(j))
	}
	for _, id := range n.GetRead() {
		s.cfg.Placer.RemotePrefilled(host, placement.JobID(id))
	}
	for _, id := range n.GetEnded() {
		s.cfg.Placer.RemoteEnded(host, placement.JobID(id))
	}
	for _, c := range n.GetColdTargets() {
		s.cfg.Placer.RecordPeerSuspectedCold(host, c.GetService(), catalog.TargetKey{ID: c.GetTarget(), StartUnixMilli: c.GetBorn()})
	}
	for _, p := range n.GetRefusedPrompts() {
		s.cfg.Placer.RecordPeerRefused(host, decodeRefusedPrompt(p))
	}
	for _, p := range n.GetReturnedPrompts() {
		s.cfg.Placer.RecordPeerReturned(p.GetService(), placement.PromptKey(p.GetKey()))
	}
	for _, c := range n.GetCrashes() {
		s.quarantine.RecordPeerCrash(decodeCrash(c))
	}
	for _, a := range n.GetAnswers() {
		s.quarantine.RecordPeerAnswers(host, quarantine.Answers{Part: a.GetPart(), Count: a.GetCount()})
	}
	for _, q := range n.GetQuarantinedParts() {
		s.quarantine.QuarantinePart(decodeQuarantinedPart(q))
	}
	for _, r := range n.GetRateLimits() {
		s.cfg.Placer.RecordPeerRateLimit(decodeRateLimit(r))
	}
}
