package placement

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// Placer assigns requests to targets. It tracks the load of all targets in one
// shard per service. It is safe for concurrent use.
type Placer struct {
	now      func() time.Time
	seed     uint64
	observer JobObserver
	policy   Policy
	// reachabilityChanged is told of services that become unreachable or reachable.
	reachabilityChanged func(ReachabilityChange)
	lastID              atomic.Uint64
	propagationDelay    atomic.Int64 // of peers' job updates, in nanoseconds
	countedHosts        atomic.Int64 // hosts whose jobs this host knows, this one included
	knownHosts          atomic.Int64 // all hosts, this one included
	expectsPeers        atomic.Bool  // there are other hosts, known or not

	mu     sync.RWMutex
	shards map[string]*shard
}

// shard holds the targets and the jobs of one service.
type shard struct {
	service string

	mu          sync.Mutex
	loads       map[catalog.TargetKey]*targetLoad
	local       map[JobID]*trackedJob
	remote      map[string]map[JobID]*trackedJob // by peer
	demand      demand
	coldPeriod  time.Duration // published with the service, as of the latest call of Place
	targetCount int           // targets of the service in the latest call of Place
	domainCount int           // their failure domains
	ownAttempts rate          // calls of Place, by this host alone
	// reachability is judged by this host's own attempts.
	reachability reachability
	random       *rand.Rand
	lastProbe    map[string]time.Time // by failure domain: when a request last probed it while unreachable
	refused      refusedPrompts
}

// NewPlacer returns a Placer without jobs. It reads the time from now and seeds
// the random choice between equal targets with seed.
func NewPlacer(now func() time.Time, seed uint64) *Placer {
	pl := &Placer{
		now: now, seed: seed, observer: noopObserver{}, policy: DefaultPolicy(), reachabilityChanged: func(ReachabilityChange) {}, shards: make(map[string]*shard),
	}
	pl.SetPeers(1, 1)
	return pl
}

// SetObserver sets the observer of this host's jobs. Call it before Place.
func (pl *Placer) SetObserver(o JobObserver) { pl.observer = o }

// SetPropagationDelay sets the delay with which this host learns of peers' jobs.
func (pl *Placer) SetPropagationDelay(d time.Duration) { pl.propagationDelay.Store(int64(d)) }

// PropagationDelay returns the delay with which this host learns of peers' jobs.
func (pl *Placer) PropagationDelay() time.Duration { return time.Duration(pl.propagationDelay.Load()) }

