package dissemination

import (
	"slices"
	"sync"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// Readers returns the hosts that read from the publisher on behalf of their
// group, up to count, the first first. Hosts that know the same members
// choose the same.
func Readers(group string, members []string, count int) []string {
	return rendezvous.Top("readers/"+group, members, count)
}

// Update is a value that a peer lacks.
type Update struct {
	Value Value
	// Base is the value of the same key that the peer has, if it was in force
	// here lately; its revision is zero otherwise.
	Base Value
}

// PeerTracker remembers which versions each peer has, so that a value goes over each
// link once. What it believes of a peer may be wrong: then a value is sent
// twice, or is late until the next exchange of digests. It is safe for
// concurrent use.
type PeerTracker struct {
	store *Store
	mu    sync.Mutex
	known map[string]Digest
	turn  int
}

// NewPeerTracker returns the memory of the peers that values of store go to.
func NewPeerTracker(store *Store) *PeerTracker {
	return &PeerTracker{store: store, known: make(map[string]Digest)}
}

// RecordDigest notes the digest of a peer, as far as it is about keys of the store.
func (p *PeerTracker) RecordDigest(peer string, digest Digest) {
	known := make(Digest, 0, len(p.store.keys))
	for _, key := range p.store.keys {
		known = append(known, Entry{Key: key, Version: digest.Version(key)})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known[peer] = known
}

// RecordSent notes that values were sent to a peer. The next digest of the peer
// tells whether they arrived.
func (p *PeerTracker) RecordSent(peer string, updates []Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	digest := p.known[peer]
	for _, u := range updates {
		for i := range digest {
			if digest[i].Key == u.Value.Key {
				digest[i].Version = u.Value.Version()
			}
		}
	}
}

// PendingUpdates returns the values in force that a peer lacks, as far as is known. A
// peer that was never heard from lacks none: it must be asked for its digest first.
func (p *PeerTracker) PendingUpdates(peer string) []Update {
	p.mu.Lock()
	digest := slices.Clone(p.known[peer])
	p.mu.Unlock()
	if len(digest) == 0 {
		return nil
	}
	var updates []Update
	for _, v := range p.store.Ahead(digest) {
		base, _ := p.store.GetVersion(v.Key, digest.Version(v.Key))
		updates = append(updates, Update{Value: v, Base: base})
	}
	return updates
}

// RetainOnly forgets all peers but those given.
func (p *PeerTracker) RetainOnly(peers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer := range p.known {
		if !slices.Contains(peers, peer) {
			delete(p.known, peer)
		}
	}
}

// NextPeer returns the peers in turn, one a call, or "" if there are none.
func (p *PeerTracker) NextPeer(peers []string) string {
	if len(peers) == 0 {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	return peers[p.turn%len(peers)]
}
