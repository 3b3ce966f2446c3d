package schedule

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// defaultTimeLimit holds for requests without a deadline.
const defaultTimeLimit = 10 * time.Minute

// Local is one host's scheduler. It is event-driven: Offer, Poll, Report and a
// Grant's methods decide at the times given to them, so it runs in virtual time
// as well; Acquire blocks in real time. It is safe for concurrent use: the
// state of each model has its own lock.
type Local struct {
	cfg Config

	mu      sync.RWMutex
	pools   map[string]*pool // by the model that engines serve
	targets map[string]*pool // by target id
	routes  map[routeKey]*route
	listed  []topology.Target
	sets    map[string]rules.Set
	members share.Members
	counted []string // hosts that count, as of the last rebuild
	domains map[string]DomainLoad
}

var _ Scheduler = (*Local)(nil)

// New returns a Local without targets.
func New(cfg Config) *Local {
	cfg = cfg.withDefaults()
	return &Local{
		cfg:     cfg,
		pools:   map[string]*pool{},
		targets: map[string]*pool{},
		routes:  map[routeKey]*route{},
		sets:    map[string]rules.Set{},
		members: share.Members{Retire: cfg.MissingHostTTL},
		domains: map[string]DomainLoad{},
	}
}

// SetTargets takes the platform's list of targets.
func (l *Local) SetTargets(targets []topology.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = l.listed[:0]
	for _, t := range targets {
		if t.Kind == topology.KindEngine && (l.cfg.Domain == "" || t.Domain == l.cfg.Domain) {
			l.listed = append(l.listed, t)
		}
	}
	slices.SortFunc(l.listed, func(a, b topology.Target) int {
		return cmp.Compare(a.ID, b.ID)
	})
	l.rebuildLocked()
}

// SetHosts takes the live entry hosts of the failure domain, this one
// included, and those that left gracefully. Call it with each refresh of the
// list, also when nothing changed, so that vanished hosts retire. Until it names this
// host, no target takes work.
func (l *Local) SetHosts(live, left []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	l.members.Set(now, live, left)
	if !slices.Equal(l.members.Counted(now), l.counted) {
		l.rebuildLocked()
	}
}

// SetRules takes the rules in force, one set for each partner.
func (l *Local) SetRules(sets []rules.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sets = map[string]rules.Set{}
	for _, s := range sets {
		l.sets[s.Partner] = s
	}
	for _, p := range l.pools {
		l.setWeightsLocked(p)
	}
	clear(l.routes)
}

func (l *Local) setWeightsLocked(p *pool) {
	p.mu.Lock()
	defer p.unlock()
	for _, s := range l.sets {
		for _, o := range s.Organisations {
			p.queue.SetWeight(s.Partner, o.Name, o.Weight)
		}
	}
}

// rebuildLocked brings the pools in line with the targets and hosts.
func (l *Local) rebuildLocked() {
	now := l.cfg.Clock.Now()
	l.counted = l.members.Counted(now)
	hosts := l.counted
	byModel := map[string][]topology.Target{}
	for _, t := range l.listed {
		byModel[t.Model] = append(byModel[t.Model], t)
	}
	for model := range byModel {
		if _, ok := l.pools[model]; !ok {
			l.pools[model] = newPool(&l.cfg)
			l.setWeightsLocked(l.pools[model])
		}
	}
	clear(l.targets)
	for model, p := range l.pools {
		p.setTargets(now, byModel[model], hosts)
		for _, t := range byModel[model] {
			l.targets[t.ID] = p
		}
	}
	clear(l.routes)
}

