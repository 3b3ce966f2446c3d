package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the digest of each bucket. Two tables with equal digests agree on
// all that peers exchange.
func (t *Table) Digest() [Buckets]uint64 {
	var digest [Buckets]uint64
	for i := range t.shards {
		digest[i] = t.bucketDigest(&t.shards[i])
	}
	return digest
}

// RootDigest folds the digests of all buckets into one number.
func RootDigest(digest [Buckets]uint64) uint64 {
	var buf [8 * Buckets]byte
	for i, d := range digest {
		binary.BigEndian.PutUint64(buf[8*i:], d)
	}
	return xxhash.Sum64(buf[:])
}

// BucketEvents returns what peers should know of the members in bucket i.
func (t *Table) BucketEvents(i int) []Event {
	s := &t.shards[i]
	s.mu.RLock()
	defer s.mu.RUnlock()
	var events []Event
	for k, m := range s.members {
		if at := t.moment(k.kind); m.exchanged(at) {
			events = append(events, m.events(at)...)
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
		at := t.moment(k.kind)
		if !m.exchanged(at) {
			continue
		}
		for _, e := range m.events(at) {
			s.digest ^= e.hash() // any order gives the same digest
		}
	}
	return s.digest
}

// hash covers what must agree on all hosts: the order numbers of a target's
// incarnation and the first revision of a list mark may differ.
func (e Event) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(e.Type), byte(e.Kind), byte(e.State)})
	_, _ = d.WriteString(e.ID)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(e.Incarnation)
	if e.Type == EventRefused || e.Type == EventSettled {
		var order [8]byte
		binary.BigEndian.PutUint64(order[:], uint64(e.Timestamp))
		_, _ = d.Write(order[:])
	}
	return d.Sum64()
}
