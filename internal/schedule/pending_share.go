package schedule

import (
	"slices"
	"time"
)

// PendingShare is a target of whose memory this host has a pending larger share. It
// takes effect after ShareIncreaseDelay, or earlier when all peers have confirmed.
type PendingShare struct {
	Target string
	// Sharers is the number of hosts that share the memory. Peers are the ids of
	// the other hosts.
	Sharers int
	Peers   []string
}

// PendingShares lists this host's pending shares. The caller queries WithinShare at
// each peer and passes positive replies to PeerConfirmed.
func (l *Local) PendingShares(now time.Time) []PendingShare {
	var list []PendingShare
	for _, p := range l.allPools() {
		list = append(list, p.pendingShares(now)...)
	}
	return list
}

// WithinShare reports whether this host counts at least that many sharers of the
// target's memory, itself included, and uses no more than its own share,
// without loans. It is the reply to a peer that has a PendingShare of the target.
func (l *Local) WithinShare(now time.Time, target string, sharers int) bool {
	p, ok := l.poolOf(target)
	return ok && p.withinShare(now, target, sharers)
}

// PeerConfirmed records that a peer uses no more than its share of the target's
// memory, counted among that many sharers. Once all peers have confirmed, this
// host's full share takes effect.
func (l *Local) PeerConfirmed(now time.Time, target, peer string, sharers int) {
	if p, ok := l.poolOf(target); ok {
		p.peerConfirmed(now, target, peer, sharers)
	}
}

func (p *pool) pendingShares(now time.Time) []PendingShare {
	p.mu.Lock()
	defer p.unlock()
	var list []PendingShare
	for id, t := range p.targets {
		if t.sharers > 0 && p.ledger.SharePending(now, id) {
			list = append(list, PendingShare{Target: id, Sharers: t.sharers, Peers: slices.Clone(t.peers)})
		}
	}
	return list
}

func (p *pool) withinShare(now time.Time, target string, sharers int) bool {
	p.mu.Lock()
	defer p.unlock()
	t, ok := p.targets[target]
	return ok && t.sharers >= sharers && p.ledger.WithinShare(now, target)
}

func (p *pool) peerConfirmed(now time.Time, target, peer string, sharers int) {
	p.mu.Lock()
	defer p.unlock()
	t, ok := p.targets[target]
	if !ok || t.sharers != sharers || !slices.Contains(t.peers, peer) || slices.Contains(t.confirmedPeers, peer) {
		return
	}
	t.confirmedPeers = append(t.confirmedPeers, peer)
	if len(t.confirmedPeers) == len(t.peers) {
		p.ledger.ApplyPendingShare(now, target)
		p.dispatch(now)
	}
}
