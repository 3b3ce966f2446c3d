package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// Placer keeps the load of all targets, a shard for each service. It is safe
// for concurrent use.
type Placer struct {
	now    func() time.Time
	seed   uint64
	events JobObserver
	lastID atomic.Uint64
	delay  atomic.Int64 // of peers' news, in nanoseconds

	mu     sync.RWMutex
	shards map[string]*shard
}

// shard is one service's targets and jobs.
type shard struct {
	mu     sync.Mutex
	loads  map[catalog.TargetKey]*load
	local  map[JobID]*tracked
	remote map[string]map[JobID]*tracked // by peer
	demand demand
	random *rand.Rand
	probed map[string]time.Time // when a domain that is cut off was tried last
}

// NewPlacer returns an empty board that reads the time from now and breaks ties
// at random from seed.
func NewPlacer(now func() time.Time, seed uint64) *Placer {
	return &Placer{now: now, seed: seed, events: noEvents{}, shards: make(map[string]*shard)}
}

// SetObserver sets who is told of this host's jobs. Call it before Place.
func (b *Placer) SetObserver(e JobObserver) { b.events = e }

// SetPropagationDelay sets how late the jobs of peers are heard of.
func (b *Placer) SetPropagationDelay(d time.Duration) { b.delay.Store(int64(d)) }

func (b *Placer) shard(service string) *shard {
	b.mu.RLock()
	s := b.shards[service]
	b.mu.RUnlock()
	if s != nil {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s = b.shards[service]; s == nil {
		s = &shard{
			loads:  make(map[catalog.TargetKey]*load),
			local:  make(map[JobID]*tracked),
			remote: make(map[string]map[JobID]*tracked),
			probed: make(map[string]time.Time),
			random: rand.New(rand.NewPCG(b.seed, xxhash.Sum64String(service))),
		}
		b.shards[service] = s
	}
	return s
}

// all returns the shards of all services.
func (b *Placer) all() []*shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]*shard, 0, len(b.shards))
	for _, s := range b.shards {
		out = append(out, s)
	}
	return out
}

// Placement is a choice of targets, counted on the board until End.
type Placement struct {
	Primary catalog.Target
	// Parts are the targets that read or hold parts of the prompt, the primary
	// left out unless it holds a reservation.
	Parts []Part
	// PredictedWait is the predicted time to the first event.
	PredictedWait time.Duration
	// Late means that the first event is not expected in time, so that engines
	// had better admit others first.
	Late bool

	board *Placer
	shard *shard
	job   *tracked
	ended bool
}

// Place chooses among targets and counts the request there. It returns
// ErrNoTarget if none of them may be tried.
func (b *Placer) Place(need Request, targets []catalog.Target) (*Placement, error) {
	s := b.shard(need.Service)
	now := b.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(need, targets, now)
	if len(candidates) == 0 || len(candidates) < minParts(&need) {
		return nil, ErrNoTarget
	}
	p := &Placement{board: b, shard: s}
	var shares []Share
	if need.Engine == nil {
		shares = p.choosePlain(candidates, s.random, now)
	} else {
		candidates = s.sample(candidates)
		shares = p.choosePrompt(&need, candidates, s, now)
	}
	p.job = &tracked{at: now, Job: Job{
		ID: JobID(b.lastID.Add(1)), Service: need.Service, Shares: shares, Weight: need.weight(),
		Objective: need.Objective - need.Waited, MaxEventGap: need.MaxEventGap, Prefilled: need.Engine == nil, Late: p.Late,
	}}
	s.add(p.job, now)
	s.local[p.job.ID] = p.job
	b.events.JobStarted(p.job.Job)
	return p, nil
}

// candidates returns the targets that may be tried. Shunned ones, and those of
// failure domains that are cut off, count only if there are no others.
func (s *shard) candidates(need Request, targets []catalog.Target, now time.Time) []*load {
	var good, shunned []*load
	cut := s.cutDomains(now)
	for _, t := range targets {
		if slices.Contains(need.ExcludedTargets, t.ID) {
			continue
		}
		l := s.load(t.TargetKey)
		l.target = t
		if l.shunned(now) || cut[t.Domain] {
			shunned = append(shunned, l)
		} else {
			good = append(good, l)
		}
	}
	if len(good) == 0 {
		return shunned
	}
	return good
}

// maxCandidates bounds the engines that are compared for one prompt.
const maxCandidates = 96

// sample shuffles the candidates, so that equal ones are drawn at random, and
// bounds their number.
func (s *shard) sample(candidates []*load) []*load {
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), maxCandidates)]
}

func (s *shard) load(key catalog.TargetKey) *load {
	l := s.loads[key]
	if l == nil {
		l = &load{target: catalog.Target{TargetKey: key}}
		s.loads[key] = l
	}
	return l
}

// add counts a job at its targets.
func (s *shard) add(t *tracked, now time.Time) {
	for _, share := range t.Shares {
		s.load(share.Target).add(t, share, now)
	}
	s.demand.arrived(&t.Job, now)
}

// read notes a job's first event.
func (s *shard) read(t *tracked, now time.Time) {
	if t.Prefilled {
		return
	}
	t.Prefilled = true
	for _, share := range t.Shares {
		l := s.loads[share.Target]
		if l == nil {
			continue
		}
		l.endReading(now)
		if !share.Decodes {
			l.drop(t)
		}
	}
}

// remove takes a job off its targets.
func (s *shard) remove(t *tracked, now time.Time) {
	for _, share := range t.Shares {
		if l := s.loads[share.Target]; l != nil {
			l.drop(t)
			l.endReading(now)
		}
	}
}

// Retain forgets the loads of targets that are not registered and have no
// request in progress.
func (b *Placer) Retain(registered func(catalog.TargetKey) bool) {
	for _, s := range b.all() {
		s.mu.Lock()
		for key, l := range s.loads {
			if len(l.jobs) == 0 && !registered(key) {
				delete(s.loads, key)
			}
		}
		s.mu.Unlock()
	}
}

// RecordResult takes news of a target into account that no placement's end tells.
func (b *Placer) RecordResult(t catalog.Target, result Result) {
	s := b.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[t.TargetKey]; l != nil {
		l.learn(result, b.now())
	}
}

// FirstEvent notes that the prompt has been read.
func (p *Placement) FirstEvent() {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if p.ended || p.job.Prefilled {
		return
	}
	now := p.board.now()
	p.shard.read(p.job, now)
	if l := p.shard.loads[p.Primary.TargetKey]; l != nil {
		l.aliveAt = now
	}
	p.board.events.JobPrefilled(p.job.ID)
}

// End takes the request off the board. Only its first call counts.
func (p *Placement) End(result Result) {
	now := p.board.now()
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.shard.remove(p.job, now)
	delete(p.shard.local, p.job.ID)
	if l := p.shard.loads[p.Primary.TargetKey]; l != nil {
		l.learn(result, now)
	}
	p.board.events.JobEnded(p.job.ID)
}
