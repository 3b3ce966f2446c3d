package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the digest of each bucket. Two tables with equal digests agree on
// everything that peers exchange.
func (t *Table) Digest() [Buckets]uint64 {
	var digest [Buckets]uint64
	for i := range t.shards {
		digest[i] = t.bucketDigest(&t.shards[i])
	}
	return digest
}

// RootDigest combines the digests of all buckets into one.
func RootDigest(digest [Buckets]uint64) uint64 {
	var buf [8 * Buckets]byte
	for i, d := range digest {
		binary.BigEndian.PutUint64(buf[8*i:], d)
	}
	return xxhash.Sum64(buf[:])
}

// BucketEvents returns the events that bring a peer up to date on the members in bucket i.
func (t *Table) BucketEvents(i int) []Event {
	s := &t.shards[i]
	s.mu.RLock()
	defer s.mu.RUnlock()
	var events []Event
	for k, m := range s.members {
		if ec := t.evalContext(k.kind); m.isExchanged(ec) {
			events = append(events, m.events(ec)...)
		}
	}
	return events
}

func (t *Table) bucketDigest(s *shard) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dirty {
		return s.digest
	}
	s.digest, s.dirty = 0, false
	for k, m := range s.members {
		ec := t.evalContext(k.kind)
		if !m.isExchanged(ec) {
			continue
		}
		for _, e := range m.events(ec) {
			s.digest ^= e.hash() // XOR makes the digest independent of map order
		}
	}
	return s.digest
}

// hash covers the fields on which all hosts must agree. It leaves out the timestamp of an
// incarnation and the revision of an EventListedLeaving: hosts may have seen another report
// of a target, and another first revision of the list that shows a member as leaving.
func (e Event) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(e.Type), byte(e.Kind), byte(e.State)})
	_, _ = d.WriteString(e.ID)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(e.Incarnation)
	if e.Type == EventRefusal || e.Type == EventRefusalsCleared {
		var timestamp [8]byte
		binary.BigEndian.PutUint64(timestamp[:], uint64(e.Timestamp))
		_, _ = d.Write(timestamp[:])
	}
	return d.Sum64()
}
