package schedule

import (
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// setTargets updates the pool's targets to the list and their sharers to the hosts.
func (p *pool) setTargets(now time.Time, listed []topology.Target, hosts []string) {
	p.mu.Lock()
	defer p.unlock()
	present := map[string]bool{}
	for _, info := range listed {
		present[info.ID] = true
		t := p.getOrCreateTarget(now, info)
		t.info = info
		sharers := sharersOf(info, hosts, len(listed), p.cfg.SubsetSize)
		t.setSharers(sharers, p.cfg.Self)
		p.ledger.SetTarget(now, info.ID, t.memory, t.sharers)
		if t.sharers == 1 {
			p.ledger.ApplyPendingShare(now, info.ID) // no peers to wait for
		}
	}
	for id, t := range p.targets {
		if !present[id] {
			p.retire(now, id, t)
		}
	}
	p.dispatch(now)
}

func (p *pool) getOrCreateTarget(now time.Time, info topology.Target) *targetState {
	t, ok := p.targets[info.ID]
	if !ok {
		t = &targetState{memory: defaultMemoryTokens}
		t.rates = p.cfg.Estimator.Rates(info.Model)
		t.backlog = backlog{rate: t.rates.Prefill, updatedAt: now}
		p.targets[info.ID] = t
	}
	if info.MemoryTokens > 0 {
		t.memory = info.MemoryTokens
	}
	return t
}

// retire removes a target that is no longer listed once its requests have ended.
func (p *pool) retire(now time.Time, id string, t *targetState) {
	t.info.State = topology.StateLeaving
	p.ledger.SetTarget(now, id, t.memory, 0)
	if t.running > 0 || !p.ledger.RemoveTarget(id) {
		return
	}
	delete(p.targets, id)
	p.cfg.Estimator.RemoveTarget(id)
}

// setSharers sets the hosts that share the target's memory and resets their
// confirmations. Without self among them, the target is not usable.
func (t *targetState) setSharers(hosts []string, self string) {
	t.sharers = 0
	t.peers, t.confirmedPeers = nil, nil
	if !slices.Contains(hosts, self) {
		return
	}
	t.sharers = len(hosts)
	for _, h := range hosts {
		if h != self {
			t.peers = append(t.peers, h)
		}
	}
}

func (p *pool) applyReport(now time.Time, target string, r engineapi.LoadReport, rates cost.Rates) {
	p.mu.Lock()
	defer p.unlock()
	t, ok := p.targets[target]
	if !ok {
		return
	}
	memory := t.memory
	if !t.applyReport(now, r, rates) {
		return
	}
	p.newestReport = now
	if t.memory != memory {
		p.ledger.SetTarget(now, target, t.memory, t.sharers)
	}
	p.dispatch(now)
}

func (p *pool) cacheEvents(target string, events engineapi.CacheEvents) {
	p.mu.Lock()
	defer p.unlock()
	if t, ok := p.targets[target]; ok {
		t.prefixIndex.apply(events)
	}
}

// targetDown marks the target as down, unless the notice is about another
// incarnation than the current one.
func (p *pool) targetDown(now time.Time, target, incarnation string) {
	p.mu.Lock()
	defer p.unlock()
	t, ok := p.targets[target]
	if !ok || (incarnation != "" && t.incarnation != "" && incarnation != t.incarnation) {
		return
	}
	t.down, t.downAt = true, now
	t.backlog.clear()
	t.prefixIndex.clear()
}

func (p *pool) targetLeaving(target, incarnation string) {
	p.mu.Lock()
	defer p.unlock()
	t, ok := p.targets[target]
	if !ok {
		return
	}
	if incarnation == "" {
		incarnation = t.incarnation
	}
	if t.incarnation == "" || incarnation == t.incarnation {
		t.leaving, t.leavingIncarnation = true, incarnation
	}
}

// learnPeerDispatch adds a peer's dispatch to the backlog, unless the newest report
// of the target already covers it.
func (p *pool) learnPeerDispatch(now time.Time, hint PeerDispatch) {
	p.mu.Lock()
	defer p.unlock()
	t, ok := p.targets[hint.Target]
	if !ok || hint.PrefillTokens <= 0 || !hint.DispatchedAt.After(t.observedAt) {
		return
	}
	at := hint.DispatchedAt
	if at.After(now) {
		at = now
	}
	tokens := float64(hint.PrefillTokens)
	t.backlog.add(now, prefillWork{
		id: hint.ID, priority: hint.Priority, dispatchedAt: at, tokens: tokens, remaining: tokens,
		class: rules.ClassOf(hint.PrefillTokens),
	})
}

// shape computes a request's Shape under the pool's lock.
func (p *pool) shape(req *Request, objective rules.Objective, rates cost.Rates) Shape {
	p.mu.Lock()
	defer p.unlock()
	return p.shapeLocked(req, objective, rates)
}
