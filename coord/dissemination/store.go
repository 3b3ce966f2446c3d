package dissemination

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Validator tells what is wrong with a value, or nil. It must be a pure
// function of the value, so that every host decides the same.
type Validator func(v Value) error

// Outcome is what became of an offered value.
type Outcome int

// The outcomes of Store.Offer.
const (
	// Adopted: the value is now in force.
	Adopted Outcome = iota
	// Known: the value was in force before.
	Known
	// Older: a higher revision is in force.
	Older
	// Invalid: the value is kept out, and its version remembered.
	Invalid
	// Corrupt: the body does not fit the checksum; it is not remembered.
	Corrupt
	// UnknownKey: the store does not hold such values.
	UnknownKey
)

var outcomeNames = []string{"adopted", "known", "older", "invalid", "corrupt", "unknown key"}

// String returns the outcome in words.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// Result is what Store.Offer did.
type Result struct {
	Outcome Outcome
	// Previous is the version in force before; zero: none.
	Previous Version
	// Conflict: another body with the same revision was seen.
	Conflict bool
	// KnownInvalid: the invalid value was known to be invalid.
	KnownInvalid bool
	// Err is why the value is invalid.
	Err error
}

// Stats counts what a Store was offered.
type Stats struct {
	Adopted   uint64 `json:"adopted"`
	Known     uint64 `json:"known"`
	Older     uint64 `json:"older"`
	Invalid   uint64 `json:"invalid"`
	Corrupt   uint64 `json:"corrupt"`
	Conflicts uint64 `json:"conflicts"`
}

// Store holds the last good value of each key. It is safe for concurrent use;
// each key has its own lock.
type Store struct {
	keys    []string // sorted
	records map[string]*record

	adopted, known, older, invalid, corrupt, conflicts atomic.Uint64
}

// historyLength is how many values of a key a store keeps after they were in force.
const historyLength = 3

// record is what a store knows of one key.
type record struct {
	validate Validator
	mu       sync.Mutex
	good     Value
	history  []Value // in force before, the newest last
	bad      Version // the highest invalid version
	badErr   error
}

// NewStore returns an empty store for the keys of validators.
func NewStore(validators map[string]Validator) *Store {
	s := &Store{records: make(map[string]*record, len(validators))}
	for key, validate := range validators {
		s.keys = append(s.keys, key)
		s.records[key] = &record{validate: validate}
	}
	slices.Sort(s.keys)
	return s
}

// Keys returns the keys that the store holds, sorted.
func (s *Store) Keys() []string { return slices.Clone(s.keys) }

// Offer adopts v if it is valid and after the value in force.
func (s *Store) Offer(v Value) Result {
	r, ok := s.records[v.Key]
	if !ok {
		return Result{Outcome: UnknownKey}
	}
	if xxhash.Sum64(v.Body) != v.Checksum {
		s.corrupt.Add(1)
		return Result{Outcome: Corrupt}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.offer(v)
	s.count(result)
	return result
}

func (r *record) offer(v Value) Result {
	version := v.Version()
	result := Result{Previous: r.good.Version(), Conflict: r.conflicts(version)}
	switch {
	case version == r.good.Version():
		result.Outcome = Known
		return result
	case !version.After(r.good.Version()):
		result.Outcome = Older
		return result
	case version == r.bad:
		result.Outcome, result.KnownInvalid, result.Err = Invalid, true, r.badErr
		return result
	}
	if err := r.validate(v); err != nil {
		if version.After(r.bad) {
			r.bad, r.badErr = version, err
		}
		result.Outcome, result.Err = Invalid, err
		return result
	}
	r.remember(r.good)
	r.good = v
	result.Outcome = Adopted
	return result
}

func (r *record) remember(v Value) {
	if v.Revision == 0 {
		return
	}
	r.history = append(r.history, v)
	if len(r.history) > historyLength {
		r.history = slices.Delete(r.history, 0, 1)
	}
}

// conflicts tells whether another body with the same revision was seen.
func (r *record) conflicts(v Version) bool {
	return (v.Revision == r.good.Revision && v.Checksum != r.good.Checksum && r.good.Revision > 0) ||
		(v.Revision == r.bad.Revision && v.Checksum != r.bad.Checksum && r.bad.Revision > 0)
}

func (s *Store) count(r Result) {
	if r.Conflict {
		s.conflicts.Add(1)
	}
	switch r.Outcome {
	case Adopted:
		s.adopted.Add(1)
	case Known:
		s.known.Add(1)
	case Older:
		s.older.Add(1)
	case Invalid:
		s.invalid.Add(1)
	}
}

// Get returns the value in force.
func (s *Store) Get(key string) (Value, bool) {
	r, ok := s.records[key]
	if !ok {
		return Value{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.good, r.good.Revision > 0
}

// GetVersion returns the value of key with the given version, if it is in force or
// was so lately. Two hosts that have it need to send each other only what changed.
func (s *Store) GetVersion(key string, version Version) (Value, bool) {
	r, ok := s.records[key]
	if !ok || version == (Version{}) {
		return Value{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.good.Version() == version {
		return r.good, true
	}
	for _, v := range r.history {
		if v.Version() == version {
			return v, true
		}
	}
	return Value{}, false
}

// HighestSeen returns the highest revision of key that was judged, good or bad.
func (s *Store) HighestSeen(key string) uint64 {
	r, ok := s.records[key]
	if !ok {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.good.Revision, r.bad.Revision)
}

// LatestInvalid returns the highest invalid version of key and why it is invalid; nil:
// there is none after the value in force.
func (s *Store) LatestInvalid(key string) (Version, error) {
	r, ok := s.records[key]
	if !ok {
		return Version{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.bad.After(r.good.Version()) {
		return Version{}, nil
	}
	return r.bad, r.badErr
}

// Digest returns the versions in force.
func (s *Store) Digest() Digest {
	d := make(Digest, 0, len(s.keys))
	for _, key := range s.keys {
		v, _ := s.Get(key)
		d = append(d, Entry{Key: key, Version: v.Version()})
	}
	return d
}

// Ahead returns the values in force that are after those of a peer's digest,
// which is what the peer lacks.
func (s *Store) Ahead(peer Digest) []Value {
	var ahead []Value
	for _, key := range s.keys {
		if v, ok := s.Get(key); ok && v.Version().After(peer.Version(key)) {
			ahead = append(ahead, v)
		}
	}
	return ahead
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	return Stats{
		Adopted:   s.adopted.Load(),
		Known:     s.known.Load(),
		Older:     s.older.Load(),
		Invalid:   s.invalid.Load(),
		Corrupt:   s.corrupt.Load(),
		Conflicts: s.conflicts.Load(),
	}
}
