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

// lookahead is how many requests of one organisation may be passed over in a
// walk of the queue.
const lookahead = 4

// pool decides for all targets of one model. Its lock guards everything below
// it; callbacks run after it is released.
type pool struct {
	cfg    *Config
	ledger *memory.Ledger
	policy Policy

	mu      sync.Mutex
	targets map[string]*targetState
	queue   *fairqueue.Queue[*waiter]
	queued  map[rules.Class]float64 // tokens in the queue
	newest  time.Time               // newest report of any target
	seq     uint64
	learned learned
	claim   *claim
	pledges map[string]pledge // by target
	lenders map[loanKey]lender
	stats   Stats
	armed   bool // a timer will poll

	candidates []Candidate
	places     []place
	after      []func()
}

// place is where a candidate would run.
type place struct {
	target *targetState       // the engine that computes the prompt and the answer
	parts  []engineapi.KVPart // memory to reserve; nil: all of it at the target
}

// waiter is one offered request.
type waiter struct {
	req       Request
	shape     Shape
	priority  int64
	need      int // tokens of memory
	fit       fit
	until     time.Time
	offered   time.Time
	predicted time.Duration // until the first token, as first predicted
	route     *route
	item      fairqueue.Item[*waiter]
	deliver   func(Grant, error)
	blocked   time.Time // since when only memory is missing
}

func newPool(cfg *Config) *pool {
	split := share.Config{Self: cfg.Incarnation, Settle: cfg.Settle}
	return &pool{
		cfg: cfg, ledger: memory.NewLedger(split), policy: cfg.NewPolicy(),
		targets: map[string]*targetState{},
		queue:   fairqueue.New[*waiter](cfg.Queues),
		queued:  map[rules.Class]float64{},
		learned: newLearned(),
		pledges: map[string]pledge{},
		lenders: map[loanKey]lender{},
		stats:   Stats{Refused: map[apierror.Kind]uint64{}},
	}
}

// unlock releases the lock and runs the callbacks that gathered under it.
func (p *pool) unlock() {
	after := p.after
	p.after = nil
	p.mu.Unlock()
	for _, fn := range after {
		fn()
	}
}

// offer admits a request to the queue or refuses it at once.
func (p *pool) offer(now time.Time, w *waiter) error {
	p.mu.Lock()
	defer p.unlock()
	p.stats.Offered++
	if err := p.admit(now, w); err != nil {
		p.stats.Refused[apierror.From(err).Kind]++
		return err
	}
	if !p.enqueue(w) {
		err := p.queueFull(w)
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
		Cost: float64(w.need), Rank: w.priority, Expires: w.giveUpAt(), Value: w,
	}
	if !p.queue.Push(&w.item) {
		return false
	}
	p.queued[w.shape.Class] += float64(w.req.PromptTokens)
	return true
}

// left accounts for a request that is no longer queued.
func (p *pool) left(w *waiter) {
	p.queued[w.shape.Class] -= float64(w.req.PromptTokens)
	p.dropClaim(w)
}

// giveUpAt is when the request could not finish any more on an idle engine.
func (w *waiter) giveUpAt() time.Time {
	return w.req.Deadline.Add(-w.shape.Prefill - w.shape.Decode)
}

// cancel takes a queued request out and reports whether it was queued.
func (p *pool) cancel(w *waiter) bool {
	p.mu.Lock()
	defer p.unlock()
	if !p.queue.Remove(&w.item) {
		return false
	}
	p.left(w)
	p.stats.Cancelled++
	return true
}

// poll gives up what cannot finish any more and starts what can.
func (p *pool) poll(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	p.dispatch(now)
}

func (p *pool) dispatch(now time.Time) {
	p.expire(now)
	if p.queue.Len() == 0 {
		return
	}
	var seen misses
	p.startClaimed(now, &seen)
	for {
		it := p.queue.Offer(lookahead, func(it *fairqueue.Item[*waiter]) bool { return p.start(now, it.Value, &seen) })
		if it == nil {
			break
		}
		p.left(it.Value)
	}
	p.pursueClaim(now)
}

// startClaimed tries the request that claims memory first: many requests of its
// organisation may be queued before it.
func (p *pool) startClaimed(now time.Time, seen *misses) {
	if p.claim == nil {
		return
	}
	w := p.claim.waiter
	if p.start(now, w, seen) && p.queue.Take(&w.item) {
		p.left(w)
	}
}

func (p *pool) expire(now time.Time) {
	for _, it := range p.queue.Expire(now) {
		w := it.Value
		p.left(w)
		err := p.givenUp(now, w)
		p.stats.Refused[apierror.From(err).Kind]++
		p.after = append(p.after, func() { w.deliver(nil, err) })
	}
}

// nextPoll is when the pool should be polled next; false when nothing waits.
func (p *pool) nextPoll(now time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.queue.NextExpiry()
	if !ok {
		return time.Time{}, false
	}
	if soon := now.Add(p.cfg.PollEvery); soon.Before(at) {
		at = soon
	}
	return at, true
}

// misses remembers which requests of a walk found no target, so that larger
// and later ones of the same kind are not tried in vain.
type misses struct {
	list []miss
}

type miss struct {
	route    *route
	class    rules.Class
	priority int64
	need     int
}

func (m *misses) covers(w *waiter) bool {
	for i := range m.list {
		x := &m.list[i]
		if x.route == w.route && x.class == w.shape.Class && w.priority >= x.priority && w.need >= x.need {
			return true
		}
	}
	return false
}

