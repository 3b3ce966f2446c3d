package dissemination

import (
	"slices"
	"sync"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// Readers returns up to count hosts that read from the publisher on behalf of
// their group, in order of preference. Hosts with the same list of members get
// the same result.
func Readers(group string, members []string, count int) []string {
	return rendezvous.Top("readers/"+group, members, count)
}

// Update is a value that a peer is missing.
type Update struct {
	Value Value
	// Base is the value of the same key that the peer has, if the store still
	// has it in its history; otherwise its revision is zero.
	Base Value
}

// PeerTracker tracks which versions each peer has, so that a value is sent over
// each link once. The tracked versions may be wrong: then a value is sent twice,
// or is delayed until the next exchange of digests. It is safe for concurrent use.
type PeerTracker struct {
	store    *Store
	mu       sync.Mutex
	digests  map[string]Digest
	rotation int
}

// NewPeerTracker returns a tracker for the peers that receive the values of store.
func NewPeerTracker(store *Store) *PeerTracker {
	return &PeerTracker{store: store, digests: make(map[string]Digest)}
}

// RecordDigest records the digest that a peer sent. Keys that are not in the store are ignored.
func (p *PeerTracker) RecordDigest(peer string, digest Digest) {
	known := make(Digest, 0, len(p.store.keys))
	for _, key := range p.store.keys {
		known = append(known, Entry{Key: key, Version: digest.Version(key)})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digests[peer] = known
}

// RecordSent records that updates were sent to a peer. The next digest of the peer
// shows whether they arrived.
func (p *PeerTracker) RecordSent(peer string, updates []Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	digest := p.digests[peer]
	for _, u := range updates {
		for i := range digest {
			if digest[i].Key == u.Value.Key {
				digest[i].Version = u.Value.Version()
			}
		}
	}
}

// PendingUpdates returns the current values that a peer is missing, according to the
// tracked versions. It returns none for a peer that has not sent a digest yet: the caller
// has to request the digest first.
func (p *PeerTracker) PendingUpdates(peer string) []Update {
	p.mu.Lock()
	digest := slices.Clone(p.digests[peer])
	p.mu.Unlock()
	if len(digest) == 0 {
		return nil
	}
	var updates []Update
	for _, v := range p.store.NewerThan(digest) {
		base, _ := p.store.GetVersion(v.Key, digest.Version(v.Key))
		updates = append(updates, Update{Value: v, Base: base})
	}
	return updates
}

// RetainOnly stops tracking all peers except those given.
func (p *PeerTracker) RetainOnly(peers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer := range p.digests {
		if !slices.Contains(peers, peer) {
			delete(p.digests, peer)
		}
	}
}

// NextPeer returns one of peers per call, in round-robin order, or "" if there are none.
func (p *PeerTracker) NextPeer(peers []string) string {
	if len(peers) == 0 {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotation++
	return peers[p.rotation%len(peers)]
}