// routeOf returns the targets for a partner's model; nil when it has none.
func (l *Local) routeOf(partner, model string) *route {
	key := routeKey{partner: partner, model: model}
	l.mu.RLock()
	r, ok := l.routes[key]
	l.mu.RUnlock()
	if ok {
		return r
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r = l.findRouteLocked(key)
	if r != nil {
		l.routes[key] = r
	}
	return r
}

// findRouteLocked applies the partner's rule for the model. Without a rule the
// model's name is the one that the engines serve.
func (l *Local) findRouteLocked(key routeKey) *route {
	rule, ruled := modelRule(l.sets, key.partner, key.model)
	var chosen []topology.Target
	for _, t := range l.listed {
		matched := t.Model == key.model
		if ruled {
			matched = matches(rule.Targets, t.ID)
		}
		if matched && (len(chosen) == 0 || t.Model == chosen[0].Model) {
			chosen = append(chosen, t)
		}
	}
	if len(chosen) == 0 {
		return nil
	}
	p := l.pools[chosen[0].Model]
	p.mu.Lock()
	defer p.unlock()
	r := &route{pool: p, model: chosen[0].Model, count: len(chosen)}
	for i, t := range chosen {
		if s, ok := p.targets[t.ID]; ok && s.sharers > 0 {
			r.add(s, i)
		}
	}
	if len(r.targets) == 0 {
		return nil
	}
	r.findGroups()
	return r
}

// Waiting is a request that was offered.
type Waiting struct {
	pool   *pool
	waiter *waiter
}

// Cancel takes the request out of the queue. It reports false when the request
// was already granted or given up.
func (w *Waiting) Cancel() bool { return w.pool.cancel(w.waiter) }

// Offer admits a request to the queue or refuses it at once with an
// *apierror.Error or a *DomainFullError. deliver is called once, with a grant or
// with the error of a request that was given up; it may be called before Offer returns.
func (l *Local) Offer(now time.Time, req Request, deliver func(Grant, error)) (*Waiting, error) {
	r := l.routeOf(req.Partner, req.Model)
	if r == nil {
		return nil, l.noRoute(req)
	}
	if req.Arrival.IsZero() {
		req.Arrival = now
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(defaultTimeLimit)
	}
	req.PromptTokens, req.MaxTokens = max(req.PromptTokens, 1), max(req.MaxTokens, 1)
	w := &waiter{
		req: req, route: r, offered: now, deliver: deliver,
		need: req.PromptTokens + req.MaxTokens, until: req.Deadline.Add(l.cfg.Grace),
	}
	w.shape = r.pool.shape(&w.req, l.objective(req.Partner), l.cfg.Estimator.Rates(r.model))
	w.priority = r.pool.policy.Priority(now, &w.req, w.shape)
	if err := r.pool.offer(now, w); err != nil {
		return nil, err
	}
	return &Waiting{pool: r.pool, waiter: w}, nil
}

func (l *Local) noRoute(req Request) error {
	if l.knownModel(req.Partner, req.Model) {
		err := apierror.NotRun(apierror.KindNoTarget, "come back later",
			"no target of model %s is listed in this failure domain", req.Model)
		return &DomainFullError{Err: err.After(noTargetRetry)}
	}
	return apierror.NotRun(apierror.KindUnknownModel, "use a model that the partner's rules name",
		"model %s is unknown to partner %s", req.Model, req.Partner)
}

func (l *Local) knownModel(partner, model string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ruled := modelRule(l.sets, partner, model)
	_, served := l.pools[model]
	return ruled || served
}

func (l *Local) objective(partner string) rules.Objective {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.sets[partner].Objective
}

// Poll gives up what cannot finish any more and starts what can.
func (l *Local) Poll(now time.Time) {
	for _, p := range l.allPools() {
		p.poll(now)
	}
}

// NextPoll is when Poll should be called next; false when nothing waits.
func (l *Local) NextPoll(now time.Time) (time.Time, bool) {
	var next time.Time
	found := false
	for _, p := range l.allPools() {
		if at, ok := p.nextPoll(now); ok && (!found || at.Before(next)) {
			next, found = at, true
		}
	}
	return next, found
}

func (l *Local) allPools() []*pool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	pools := make([]*pool, 0, len(l.pools))
	for _, p := range l.pools {
		pools = append(pools, p)
	}
	return pools
}

func (l *Local) poolOf(target string) (*pool, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	p, ok := l.targets[target]
	return p, ok
}

// Report takes a target's load report that was received at now.
func (l *Local) Report(now time.Time, target string, r engineapi.LoadReport) {
	if r.Incarnation == "" {
		return
	}
	p, ok := l.poolOf(target)
	if !ok {
		return
	}
	rates := l.cfg.Estimator.Observe(target, r)
	p.report(now, target, r, rates)
}

// CacheEvents takes a target's cache events.
func (l *Local) CacheEvents(target string, events engineapi.CacheEvents) {
	if p, ok := l.poolOf(target); ok {
		p.cacheEvents(target, events)
	}
}

// TargetDown records that a target's process was seen dead. It gets no work
// until a later report shows that it lives.
func (l *Local) TargetDown(now time.Time, target, incarnation string) {
	if p, ok := l.poolOf(target); ok {
		p.targetDown(now, target, incarnation)
	}
}

// TargetLeaving records that a target said it is leaving. It gets no work as
// long as it is the same incarnation; an empty one means the present one.
func (l *Local) TargetLeaving(target, incarnation string) {
	if p, ok := l.poolOf(target); ok {
		p.targetLeaving(target, incarnation)
	}
}

// LearnPeerDispatch takes a peer's hint that it sent a request to a target.
func (l *Local) LearnPeerDispatch(now time.Time, hint PeerDispatch) {
	if p, ok := l.poolOf(hint.Target); ok {
		p.learnPeerDispatch(now, hint)
	}
}

// Lend answers a peer's request for a loan of engine memory.
func (l *Local) Lend(now time.Time, ask MemoryLoanRequest) (share.Loan, bool) {
	p, ok := l.poolOf(ask.Key)
	if !ok {
		return share.Loan{}, false
	}
	return p.lend(now, ask)
}

// AcceptLoan takes a loan that a peer sent after SendAsk.
func (l *Local) AcceptLoan(now time.Time, loan share.Loan) {
	if p, ok := l.poolOf(loan.Key); ok {
		p.accept(now, loan)
	}
}

// LoanReturned takes back a loan that a peer gave up.
func (l *Local) LoanReturned(now time.Time, target string, id share.LoanID) {
	if p, ok := l.poolOf(target); ok {
		p.ledger.Returned(now, target, id)
		p.poll(now)
	}
}
