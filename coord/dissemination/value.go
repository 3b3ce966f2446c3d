// Package dissemination replicates published values to many hosts. The
// publisher increments the revision of a value, and a Store adopts only higher
// revisions. Stores that exchange digests converge on the highest revision that
// any of them holds, even if messages are reordered, duplicated or lost
// (anti-entropy: Demers et al., "Epidemic Algorithms for Replicated Database
// Maintenance", PODC 1987).
package dissemination

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Value is one revision of the value of a key. Body must not be modified.
type Value struct {
	Key      string
	Revision uint64
	Checksum uint64 // xxhash of Body
	Body     []byte
}

// NewValue returns a value and computes its checksum.
func NewValue(key string, revision uint64, body []byte) Value {
	return Value{Key: key, Revision: revision, Checksum: xxhash.Sum64(body), Body: body}
}

// Version returns the revision and checksum, by which the values of a key are ordered.
func (v Value) Version() Version { return Version{Revision: v.Revision, Checksum: v.Checksum} }

// Version orders the values of a key. The zero Version is lower than all others.
type Version struct {
	Revision uint64
	// Checksum breaks the tie between different bodies with the same revision, so
	// that all hosts choose the same one. A publisher should never publish these.
	Checksum uint64
}

// Compare returns -1, 0 or 1 if v is lower than, equal to or higher than o.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Revision, o.Revision), cmp.Compare(v.Checksum, o.Checksum))
}

// After reports whether v is higher than o.
func (v Version) After(o Version) bool { return v.Compare(o) > 0 }

// Entry is the part of a digest for one key.
type Entry struct {
	Key string
	// Version is the version of the current value; zero if there is none.
	Version Version
}

// Digest lists the version of each value in a store, sorted by key.
type Digest []Entry

// Version returns the version of key in the digest, or zero if there is none.
func (d Digest) Version(key string) Version {
	for _, e := range d {
		if e.Key == key {
			return e.Version
		}
	}
	return Version{}
}
