package dissemination

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Validator returns an error that says why a value is invalid, or nil if it is
// valid. It must be a pure function of the value, so that all hosts decide the same.
type Validator func(v Value) error

// Outcome is the result of offering a value to a Store.
type Outcome int

// The outcomes of Store.Offer.
const (
	// Adopted: the value is now the current one.
	Adopted Outcome = iota
	// Known: the value was the current one already.
	Known
	// Older: the current value has a higher version.
	Older
	// Invalid: validation failed. The value was rejected and its version recorded.
	Invalid
	// Corrupt: the body does not match the checksum. The version is not recorded.
	Corrupt
	// UnknownKey: the store was not created with this key.
	UnknownKey
)

var outcomeNames = []string{"adopted", "known", "older", "invalid", "corrupt", "unknown key"}

// String returns the name of the outcome in lower case.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// Result describes what Store.Offer did.
type Result struct {
	Outcome Outcome
	// Previous is the version of the current value before the call; zero if there was none.
	Previous Version
	// Conflict reports that another body with the same revision was seen.
	Conflict bool
	// KnownInvalid reports that the value is invalid and was rejected before.
	KnownInvalid bool
	// Err is the validation error of an invalid value.
	Err error
}

// Stats counts the values offered to a Store by outcome, and the conflicts.
type Stats struct {
	Adopted   uint64 `json:"adopted"`
	Known     uint64 `json:"known"`
	Older     uint64 `json:"older"`
	Invalid   uint64 `json:"invalid"`
	Corrupt   uint64 `json:"corrupt"`
	Conflicts uint64 `json:"conflicts"`
}

// Store holds the latest valid value of each key as the current one. It is safe
// for concurrent use; each key has its own lock.
type Store struct {
	keys    []string // sorted
	records map[string]*record

	adopted, known, older, invalid, corrupt, conflicts atomic.Uint64
}

// maxHistory is how many superseded values of a key a store keeps.
const maxHistory = 3

// record is the state of one key.
type record struct {
	validate      Validator
	mu            sync.Mutex
	current       Value
	history       []Value // superseded values, newest last
	latestInvalid Version // highest version that failed validation
	invalidErr    error
}

// NewStore returns an empty store for the keys of validators. It validates the values of
// a key with the key's validator.
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

// Offer makes v the current value if v is valid and has a higher version than the current one.
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
	result := Result{Previous: r.current.Version(), Conflict: r.conflicts(version)}
	switch {
	case version == r.current.Version():
		result.Outcome = Known
		return result
	case !version.After(r.current.Version()):
		result.Outcome = Older
		return result
	case version == r.latestInvalid:
		result.Outcome, result.KnownInvalid, result.Err = Invalid, true, r.invalidErr
		return result
	}
	if err := r.validate(v); err != nil {
		if version.After(r.latestInvalid) {
			r.latestInvalid, r.invalidErr = version, err
		}
		result.Outcome, result.Err = Invalid, err
		return result
	}
	r.addToHistory(r.current)
	r.current = v
	result.Outcome = Adopted
	return result
}

func (r *record) addToHistory(v Value) {
	if v.Revision == 0 {
		return
	}
	r.history = append(r.history, v)
	if len(r.history) > maxHistory {
		r.history = slices.Delete(r.history, 0, 1)
	}
}

// conflicts reports whether the current value or the highest invalid one has the same
// revision but another body.
func (r *record) conflicts(v Version) bool {
	return (v.Revision == r.current.Revision && v.Checksum != r.current.Checksum && r.current.Revision > 0) ||
		(v.Revision == r.latestInvalid.Revision && v.Checksum != r.latestInvalid.Checksum && r.latestInvalid.Revision > 0)
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

// Get returns the current value of key, if there is one.
func (s *Store) Get(key string) (Value, bool) {
	r, ok := s.records[key]
	if !ok {
		return Value{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, r.current.Revision > 0
}

// GetVersion returns the value of key with the given version, if it is the current one or
// in the history. Hosts that share a version need to send each other only the changes to it.
func (s *Store) GetVersion(key string, version Version) (Value, bool) {
	r, ok := s.records[key]
	if !ok || version == (Version{}) {
		return Value{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Version() == version {
		return r.current, true
	}
	for _, v := range r.history {
		if v.Version() == version {
			return v, true
		}
	}
	return Value{}, false
}

// HighestSeen returns the highest revision of key that was validated, valid or not.
func (s *Store) HighestSeen(key string) uint64 {
	r, ok := s.records[key]
	if !ok {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.current.Revision, r.latestInvalid.Revision)
}

// LatestInvalid returns the highest invalid version of key and its validation error. If
// no invalid version is higher than the current one, it returns a zero version and no error.
func (s *Store) LatestInvalid(key string) (Version, error) {
	r, ok := s.records[key]
	if !ok {
		return Version{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.latestInvalid.After(r.current.Version()) {
		return Version{}, nil
	}
	return r.latestInvalid, r.invalidErr
}

// Digest returns the versions of the current values.
func (s *Store) Digest() Digest {
	d := make(Digest, 0, len(s.keys))
	for _, key := range s.keys {
		v, _ := s.Get(key)
		d = append(d, Entry{Key: key, Version: v.Version()})
	}
	return d
}

// NewerThan returns the current values with a higher version than in a peer's digest,
// which are those that the peer is missing.
func (s *Store) NewerThan(peer Digest) []Value {
	var newer []Value
	for _, key := range s.keys {
		if v, ok := s.Get(key); ok && v.Version().After(peer.Version(key)) {
			newer = append(newer, v)
		}
	}
	return newer
}

// Stats returns a copy of the counters.
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
