package schedule

import (
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/fairqueue"
	"github.com/plantainrun/plantainrun/internal/memory"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// lookahead is the number of requests of one organisation that a pass over the
// queue attempts to start.
const lookahead = 4

// pool schedules the requests of one model on its targets. mu guards the fields
// below it; the callbacks run after mu is released.
type pool struct {
	cfg    *Config
	ledger *memory.Ledger
	policy Policy

	mu           sync.Mutex
	targets      map[string]*targetState
	queue        *fairqueue.Queue[*waiter]
	queuedTokens map[rules.Class]float64 // prompt tokens in the queue
	newestReport time.Time               // when the newest report of any target was received
	seq          uint64                  // number of the last reservation, for unique ids
	calibration  calibration
	claim        *claim
	peerClaims   map[string]peerClaim // by target id
	lenders      map[loanKey]lender
	stats        Stats
	timerArmed   bool // a timer for the next poll is running

	candidates []Candidate // buffer reused for each request
	placements []placement // where each of candidates would run
	callbacks  []func()    // run by unlock
}

// placement is where a candidate would run.
type placement struct {
	target *targetState       // the engine that runs prefill and decode
	parts  []engineapi.KVPart // memory to reserve; nil means all of it at the target
}

// waiter is an offered request and its scheduling state.
type waiter struct {
	req           Request
	shape         Shape
	priority      int64
	need          int // tokens of memory for prompt and output
	fit           fit
	reservedUntil time.Time
	offeredAt     time.Time
	predictedTTFT time.Duration // at admission, before calibration
	route         *route
	item          fairqueue.Item[*waiter]
	deliver       func(Grant, error)
	blockedSince  time.Time // since when the request has lacked only memory; zero if it does not
}

func newPool(cfg *Config) *pool {
	shareConfig := share.Config{Incarnation: cfg.Incarnation, IncreaseDelay: cfg.ShareIncreaseDelay}
	return &pool{
		cfg: cfg, ledger: memory.NewLedger(shareConfig), policy: cfg.NewPolicy(),
		targets:      map[string]*targetState{},
		queue:        fairqueue.New[*waiter](cfg.Queues),
		queuedTokens: map[rules.Class]float64{},
		calibration:  newCalibration(),
		peerClaims:   map[string]peerClaim{},
		lenders:      map[loanKey]lender{},
		stats:        Stats{Refused: map[apierror.Kind]uint64{}},
	}
}

// unlock releases the lock and runs the callbacks that were queued under it.
func (p *pool) unlock() {
	callbacks := p.callbacks
	p.callbacks = nil
	p.mu.Unlock()
	for _, fn := range callbacks {
		fn()
	}
}

// offer admits a request to the queue or refuses it immediately.
func (p *pool) offer(now time.Time, w *waiter) error {
	p.mu.Lock()
	defer p.unlock()
	p.stats.Offered++
	if err := p.admit(now, w); err != nil {
		p.stats.Refused[apierror.From(err).Kind]++
		return err
	}
	if !p.enqueue(w) {
		err := p.queueFullError(w)
		p.stats.Refused[apierror.KindOverloaded]++
		return err
	}
	p.stats.Admitted++
	p.dispatch(now)
	return nil
}

func (p *pool) enqueue(w *waiter) bool {
	w.item = fairqueue.Item[*waiter]{
		Partner: w.req.Partner, Organisation: w.req.Organisation,
		Cost: float64(w.need), Rank: w.priority, Expires: w.latestStart(), Value: w,
	}
	if !p.queue.Push(&w.item) {
		return false
	}
	p.queuedTokens[w.shape.Class] += float64(w.req.PromptTokens)
	return true
}

// dequeued updates the accounting for a request that is no longer queued.
func (p *pool) dequeued(w *waiter) {
	p.queuedTokens[w.shape.Class] -= float64(w.req.PromptTokens)
	p.dropClaim(w)
}

// latestStart returns the latest time at which the request can start and still
// finish before its deadline on an idle engine.
func (w *waiter) latestStart() time.Time {
	return w.req.Deadline.Add(-w.shape.PrefillTime - w.shape.DecodeTime)
}

// cancel removes a queued request and reports whether it was queued.
func (p *pool) cancel(w *waiter) bool {
	p.mu.Lock()
	defer p.unlock()
	if !p.queue.Remove(&w.item) {
		return false
	}
	p.dequeued(w)
	p.stats.Cancelled++
	return true
}

// poll expires the queued requests that can no longer finish and starts those that
// can run.
func (p *pool) poll(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	p.dispatch(now)
}

// dispatch expires queued requests, starts those that can run, the one with the
// claim first, and requests loans for the claim that remains.
func (p *pool) dispatch(now time.Time) {
	p.expire(now)
	if p.queue.Len() == 0 {
		return
	}
	var failed failedPlacements
	p.tryStartClaimed(now, &failed)
	for {
		it := p.queue.Dequeue(lookahead, func(it *fairqueue.Item[*waiter]) bool { return p.tryStart(now, it.Value, &failed) })
		if it == nil {
			break
		}
		p.dequeued(it.Value)
	}
	p.requestLoans(now)
}

// tryStartClaimed attempts to start the request with the claim. It runs before the
// pass over the queue, since many requests of the same organisation may be queued
// before that request.
func (p *pool) tryStartClaimed(now time.Time, failed *failedPlacements) {
	if p.claim == nil {
		return
	}
	w := p.claim.waiter
	if p.tryStart(now, w, failed) && p.queue.DequeueItem(&w.item) {
		p.dequeued(w)
	}
}

func (p *pool) expire(now time.Time) {
	for _, it := range p.queue.Expire(now) {
		w := it.Value
		p.dequeued(w)
		err := p.expiredError(now, w)
		p.stats.Refused[apierror.From(err).Kind]++
		p.callbacks = append(p.callbacks, func() { w.deliver(nil, err) })
	}
}

// nextPoll returns when the pool should be polled next, or false if no request is
// queued.
func (p *pool) nextPoll(now time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.queue.NextExpiry()
	if !ok {
		return time.Time{}, false
	}
	if soon := now.Add(p.cfg.PollInterval); soon.Before(at) {
		at = soon
	}
	return at, true
}

// failedPlacements records the requests that found no target in a pass over the
// queue, so that requests of the same route and class that need at least as much
// memory and have no higher priority are skipped.
type failedPlacements struct {
	list []failedPlacement
}

type failedPlacement struct {
	route    *route
	class    rules.Class
	priority int64
	need     int
}

func (f *failedPlacements) covers(w *waiter) bool {
	for i := range f.list {
		x := &f.list[i]
		if x.route == w.route && x.class == w.shape.Class && w.priority >= x.priority && w.need >= x.need {
			return true
		}
	}
	return false
}

func (f *failedPlacements) add(w *waiter) {
	if len(w.req.Exclude) == 0 && !w.req.Suspect {
		f.list = append(f.list, failedPlacement{route: w.route, class: w.shape.Class, priority: w.priority, need: w.need})
	}
}

// tryStart grants the request now if the policy finds a target for it.
func (p *pool) tryStart(now time.Time, w *waiter, failed *failedPlacements) bool {
	if failed.covers(w) {
		return false
	}
	memoryBlocked := p.findCandidates(now, w)
	if len(p.candidates) > 0 {
		if i := p.policy.Choose(now, &w.req, w.shape, p.candidates); i >= 0 && p.tryGrant(now, w, i) {
			return true
		}
	}
	p.maybeClaim(now, w, memoryBlocked)
	failed.add(w)
	return false
}

// findCandidates collects the candidates that have memory for w and would finish it
// before its deadline. It reports whether a target lacked only the memory.
func (p *pool) findCandidates(now time.Time, w *waiter) (memoryBlocked bool) {
	p.candidates, p.placements = p.candidates[:0], p.placements[:0]
	if w.fit.grouped {
		return p.findGroupCandidates(now, w)
	}
	for i, t := range w.route.targets {
		if !p.schedulable(now, w, t) {
			continue
		}
		p.candidates = append(p.candidates, w.route.candidate(i))
		c := &p.candidates[len(p.candidates)-1]
		c.FreeTokens = p.freeFor(now, w, t)
		if c.FreeTokens < w.need {
			memoryBlocked = memoryBlocked || (w.need <= t.memory && p.policy.Eligible(w.shape, c))
			p.dropLastCandidate()
			continue
		}
		t.estimate(now, c, p.uncachedTokens(w, t), w.priority, w.shape.Class)
		if !w.meetsDeadline(now, c.PredictedTTFT) {
			p.dropLastCandidate()
			continue
		}
		p.placements = append(p.placements, placement{target: t})
	}
	return memoryBlocked
}

// dropLastCandidate removes the candidate that was added last.
func (p *pool) dropLastCandidate() { p.candidates = p.candidates[:len(p.candidates)-1] }

func (p *pool) findGroupCandidates(now time.Time, w *waiter) (memoryBlocked bool) {
	for i := range w.route.groups {
		g := &w.route.groups[i]
		if g.memory() < w.need || !p.allSchedulable(now, w, g) {
			continue
		}
		parts, free := p.splitAcrossGroup(now, w, g)
		if parts == nil || parts[0].Tokens <= w.req.MaxTokens {
			memoryBlocked = true
			continue
		}
		t := p.targets[parts[0].Target]
		c := Candidate{Target: t.info.ID, FreeTokens: free, Position: i, RouteSize: len(w.route.groups), Grouped: true}
		t.estimate(now, &c, float64(w.req.PromptTokens), w.priority, w.shape.Class)
		if !w.meetsDeadline(now, c.PredictedTTFT) {
			continue
		}
		p.candidates = append(p.candidates, c)
		p.placements = append(p.placements, placement{target: t, parts: parts})
	}
	return memoryBlocked
}

func (p *pool) allSchedulable(now time.Time, w *waiter, g *group) bool {
	for _, t := range g.members {
		if !p.schedulable(now, w, t) {
			return false
		}
	}
	return true
}

// schedulable reports whether w may run on the target, apart from memory.
func (p *pool) schedulable(now time.Time, w *waiter, t *targetState) bool {
	if !t.usable(now, p.newestReport, p.cfg.MaxReportLag) || contains(w.req.Exclude, t.info.ID) {
		return false
	}
	return !w.req.Suspect || t.suspects == 0
}

// uncachedTokens returns the prompt tokens that the target has to prefill, without
// those that are probably in its prefix cache.
func (p *pool) uncachedTokens(w *waiter, t *targetState) float64 {
	cached := min(t.prefixIndex.match(w.req.PrefixHashes), w.req.PromptTokens-1)
	return float64(w.req.PromptTokens - max(cached, 0))
}

// meetsDeadline reports whether a request with this time to first token finishes
// before its deadline.
func (w *waiter) meetsDeadline(now time.Time, firstToken time.Duration) bool {
	return !now.Add(firstToken + w.shape.DecodeTime).After(w.req.Deadline)
}

// freeFor returns how many tokens of the target's memory w may reserve. Memory held
// back for claims of this host or its peers is not free to other requests, and a
// part is reserved for short prompts.
func (p *pool) freeFor(now time.Time, w *waiter, t *targetState) int {
	free := p.ledger.Free(now, t.info.ID, w.reservedUntil)
	withheld, needsShortReserve := p.withheld(now, w, t.info.ID)
	reserve := t.unusedShortReserve()
	switch {
	case w.shape.Class == rules.ClassShort && needsShortReserve:
		return free - withheld
	case w.shape.Class == rules.ClassShort:
		return min(free, max(reserve, free-withheld))
	case w.fit.needsShortReserve:
		return free - withheld
	default:
		return free - withheld - reserve
	}
}

// splitAcrossGroup splits w over as few members of the group as possible, in
// proportion to their free memory. It returns nil parts if w does not fit.
func (p *pool) splitAcrossGroup(now time.Time, w *waiter, g *group) ([]engineapi.KVPart, int) {
	return splitProportionally(w.need, g.members, func(t *targetState) int { return max(0, p.freeFor(now, w, t)) })
}

// shapeLocked computes the Shape of a request: its class, its objective and its
// service times on an idle engine.
func (p *pool) shapeLocked(req *Request, objective rules.Objective, rates cost.Rates) Shape {
	return Shape{
		Class:       rules.ClassOf(req.PromptTokens),
		Objective:   objective,
		PrefillTime: rates.PrefillTime(float64(req.PromptTokens)),
		DecodeTime:  rates.DecodeTime(p.calibration.expectedOutputTokens(req.MaxTokens)),
	}
}