func (pl *Placer) shard(service string) *shard {
	pl.mu.RLock()
	s := pl.shards[service]
	pl.mu.RUnlock()
	if s != nil {
		return s
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if s = pl.shards[service]; s == nil {
		s = &shard{
			service:   service,
			loads:     make(map[catalog.TargetKey]*targetLoad),
			local:     make(map[JobID]*trackedJob),
			remote:    make(map[string]map[JobID]*trackedJob),
			lastProbe: make(map[string]time.Time),
			random:    rand.New(rand.NewPCG(pl.seed, xxhash.Sum64String(service))),
		}
		pl.shards[service] = s
	}
	return s
}

// allShards returns the shards of all services.
func (pl *Placer) allShards() []*shard {
	pl.mu.RLock()
	defer pl.mu.RUnlock()
	out := make([]*shard, 0, len(pl.shards))
	for _, s := range pl.shards {
		out = append(out, s)
	}
	return out
}

// Placement is a choice of targets. The request counts towards their load until
// End.
type Placement struct {
	Primary catalog.Target
	// Parts are the targets that prefill or hold parts of the prompt. The primary
	// is among them only if it holds a reservation.
	Parts []Part
	// PredictedWait is the predicted time to the first event.
	PredictedWait time.Duration
	// Late means that the first event is not expected within the objective, so
	// engines should admit other requests first.
	Late bool

	placer *Placer
	shard  *shard
	job    *trackedJob
	ended  bool
}

// Place chooses among targets and adds the request to the load of the chosen
// ones. It returns ErrNoTarget if too few of them are eligible, a *DeferredError if none of
// them wants a request at the moment, and a *BacklogError if the prompt is not admitted.
func (pl *Placer) Place(req Request, targets []catalog.Target) (*Placement, error) {
	s := pl.shard(req.Service)
	now := pl.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	view := pl.fleetView()
	s.ownAttempts.add(1, now)
	s.targetCount, s.domainCount = len(targets), countDomains(targets)
	s.coldPeriod = req.ColdPeriod
	candidates, helpers, err := s.candidates(req, targets, view, now)
	if err != nil {
		return nil, err
	}
	if !pl.policy.Importance {
		req.Importance = 0
	}
	p := &Placement{placer: pl, shard: s}
	var shares []Share
	if req.Engine == nil {
		shares = p.choosePlain(candidates, s.random, now)
	} else {
		shares, err = p.choosePrompt(&req, candidates, helpers, s, now)
	}
	var backlogged *BacklogError
	if errors.As(err, &backlogged) {
		pl.recordRefused(s, &req, backlogged, now)
	}
	if err != nil {
		return nil, err
	}
	p.job = &trackedJob{placedAt: now, Job: Job{
		ID: JobID(pl.lastID.Add(1)), Service: req.Service, Shares: shares, Weight: req.weight(),
		Objective: req.Objective - req.Waited, MaxEventGap: req.MaxEventGap, Prefilled: req.Engine == nil, Late: p.Late,
	}}
	s.add(p.job, now)
	s.countRequest(&p.job.Job, view, now)
	s.local[p.job.ID] = p.job
	pl.observer.JobStarted(p.job.Job)
	return p, nil
}

// candidates returns the eligible targets, and apart from them those that may only help
// with the prefill, since their rate limit permits no request at the moment. Together
// they are at least as many as the request needs. Ejected targets, and those of
// unreachable failure domains, are eligible only if there are no others; those that have
// asked for rest, or are about to end, are not eligible at all.
func (s *shard) candidates(req Request, targets []catalog.Target, view fleetView, now time.Time) (eligible, helpers []*targetLoad, err error) {
	var unhealthy []*targetLoad
	var deferred *DeferredError
	unreachable := s.unreachableDomains(now)
	for _, t := range targets {
		if slices.Contains(req.ExcludedTargets, t.ID) {
			continue
		}
		l := s.load(t.TargetKey)
		l.target = t
		l.coldState.limits = coldLimits{perSecond: req.ColdRate, period: req.ColdPeriod}
		if l.leaving {
			continue
		}
		healthy := !l.ejected(now) && !unreachable[t.Domain]
		if rest := l.restUntil.Sub(now); rest > 0 {
			deferred = deferred.earlier(DeferredError{RetryAfter: rest, OnlyHere: true})
			continue
		}
		l.limitCold(now)
		wait := s.rateLimitWait(l, view, now)
		switch {
		case l.limiter.cold.Named && view.isolated():
			unhealthy = append(unhealthy, l) // this host cannot tell its share
		case wait > 0:
			deferred = deferred.earlier(DeferredError{RetryAfter: wait})
			if healthy {
				helpers = append(helpers, l)
			}
		case healthy:
			eligible = append(eligible, l)
		default:
			unhealthy = append(unhealthy, l)
		}
	}
	if len(eligible) == 0 {
		eligible = unhealthy
	}
	switch {
	case len(eligible) > 0 && len(eligible)+len(helpers) >= minParts(&req):
		return eligible, helpers, nil
	case deferred != nil:
		return nil, nil, deferred
	default:
		return nil, nil, ErrNoTarget
	}
}

// maxCandidates is the largest number of engines compared for one prompt.
const maxCandidates = 96

// sampleCandidates shuffles the candidates, so that ties are broken at random,
// and limits their number to maxCandidates.
func (s *shard) sampleCandidates(candidates []*targetLoad) []*targetLoad {
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), maxCandidates)]
}

func (s *shard) load(key catalog.TargetKey) *targetLoad {
	l := s.loads[key]
	if l == nil {
		l = &targetLoad{target: catalog.Target{TargetKey: key}}
		s.loads[key] = l
	}
	return l
}

