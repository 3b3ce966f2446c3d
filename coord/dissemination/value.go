// Package dissemination spreads published values over many hosts. A value has
// a revision that its publisher counts up, and a Store adopts only higher
// ones. Stores that exchange digests converge on the highest revision that any
// of them holds, whatever the order in which messages come, are repeated or
// are lost (anti-entropy: Demers et al., "Epidemic Algorithms for Replicated
// Database Maintenance", PODC 1987).
package dissemination

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Value is one revision of a key. Its body must not be changed.
type Value struct {
	Key      string
	Revision uint64
	Checksum uint64 // of Body, by xxhash
	Body     []byte
}

// NewValue returns a value with its checksum.
func NewValue(key string, revision uint64, body []byte) Value {
	return Value{Key: key, Revision: revision, Checksum: xxhash.Sum64(body), Body: body}
}

// Version returns the value's place in the order of versions.
func (v Value) Version() Version { return Version{Revision: v.Revision, Checksum: v.Checksum} }

// Version orders the values of a key. The zero Version is before all others.
type Version struct {
	Revision uint64
	// Checksum decides between different bodies with the same revision, which
	// a publisher should never give out, so that all hosts choose the same.
	Checksum uint64
}

// Compare returns -1, 0 or 1 if v is before, equal to or after o.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Revision, o.Revision), cmp.Compare(v.Checksum, o.Checksum))
}

// After tells whether v is after o.
func (v Version) After(o Version) bool { return v.Compare(o) > 0 }

// Entry is what a digest says of one key.
type Entry struct {
	Key string
	// Version is the version in force; zero: none.
	Version Version
}

// Digest says which versions a store holds, in the order of the keys.
type Digest []Entry

// Version returns the version of key in the digest; zero: none.
func (d Digest) Version(key string) Version {
	for _, e := range d {
		if e.Key == key {
			return e.Version
		}
	}
	return Version{}
}
