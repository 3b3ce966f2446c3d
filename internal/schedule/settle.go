package schedule

import (
	"slices"
	"time"
)

// PendingShare is a target whose memory this host may not use in full until Settle
// has passed or all peers have confirmed.
type PendingShare struct {
	Target string
	// Sharers is the number of hosts that share the memory, and Peers the others.
	Sharers int
	Peers   []string
}

// PendingShares lists the targets for which this host waits. Ask each peer whether
// it Keeps to its part and pass its consent to Confirmed.
func (l *Local) PendingShares(now time.Time) []PendingShare {
	var list []PendingShare
	for _, p := range l.allPools() {
		list = append(list, p.unsettled(now)...)
	}
	return list
}

// WithinShare reports whether this host shares the target's memory with at least that
// many hosts and keeps to its part of it, in answer to a peer that is Unsettled.
func (l *Local) WithinShare(now time.Time, target string, sharers int) bool {
	p, ok := l.poolOf(target)
	return ok && p.keeps(now, target, sharers)
}

// PeerConfirmed records that a peer keeps to its part of the target's memory.
func (l *Local) PeerConfirmed(now time.Time, target, peer string, sharers int) {
	if p, ok := l.poolOf(target); ok {
		p.confirm(now, target, peer, sharers)
	}
}

func (p *pool) unsettled(now time.Time) []PendingShare {
	p.mu.Lock()
	defer p.unlock()
	var list []PendingShare
	for id, t := range p.targets {
		if t.sharers > 0 && p.ledger.Waiting(now, id) {
			list = append(list, PendingShare{Target: id, Sharers: t.sharers, Peers: slices.Clone(t.peersOf)})
		}
	}
	return list
}

func (p *pool) keeps(now time.Time, target string, sharers int) bool {
	p.mu.Lock()
	defer p.unlock()
	t, ok := p.targets[target]
	return ok && t.sharers >= sharers && p.ledger.Keeps(now, target)
}

func (p *pool) confirm(now time.Time, target, peer string, sharers int) {
	p.mu.Lock()
	defer p.unlock()
	t, ok := p.targets[target]
	if !ok || t.sharers != sharers || !slices.Contains(t.peersOf, peer) || slices.Contains(t.confirmed, peer) {
		return
	}
	t.confirmed = append(t.confirmed, peer)
	if len(t.confirmed) == len(t.peersOf) {
		p.ledger.Settled(now, target)
		p.dispatch(now)
	}
}