// add adds a job to the load of its targets and to the demand.
func (s *shard) add(t *trackedJob, now time.Time) {
	for _, share := range t.Shares {
		s.load(share.Target).add(t, share, now)
	}
	s.demand.recordArrival(&t.Job, now)
}

// markPrefilled records a job's first event: its prefill is over, and targets
// that do not decode it are released.
func (s *shard) markPrefilled(t *trackedJob, now time.Time) {
	if t.Prefilled {
		return
	}
	t.Prefilled = true
	for _, share := range t.Shares {
		l := s.loads[share.Target]
		if l == nil {
			continue
		}
		l.lastPrefillAt = now
		l.recordSignOfLife(now)
		l.capBacklog(now)
		if !share.Decodes {
			l.remove(t)
		}
	}
}

// remove removes a job from the load of its targets.
func (s *shard) remove(t *trackedJob, now time.Time) {
	for _, share := range t.Shares {
		if l := s.loads[share.Target]; l != nil {
			l.remove(t)
			l.capBacklog(now)
		}
	}
}

// Retain deletes the loads of targets for which usable returns false and which
// have no request in progress.
func (pl *Placer) Retain(usable func(catalog.TargetKey) bool) {
	for _, s := range pl.allShards() {
		s.mu.Lock()
		for key, l := range s.loads {
			if len(l.jobs) == 0 && !usable(key) {
				delete(s.loads, key)
			}
		}
		s.mu.Unlock()
	}
}

// RecordResult records a result at a target that End does not cover, such as a
// helper's. End records only the result at the primary target.
func (pl *Placer) RecordResult(t catalog.Target, result Result) {
	s := pl.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[t.TargetKey]; l != nil {
		l.recordResult(result, pl.now())
		pl.reportCold(s, l, pl.now())
	}
}

// RecordRest records that a target wants no requests of this host for a while.
func (pl *Placer) RecordRest(t catalog.Target, rest time.Duration) {
	s := pl.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[t.TargetKey]; l != nil {
		l.restUntil = later(l.restUntil, pl.now().Add(rest))
	}
}

// RecordLeaving records that a target is about to end, and reports whether that is new.
func (pl *Placer) RecordLeaving(t catalog.Target) bool {
	s := pl.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[t.TargetKey]
	if l == nil || l.leaving {
		return false
	}
	l.leaving = true
	return true
}

// Declines reports whether a target wants no requests of this host: it has asked for rest
// or is about to end.
func (pl *Placer) Declines(t catalog.Target) bool {
	s := pl.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[t.TargetKey]
	return l != nil && (l.leaving || pl.now().Before(l.restUntil))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordNoMemory records that an engine had no free memory for a reservation.
func (pl *Placer) RecordNoMemory(t catalog.Target) {
	s := pl.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[t.TargetKey]; l != nil {
		l.noMemoryAt = pl.now()
	}
}

// FirstEvent records the first event of the answer, after which the prefill is
// over.
func (p *Placement) FirstEvent() {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if p.ended || p.job.Prefilled {
		return
	}
	now := p.placer.now()
	p.shard.markPrefilled(p.job, now)
	if l := p.shard.loads[p.Primary.TargetKey]; l != nil {
		l.recordAnswer(now)
		p.placer.reportCold(p.shard, l, now)
	}
	p.placer.recordReachability(p.shard, p.Primary.TargetKey, Served, now)
	p.placer.observer.JobPrefilled(p.job.ID)
}

// End removes the request from the load of its targets and records the result at
// the primary one. Only the first call has an effect.
func (p *Placement) End(result Result) {
	now := p.placer.now()
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.shard.remove(p.job, now)
	delete(p.shard.local, p.job.ID)
	if l := p.shard.loads[p.Primary.TargetKey]; l != nil {
		l.recordResult(result, now)
		p.placer.reportCold(p.shard, l, now)
	}
	p.placer.recordReachability(p.shard, p.Primary.TargetKey, result, now)
	p.placer.observer.JobEnded(p.job.ID)
}