func (m *misses) add(w *waiter) {
	if len(w.req.Exclude) == 0 && !w.req.Alone {
		m.list = append(m.list, miss{route: w.route, class: w.shape.Class, priority: w.priority, need: w.need})
	}
}

// start runs the request now if the policy finds a target for it.
func (p *pool) start(now time.Time, w *waiter, seen *misses) bool {
	if seen.covers(w) {
		return false
	}
	lacking := p.gather(now, w)
	if len(p.candidates) > 0 {
		if i := p.policy.Choose(now, &w.req, w.shape, p.candidates); i >= 0 && p.grant(now, w, i) {
			return true
		}
	}
	p.considerClaim(now, w, lacking)
	seen.add(w)
	return false
}

// gather fills the candidates that have the memory for w and would finish it in
// time. It reports whether any target lacked only the memory.
func (p *pool) gather(now time.Time, w *waiter) (lacking bool) {
	p.candidates, p.places = p.candidates[:0], p.places[:0]
	if w.fit.parted {
		return p.gatherGroups(now, w)
	}
	for i, t := range w.route.targets {
		if !p.enterable(now, w, t) {
			continue
		}
		p.candidates = append(p.candidates, w.route.candidate(i))
		c := &p.candidates[len(p.candidates)-1]
		c.Free = p.free(now, w, t)
		if c.Free < w.need {
			lacking = lacking || (w.need <= t.memory && p.policy.Enters(w.shape, c))
			p.dropLast()
			continue
		}
		t.estimate(now, c, p.prefillLeft(w, t), w.priority, w.shape.Class)
		if !w.inTime(now, c.FirstToken) {
			p.dropLast()
			continue
		}
		p.places = append(p.places, place{target: t})
	}
	return lacking
}

// dropLast takes back the candidate that was added last.
func (p *pool) dropLast() { p.candidates = p.candidates[:len(p.candidates)-1] }

func (p *pool) gatherGroups(now time.Time, w *waiter) (lacking bool) {
	for i := range w.route.groups {
		g := &w.route.groups[i]
		if g.memory() < w.need || !p.allEnterable(now, w, g) {
			continue
		}
		parts, free := p.split(now, w, g)
		if parts == nil || parts[0].Tokens <= w.req.MaxTokens {
			lacking = true
			continue
		}
		t := p.targets[parts[0].Target]
		c := Candidate{Target: t.info.ID, Free: free, Position: i, Count: len(w.route.groups), Grouped: true}
		t.estimate(now, &c, float64(w.req.PromptTokens), w.priority, w.shape.Class)
		if !w.inTime(now, c.FirstToken) {
			continue
		}
		p.candidates = append(p.candidates, c)
		p.places = append(p.places, place{target: t, parts: parts})
	}
	return lacking
}

func (p *pool) allEnterable(now time.Time, w *waiter, g *group) bool {
	for _, t := range g.members {
		if !p.enterable(now, w, t) {
			return false
		}
	}
	return true
}

// enterable reports whether w may go to the target, memory aside.
func (p *pool) enterable(now time.Time, w *waiter, t *targetState) bool {
	if !t.usable(now, p.newest, p.cfg.SilentAfter) || contains(w.req.Exclude, t.info.ID) {
		return false
	}
	return !w.req.Alone || t.suspects == 0
}

// prefillLeft is the prompt's tokens less what the target probably has cached.
func (p *pool) prefillLeft(w *waiter, t *targetState) float64 {
	cached := min(t.prefixes.match(w.req.Prefixes), w.req.PromptTokens-1)
	return float64(w.req.PromptTokens - max(cached, 0))
}

// inTime reports whether a request with this wait for its first token ends
// within its time limit.
func (w *waiter) inTime(now time.Time, firstToken time.Duration) bool {
	return !now.Add(firstToken + w.shape.Decode).After(w.req.Deadline)
}

// free is how much of the target's memory w may take. What a claim or a pledge
// waits for is not free to others, and a part is kept for short prompts.
func (p *pool) free(now time.Time, w *waiter, t *targetState) int {
	free := p.ledger.Free(now, t.info.ID, w.until)
	withheld, tight := p.withheld(now, w, t.info.ID)
	kept := t.keptForShort()
	switch {
	case w.shape.Class == rules.ClassShort && tight:
		return free - withheld
	case w.shape.Class == rules.ClassShort:
		return min(free, max(kept, free-withheld))
	case w.fit.tight:
		return free - withheld
	default:
		return free - withheld - kept
	}
}

// split spreads w over as few members of the group as possible, in
// proportion to their free memory. It returns nil when it does not fit.
func (p *pool) split(now time.Time, w *waiter, g *group) ([]engineapi.KVPart, int) {
	return spread(w.need, g.members, func(t *targetState) int { return max(0, p.free(now, w, t)) })
}

// shapeOf works out the class, the objective and the ideal times of a request.
func (p *pool) shapeOf(req *Request, objective rules.Objective, rates cost.Rates) Shape {
	return Shape{
		Class:     rules.ClassOf(req.PromptTokens),
		Objective: objective,
		Prefill:   rates.PrefillTime(float64(req.PromptTokens)),
		Decode:    rates.DecodeTime(p.learned.answerTokens(req.MaxTokens)),
	}
}
