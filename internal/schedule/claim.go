package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// Parameters of claims.
const (
	claimAfter  = 200 * time.Millisecond // of waiting for memory alone
	askEvery    = 100 * time.Millisecond
	pledgeTime  = 350 * time.Millisecond // longer than askEvery, so that repeated asks keep it
	yieldTime   = 300 * time.Millisecond // without asks, once a peer's claim has precedence
	loanAllower = 2.                     // term of a loan over the time it is needed for
)

// claim keeps memory that becomes free for one waiting request, so that
// smaller ones do not take it for ever. A pool has at most one.
type claim struct {
	waiter  *waiter
	needs   []engineapi.KVPart // by target
	askedAt time.Time
	quiet   time.Time // no asks before
}

// pledge keeps memory that becomes free for a peer's claim.
type pledge struct {
	rank   Rank
	tokens int
	tight  bool // the claim needs all of the engine's memory
	until  time.Time
}

type loanKey struct {
	target string
	id     share.LoanID
}

// lender is whom a loan was asked of; after until no answer counts any more.
type lender struct {
	host  string
	until time.Time
}

// lenderAnswers is how long an ask may still be answered.
const lenderAnswers = 5 * time.Second

// maxLenders is the number of entries from which on old ones are dropped.
const maxLenders = 256

// withheld is the memory of a target that is kept for others than w, and
// whether they need all of the engine's memory.
func (p *pool) withheld(now time.Time, w *waiter, target string) (kept int, tight bool) {
	if p.claim != nil && p.claim.waiter != w {
		kept = p.claim.need(target)
		tight = kept > 0 && p.claim.waiter.fit.tight
	}
	pl, ok := p.pledges[target]
	switch {
	case !ok:
	case now.After(pl.until):
		delete(p.pledges, target)
	case p.claim == nil || p.claim.waiter != w || pl.rank.Before(p.rank(w)):
		kept += pl.tokens
		tight = tight || pl.tight
	}
	return kept, tight
}

func (c *claim) need(target string) int {
	for _, n := range c.needs {
		if n.Target == target {
			return n.Tokens
		}
	}
	return 0
}

func (p *pool) rank(w *waiter) Rank {
	return Rank{Priority: w.priority, Host: p.cfg.Incarnation}
}

// considerClaim makes a claim for a request that has waited for memory alone.
// Short prompts make none: memory for them comes free all the time.
func (p *pool) considerClaim(now time.Time, w *waiter, lacking bool) {
	switch {
	case !lacking:
		w.blocked = time.Time{}
		return
	case w.blocked.IsZero():
		w.blocked = now
	}
	if w.shape.Class == rules.ClassShort || now.Sub(w.blocked) < claimAfter {
		return
	}
	if p.claim != nil && p.claim.waiter.priority <= w.priority {
		return
	}
	if needs := p.claimable(now, w); needs != nil {
		p.endClaim(now)
		p.claim = &claim{waiter: w, needs: needs}
		p.stats.Claims++
	}
}

// claimable picks where w should wait for memory: the engine, or the group,
// on which most is free.
func (p *pool) claimable(now time.Time, w *waiter) []engineapi.KVPart {
	if w.fit.parted {
		return p.claimableGroup(now, w)
	}
	var best *targetState
	most := -1
	for i, t := range w.route.targets {
		c := w.route.candidate(i)
		if w.need > t.memory || !p.enterable(now, w, t) || !p.policy.Enters(w.shape, &c) {
			continue
		}
		if free := p.ledger.Free(now, t.info.ID, w.until); free > most {
			best, most = t, free
		}
	}
	if best == nil {
		return nil
	}
	return []engineapi.KVPart{{Target: best.info.ID, Tokens: w.need}}
}

func (p *pool) claimableGroup(now time.Time, w *waiter) []engineapi.KVPart {
	var best []engineapi.KVPart
	most := -1
	for i := range w.route.groups {
		g := &w.route.groups[i]
		if g.memory() < w.need || !p.allEnterable(now, w, g) {
			continue
		}
		free := 0
		for _, t := range g.members {
			free += p.ledger.Free(now, t.info.ID, w.until)
		}
		if free > most {
			most = free
			best, _ = spread(w.need, g.members, func(t *targetState) int { return t.memory })
		}
	}
	return best
}

// dropClaim ends the claim of a request that is no longer queued.
func (p *pool) dropClaim(w *waiter) {
	if p.claim != nil && p.claim.waiter == w {
		needs := p.claim.needs
		p.claim = nil
		p.returnLoans(p.cfg.Clock.Now(), needs)
	}
}

// endClaim makes room for a claim with precedence.
func (p *pool) endClaim(now time.Time) {
	if p.claim == nil {
		return
	}
	needs := p.claim.needs
	p.claim = nil
	p.returnLoans(now, needs)
}

