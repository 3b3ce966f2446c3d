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

// defaultTimeLimit applies to requests without a deadline.
const defaultTimeLimit = 10 * time.Minute

// Local is the scheduler of one host. It is event-driven: Offer, Poll, Report and
// the methods of a Grant take the current time as a parameter, so it also runs in
// virtual time; Acquire blocks in real time. It is safe for concurrent use. The
// state of each model has its own lock.
type Local struct {
	cfg Config

	mu           sync.RWMutex
	pools        map[string]*pool // by the model name at the engines
	targets      map[string]*pool // by target id
	routes       map[routeKey]*route
	listed       []topology.Target
	ruleSets     map[string]rules.Set
	members      share.Members
	sharingHosts []string // hosts that count as sharers, as of the last rebuild
	domains      map[string]DomainLoad
}

var _ Scheduler = (*Local)(nil)

// New returns a Local without targets. It needs SetTargets and SetHosts to run
// requests.
func New(cfg Config) *Local {
	cfg = cfg.withDefaults()
	return &Local{
		cfg:      cfg,
		pools:    map[string]*pool{},
		targets:  map[string]*pool{},
		routes:   map[routeKey]*route{},
		ruleSets: map[string]rules.Set{},
		members:  share.Members{MissingHostTTL: cfg.MissingHostTTL},
		domains:  map[string]DomainLoad{},
	}
}

// SetTargets replaces the targets with the engines of the scheduler's failure
// domain in the platform's list.
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

// SetHosts sets the live entry hosts of the failure domain, this one included,
// and those that left gracefully. It must be called on each refresh of the list,
// even without changes, so that missing hosts expire after MissingHostTTL. No
// target is usable until the list contains this host.
func (l *Local) SetHosts(live, left []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	l.members.Set(now, live, left)
	if !slices.Equal(l.members.Counted(now), l.sharingHosts) {
		l.rebuildLocked()
	}
}

// SetRules replaces the rules, one set for each partner.
func (l *Local) SetRules(sets []rules.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ruleSets = map[string]rules.Set{}
	for _, s := range sets {
		l.ruleSets[s.Partner] = s
	}
	for _, p := range l.pools {
		l.setWeightsLocked(p)
	}
	clear(l.routes)
}

func (l *Local) setWeightsLocked(p *pool) {
	p.mu.Lock()
	defer p.unlock()
	for _, s := range l.ruleSets {
		for _, o := range s.Organisations {
			p.queue.SetWeight(s.Partner, o.Name, o.Weight)
		}
	}
}

// rebuildLocked updates the pools to the current targets and hosts and discards
// the routes.
func (l *Local) rebuildLocked() {
	now := l.cfg.Clock.Now()
	l.sharingHosts = l.members.Counted(now)
	hosts := l.sharingHosts
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

// routeOf returns the route for a partner's model, or nil if it has no targets.
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
	r = l.buildRouteLocked(key)
	if r != nil {
		l.routes[key] = r
	}
	return r
}

