package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// Parameters of claims and of the loans for them.
const (
	claimDelay          = 200 * time.Millisecond // how long a request must have lacked only memory before it gets a claim
	loanRequestInterval = 100 * time.Millisecond
	peerClaimTTL        = 350 * time.Millisecond // longer than loanRequestInterval, so that repeated requests renew it
	yieldDuration       = 300 * time.Millisecond // pause of loan requests after a request of a peer with precedence
	loanTermFactor      = 2.                     // term of a loan as a multiple of the time it is needed
)

// claim holds back memory that becomes free for one queued request, so that
// smaller requests do not starve it. A pool has at most one claim.
type claim struct {
	waiter              *waiter
	needs               []engineapi.KVPart // tokens by target
	requestedAt         time.Time          // when loans were last requested
	requestsPausedUntil time.Time          // no loans are requested before this time
}

// peerClaim holds back memory that becomes free for a peer's claim.
type peerClaim struct {
	rank              Rank
	tokens            int
	needsShortReserve bool // the claim needs all of the engine's memory
	until             time.Time
}

type loanKey struct {
	target string
	id     share.LoanID
}

// lender is the peer that a loan was requested or received from. The entry may be
// dropped after until: a reply is then no longer accepted, and a received loan is no
// longer needed.
type lender struct {
	host  string
	until time.Time
}

// loanReplyTimeout is how long this host waits for the reply to a loan request.
const loanReplyTimeout = 5 * time.Second

// lenderPruneThreshold is the number of lender entries from which expired ones
// are dropped.
const lenderPruneThreshold = 256