// pursueClaim asks the other sharers of the claimed engines for what is missing.
func (p *pool) pursueClaim(now time.Time) {
	c := p.claim
	if c == nil || p.cfg.SendAsk == nil || now.Before(c.quiet) || now.Sub(c.askedAt) < askEvery {
		return
	}
	c.askedAt = now
	for _, n := range c.needs {
		t, ok := p.targets[n.Target]
		if !ok {
			continue
		}
		missing := n.Tokens - p.free(now, c.waiter, t)
		if missing <= 0 {
			continue
		}
		for _, peer := range t.peersOf {
			p.sendAsk(now, peer, n.Target, missing)
		}
	}
}

func (p *pool) sendAsk(now time.Time, peer, target string, tokens int) {
	w := p.claim.waiter
	term := stretched(w.until.Sub(now), loanAllower)
	ask, ok := p.ledger.Ask(now, target, tokens, term)
	if !ok {
		return
	}
	p.pruneLenders(now)
	p.lenders[loanKey{target: target, id: ask.ID}] = lender{host: peer, until: now.Add(lenderAnswers)}
	message := MemoryAsk{Ask: ask, Rank: p.rank(w), Tight: w.fit.tight}
	p.after = append(p.after, func() { p.cfg.SendAsk(peer, message) })
}

func (p *pool) pruneLenders(now time.Time) {
	if len(p.lenders) < maxLenders {
		return
	}
	for key, l := range p.lenders {
		if now.After(l.until) {
			delete(p.lenders, key)
		}
	}
}

// lend answers a peer's ask. Memory that is not free now is kept for the peer
// as it comes free, unless this host's own claim has precedence.
func (p *pool) lend(now time.Time, ask MemoryAsk) (share.Loan, bool) {
	p.mu.Lock()
	defer p.unlock()
	if p.claim != nil && p.claim.need(ask.Key) > 0 {
		if p.rank(p.claim.waiter).Before(ask.Rank) {
			return share.Loan{}, false
		}
		p.yield(now)
	}
	pl, ok := p.pledges[ask.Key]
	if ok && !now.After(pl.until) && pl.rank.Before(ask.Rank) {
		return share.Loan{}, false
	}
	kept := 0
	if t, known := p.targets[ask.Key]; known && !ask.Tight {
		kept = t.keptForShort()
	}
	loan, lent := p.ledger.Lend(now, ask.Ask, kept)
	if missing := int(ask.Amount - loan.Amount); missing > 0 {
		p.pledges[ask.Key] = pledge{rank: ask.Rank, tokens: missing, tight: ask.Tight, until: now.Add(pledgeTime)}
	}
	return loan, lent
}

// yield lets a peer's claim go first: loans go back and no more are asked for.
func (p *pool) yield(now time.Time) {
	p.claim.quiet = now.Add(yieldTime)
	p.returnLoans(now, p.claim.needs)
}

// accept takes a loan and starts what it makes possible.
func (p *pool) accept(now time.Time, loan share.Loan) {
	p.mu.Lock()
	defer p.unlock()
	key := loanKey{target: loan.Key, id: loan.ID}
	if !p.ledger.Accept(now, loan) {
		delete(p.lenders, key)
		return
	}
	p.stats.Borrowed++
	if asked, ok := p.lenders[key]; ok && p.claim != nil {
		asked.until = p.claim.waiter.until
		p.lenders[key] = asked
	}
	if p.claim == nil || p.claim.need(loan.Key) == 0 {
		p.returnLoans(now, []engineapi.KVPart{{Target: loan.Key}})
		return
	}
	p.dispatch(now)
}

// returnLoans gives up the loans on the targets that nothing needs any more.
func (p *pool) returnLoans(now time.Time, targets []engineapi.KVPart) {
	if len(p.lenders) == 0 {
		return
	}
	for _, n := range targets {
		if p.claim != nil && p.claim.need(n.Target) > 0 && now.After(p.claim.quiet) {
			continue
		}
		for _, id := range p.ledger.GiveBack(now, n.Target) {
			p.sendReturn(n.Target, id)
		}
	}
}

func (p *pool) sendReturn(target string, id share.LoanID) {
	key := loanKey{target: target, id: id}
	asked, ok := p.lenders[key]
	delete(p.lenders, key)
	if !ok || p.cfg.SendReturn == nil {
		return
	}
	p.after = append(p.after, func() { p.cfg.SendReturn(asked.host, target, id) })
}

// spread divides tokens over as few members as possible, in proportion to
// what room says each has. It returns nil when they have too little.
func spread(tokens int, members []*targetState, room func(*targetState) int) ([]engineapi.KVPart, int) {
	all := make([]engineapi.KVPart, 0, len(members))
	for _, t := range members {
		all = append(all, engineapi.KVPart{Target: t.info.ID, Tokens: room(t)})
	}
	slices.SortStableFunc(all, func(a, b engineapi.KVPart) int { return cmp.Compare(b.Tokens, a.Tokens) })
	have, used := 0, 0
	for used < len(all) && have < tokens {
		have += all[used].Tokens
		used++
	}
	if have < tokens {
		return nil, have
	}
	parts := all[:used]
	rest := tokens
	for i := range parts {
		take := min(rest, (parts[i].Tokens*tokens+have-1)/have)
		parts[i].Tokens = take
		rest -= take
	}
	return parts, have
}