// buildRouteLocked builds a route from the partner's rule for the model. Without a
// rule, the model's name is the one at the engines.
func (l *Local) buildRouteLocked(key routeKey) *route {
	rule, hasRule := modelRule(l.ruleSets, key.partner, key.model)
	var matching []topology.Target
	for _, t := range l.listed {
		matched := t.Model == key.model
		if hasRule {
			matched = matchesAny(rule.Targets, t.ID)
		}
		if matched && (len(matching) == 0 || t.Model == matching[0].Model) {
			matching = append(matching, t)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	p := l.pools[matching[0].Model]
	p.mu.Lock()
	defer p.unlock()
	r := &route{pool: p, model: matching[0].Model, size: len(matching)}
	for i, t := range matching {
		if s, ok := p.targets[t.ID]; ok && s.sharers > 0 {
			r.add(s, i)
		}
	}
	if len(r.targets) == 0 {
		return nil
	}
	r.buildGroups()
	return r
}

// QueuedRequest is a request admitted by Offer.
type QueuedRequest struct {
	pool   *pool
	waiter *waiter
}

// Cancel removes the request from the queue. It returns false if the request was
// already granted or has expired.
func (r *QueuedRequest) Cancel() bool { return r.pool.cancel(r.waiter) }

// Offer admits a request to the queue or refuses it immediately with an
// *apierror.Error or a *DomainFullError. Unless the request is refused or
// cancelled, deliver is called once, with a grant or with the error of an expired
// request; it may be called before Offer returns.
func (l *Local) Offer(now time.Time, req Request, deliver func(Grant, error)) (*QueuedRequest, error) {
	r := l.routeOf(req.Partner, req.Model)
	if r == nil {
		return nil, l.noRouteError(req)
	}
	if req.Arrival.IsZero() {
		req.Arrival = now
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(defaultTimeLimit)
	}
	req.PromptTokens, req.MaxTokens = max(req.PromptTokens, 1), max(req.MaxTokens, 1)
	w := &waiter{
		req: req, route: r, offeredAt: now, deliver: deliver,
		need: req.PromptTokens + req.MaxTokens, reservedUntil: req.Deadline.Add(l.cfg.Grace),
	}
	w.shape = r.pool.shape(&w.req, l.objective(req.Partner), l.cfg.Estimator.Rates(r.model))
	w.priority = r.pool.policy.Priority(now, &w.req, w.shape)
	if err := r.pool.offer(now, w); err != nil {
		return nil, err
	}
	return &QueuedRequest{pool: r.pool, waiter: w}, nil
}

func (l *Local) noRouteError(req Request) error {
	if l.knownModel(req.Partner, req.Model) {
		err := apierror.NotRun(apierror.KindNoTarget, "come back later",
			"no target of model %s is listed in this failure domain", req.Model)
		return &DomainFullError{Err: err.WithRetryAfter(noTargetRetryAfter)}
	}
	return apierror.NotRun(apierror.KindUnknownModel, "use a model that the partner's rules name",
		"model %s is unknown to partner %s", req.Model, req.Partner)
}

func (l *Local) knownModel(partner, model string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, hasRule := modelRule(l.ruleSets, partner, model)
	_, served := l.pools[model]
	return hasRule || served
}

func (l *Local) objective(partner string) rules.Objective {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.ruleSets[partner].Objective
}

// Poll expires the queued requests that can no longer finish and starts those
// that can run.
func (l *Local) Poll(now time.Time) {
	for _, p := range l.allPools() {
		p.poll(now)
	}
}

// NextPoll returns when Poll should be called next, or false if no request is
// queued.
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

// Report applies a target's load report that was received at now. Reports without
// an incarnation are ignored.
func (l *Local) Report(now time.Time, target string, r engineapi.LoadReport) {
	if r.Incarnation == "" {
		return
	}
	p, ok := l.poolOf(target)
	if !ok {
		return
	}
	rates := l.cfg.Estimator.Observe(target, r)
	p.applyReport(now, target, r, rates)
}

// CacheEvents applies a target's prefix cache events.
func (l *Local) CacheEvents(target string, events engineapi.CacheEvents) {
	if p, ok := l.poolOf(target); ok {
		p.cacheEvents(target, events)
	}
}

// TargetDown records that a target's process is down. The target gets no new work
// until a later report shows that it is running.
func (l *Local) TargetDown(now time.Time, target, incarnation string) {
	if p, ok := l.poolOf(target); ok {
		p.targetDown(now, target, incarnation)
	}
}

// TargetLeaving records that a target announced that it is leaving. This
// incarnation gets no new work; an empty one means the current incarnation.
func (l *Local) TargetLeaving(target, incarnation string) {
	if p, ok := l.poolOf(target); ok {
		p.targetLeaving(target, incarnation)
	}
}

// LearnPeerDispatch adds a peer's dispatch to the predicted backlog of its target.
func (l *Local) LearnPeerDispatch(now time.Time, hint PeerDispatch) {
	if p, ok := l.poolOf(hint.Target); ok {
		p.learnPeerDispatch(now, hint)
	}
}

// Lend handles a peer's request for a loan of engine memory. It returns false if
// nothing is lent.
func (l *Local) Lend(now time.Time, req MemoryLoanRequest) (share.Loan, bool) {
	p, ok := l.poolOf(req.Key)
	if !ok {
		return share.Loan{}, false
	}
	return p.lend(now, req)
}

// AcceptLoan accepts a loan that a peer sent in reply to SendLoanRequest.
func (l *Local) AcceptLoan(now time.Time, loan share.Loan) {
	if p, ok := l.poolOf(loan.Key); ok {
		p.acceptLoan(now, loan)
	}
}

// LoanReturned ends a loan that a peer returned.
func (l *Local) LoanReturned(now time.Time, target string, id share.LoanID) {
	if p, ok := l.poolOf(target); ok {
		p.ledger.LoanReturned(now, target, id)
		p.poll(now)
	}
}