// withheld returns the tokens of a target that are held back for claims other than
// w's, and whether one of these claims needs all of the engine's memory. A peer's
// claim does not count if w holds this pool's claim and has precedence.
func (p *pool) withheld(now time.Time, w *waiter, target string) (tokens int, needsShortReserve bool) {
	if p.claim != nil && p.claim.waiter != w {
		tokens = p.claim.need(target)
		needsShortReserve = tokens > 0 && p.claim.waiter.fit.needsShortReserve
	}
	existing, ok := p.peerClaims[target]
	switch {
	case !ok:
	case now.After(existing.until):
		delete(p.peerClaims, target)
	case p.claim == nil || p.claim.waiter != w || existing.rank.Before(p.rank(w)):
		tokens += existing.tokens
		needsShortReserve = needsShortReserve || existing.needsShortReserve
	}
	return tokens, needsShortReserve
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

// maybeClaim creates a claim for a request that has waited for nothing but memory
// for claimDelay. It replaces a claim of lower priority. Short prompts get no
// claim: memory for them becomes free all the time.
func (p *pool) maybeClaim(now time.Time, w *waiter, memoryBlocked bool) {
	switch {
	case !memoryBlocked:
		w.blockedSince = time.Time{}
		return
	case w.blockedSince.IsZero():
		w.blockedSince = now
	}
	if w.shape.Class == rules.ClassShort || now.Sub(w.blockedSince) < claimDelay {
		return
	}
	if p.claim != nil && p.claim.waiter.priority <= w.priority {
		return
	}
	if needs := p.claimParts(now, w); needs != nil {
		p.endClaim(now)
		p.claim = &claim{waiter: w, needs: needs}
		p.stats.Claims++
	}
}

// claimParts picks the engine or group where w should wait for memory: the one
// with the most free memory.
func (p *pool) claimParts(now time.Time, w *waiter) []engineapi.KVPart {
	if w.fit.grouped {
		return p.claimGroupParts(now, w)
	}
	var best *targetState
	mostFree := -1
	for i, t := range w.route.targets {
		c := w.route.candidate(i)
		if w.need > t.memory || !p.schedulable(now, w, t) || !p.policy.Eligible(w.shape, &c) {
			continue
		}
		if free := p.ledger.Free(now, t.info.ID, w.reservedUntil); free > mostFree {
			best, mostFree = t, free
		}
	}
	if best == nil {
		return nil
	}
	return []engineapi.KVPart{{Target: best.info.ID, Tokens: w.need}}
}

func (p *pool) claimGroupParts(now time.Time, w *waiter) []engineapi.KVPart {
	var best []engineapi.KVPart
	mostFree := -1
	for i := range w.route.groups {
		g := &w.route.groups[i]
		if g.memory() < w.need || !p.allSchedulable(now, w, g) {
			continue
		}
		free := 0
		for _, t := range g.members {
			free += p.ledger.Free(now, t.info.ID, w.reservedUntil)
		}
		if free > mostFree {
			mostFree = free
			best, _ = splitProportionally(w.need, g.members, func(t *targetState) int { return t.memory })
		}
	}
	return best
}

// dropClaim ends the claim of a request that is no longer queued.
func (p *pool) dropClaim(w *waiter) {
	if p.claim != nil && p.claim.waiter == w {
		needs := p.claim.needs
		p.claim = nil
		p.returnIdleLoans(p.cfg.Clock.Now(), needs)
	}
}

// endClaim ends the pool's claim in favour of one with precedence.
func (p *pool) endClaim(now time.Time) {
	if p.claim == nil {
		return
	}
	needs := p.claim.needs
	p.claim = nil
	p.returnIdleLoans(now, needs)
}

// requestLoans requests loans of the missing memory from the other sharers of the
// claimed engines.
func (p *pool) requestLoans(now time.Time) {
	c := p.claim
	if c == nil || p.cfg.SendLoanRequest == nil || now.Before(c.requestsPausedUntil) || now.Sub(c.requestedAt) < loanRequestInterval {
		return
	}
	c.requestedAt = now
	for _, n := range c.needs {
		t, ok := p.targets[n.Target]
		if !ok {
			continue
		}
		missing := n.Tokens - p.freeFor(now, c.waiter, t)
		if missing <= 0 {
			continue
		}
		for _, peer := range t.peers {
			p.sendLoanRequest(now, peer, n.Target, missing)
		}
	}
}

func (p *pool) sendLoanRequest(now time.Time, peer, target string, tokens int) {
	w := p.claim.waiter
	term := scaleDuration(w.reservedUntil.Sub(now), loanTermFactor)
	req, ok := p.ledger.RequestLoan(now, target, tokens, term)
	if !ok {
		return
	}
	p.pruneLenders(now)
	p.lenders[loanKey{target: target, id: req.ID}] = lender{host: peer, until: now.Add(loanReplyTimeout)}
	message := MemoryLoanRequest{LoanRequest: req, Rank: p.rank(w), NeedsShortReserve: w.fit.needsShortReserve}
	p.callbacks = append(p.callbacks, func() { p.cfg.SendLoanRequest(peer, message) })
}

func (p *pool) pruneLenders(now time.Time) {
	if len(p.lenders) < lenderPruneThreshold {
		return
	}
	for key, l := range p.lenders {
		if now.After(l.until) {
			delete(p.lenders, key)
		}
	}
}

// lend handles a peer's loan request. Memory that is not free now is held back for
// the peer as it becomes free, unless another claim has precedence.
func (p *pool) lend(now time.Time, req MemoryLoanRequest) (share.Loan, bool) {
	p.mu.Lock()
	defer p.unlock()
	if p.claim != nil && p.claim.need(req.Key) > 0 {
		if p.rank(p.claim.waiter).Before(req.Rank) {
			return share.Loan{}, false
		}
		p.yieldClaim(now)
	}
	existing, ok := p.peerClaims[req.Key]
	if ok && !now.After(existing.until) && existing.rank.Before(req.Rank) {
		return share.Loan{}, false
	}
	reserve := 0
	if t, known := p.targets[req.Key]; known && !req.NeedsShortReserve {
		reserve = t.unusedShortReserve()
	}
	loan, lent := p.ledger.Lend(now, req.LoanRequest, reserve)
	if missing := int(req.Amount - loan.Amount); missing > 0 {
		p.peerClaims[req.Key] = peerClaim{rank: req.Rank, tokens: missing, needsShortReserve: req.NeedsShortReserve, until: now.Add(peerClaimTTL)}
	}
	return loan, lent
}

// yieldClaim gives precedence to a peer's claim: idle loans are returned and no
// further ones are requested for yieldDuration.
func (p *pool) yieldClaim(now time.Time) {
	p.claim.requestsPausedUntil = now.Add(yieldDuration)
	p.returnIdleLoans(now, p.claim.needs)
}

// acceptLoan accepts a loan and starts the requests that it makes room for. A loan
// that no claim needs any more is returned.
func (p *pool) acceptLoan(now time.Time, loan share.Loan) {
	p.mu.Lock()
	defer p.unlock()
	key := loanKey{target: loan.Key, id: loan.ID}
	if !p.ledger.AcceptLoan(now, loan) {
		delete(p.lenders, key)
		return
	}
	p.stats.Borrowed++
	if entry, ok := p.lenders[key]; ok && p.claim != nil {
		entry.until = p.claim.waiter.reservedUntil
		p.lenders[key] = entry
	}
	if p.claim == nil || p.claim.need(loan.Key) == 0 {
		p.returnIdleLoans(now, []engineapi.KVPart{{Target: loan.Key}})
		return
	}
	p.dispatch(now)
}

// returnIdleLoans returns the loans on the targets that no reservation or claim
// needs any more.
func (p *pool) returnIdleLoans(now time.Time, targets []engineapi.KVPart) {
	if len(p.lenders) == 0 {
		return
	}
	for _, n := range targets {
		if p.claim != nil && p.claim.need(n.Target) > 0 && now.After(p.claim.requestsPausedUntil) {
			continue
		}
		for _, id := range p.ledger.ReturnIdleLoans(now, n.Target) {
			p.sendLoanReturn(n.Target, id)
		}
	}
}

func (p *pool) sendLoanReturn(target string, id share.LoanID) {
	key := loanKey{target: target, id: id}
	entry, ok := p.lenders[key]
	delete(p.lenders, key)
	if !ok || p.cfg.SendLoanReturn == nil {
		return
	}
	p.callbacks = append(p.callbacks, func() { p.cfg.SendLoanReturn(entry.host, target, id) })
}

// splitProportionally splits tokens over as few members as possible, in proportion
// to their capacities. It returns nil parts if the capacities do not suffice, and
// the total capacity of the members it considered.
func splitProportionally(tokens int, members []*targetState, capacity func(*targetState) int) ([]engineapi.KVPart, int) {
	all := make([]engineapi.KVPart, 0, len(members))
	for _, t := range members {
		all = append(all, engineapi.KVPart{Target: t.info.ID, Tokens: capacity(t)})
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
