// Package ledger records the state of one process's tickets in bounded memory.
//
// An entry, with space for the largest response that is recorded, is reserved
// when a ticket is issued. A full ledger therefore rejects new tickets and never
// evicts an old one early. A ticket whose call ran is kept until its expiry plus
// the retention. One whose call did not run, void or not, is dropped at its
// expiry, when the call can no longer start. So the absence of an entry before
// expiry plus retention proves that the call never ran.
//
// A frozen ledger starts no more calls. Its content is a Closed ledger, which any
// number of other processes may hold and serve lookups from.
package ledger

import (
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/outcome"
)

// Sizes that count towards Config.MaxBytes, in bytes.
const (
	// EntryOverheadBytes is accounted for each entry in addition to its response.
	EntryOverheadBytes = 384
	fieldOverheadBytes = 32
)

// Config holds the limits of a ledger.
type Config struct {
	MaxEntries       int
	MaxBytes         int           // over all entries, with space reserved for responses
	MaxResponseBytes int           // header and body of one recorded response
	Retention        time.Duration // how long after its expiry a ticket whose call ran is kept
	Shards           int
}

// DefaultConfig returns the limits for the ledger of one entry host.
func DefaultConfig() Config {
	return Config{
		MaxEntries:       50_000,
		MaxBytes:         32 << 20,
		MaxResponseBytes: 16 << 10,
		Retention:        10 * time.Minute,
		Shards:           32,
	}
}

// Ledger records the state of the tickets that one process issued. It is safe for concurrent use.
type Ledger struct {
	owner      identity.Incarnation
	clk        clock.Clock
	cfg        Config
	shards     []shard
	usage      usage
	claims     atomic.Int64
	sealed     atomic.Bool
	idle       chan struct{}
	idleClosed atomic.Bool
}

// Stats holds a ledger's current usage and its counters.
type Stats struct {
	Entries              int64
	Bytes                int64
	ActiveClaims         int64 // calls between Begin and Finish, Void or Release
	RejectedReservations int64 // reservations rejected for lack of capacity
	Mismatches           int64
	Replays              int64 // calls answered from the record
}

// New returns an empty ledger of owner's tickets. The clock should not go
// backwards (see clock.Steady) and must be the one that the tickets expire on.
func New(owner identity.Incarnation, clk clock.Clock, cfg Config) *Ledger {
	l := &Ledger{
		owner:  owner,
		clk:    clk,
		cfg:    cfg,
		shards: make([]shard, max(1, cfg.Shards)),
		idle:   make(chan struct{}),
	}
	for i := range l.shards {
		l.shards[i].entries = make(map[uint64]*entry)
	}
	return l
}

// Owner returns the process whose tickets the ledger records.
func (l *Ledger) Owner() identity.Incarnation { return l.owner }

// Reserve reserves an entry for a new ticket. It fails with *FullError, or with
// *ClosedError after Seal; the ticket must then not be given to the caller.
func (l *Ledger) Reserve(key Key) error {
	if l.sealed.Load() {
		return &ClosedError{}
	}
	size := EntryOverheadBytes + l.cfg.MaxResponseBytes
	if !l.usage.reserve(size, l.cfg) {
		l.Sweep()
		if !l.usage.reserve(size, l.cfg) {
			l.usage.rejected.Add(1)
			return &FullError{Entries: l.cfg.MaxEntries, Bytes: l.cfg.MaxBytes}
		}
	}
	s := l.shard(key.Seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(l)
	s.add(key, size)
	return nil
}

// Begin claims the ticket for one run of the call with the given digest. With
// Claimed the caller must end the claim by Finish, Void or Release. With Recorded
// the record is returned. Begin fails with *MismatchError, *VoidError,
// *ExpiredError, *RecordExpiredError or *ClosedError. The key's ticket must have
// been verified.
func (l *Ledger) Begin(key Key, digest Digest) (BeginResult, Record, error) {
	s := l.shard(key.Seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.sweep(l)
	e, ok := s.entries[key.Seq]
	if !ok {
		return 0, Record{}, s.missingEntryError(key, now, l.cfg.Retention)
	}
	if e.digestSet && e.digest != digest {
		l.usage.mismatches.Add(1)
		return 0, Record{}, &MismatchError{}
	}
	switch e.state {
	case StateClaimed, StateStarted:
		return InProgress, Record{}, nil
	case StateVoid:
		return 0, Record{}, &VoidError{}
	case StateFinished:
		l.usage.replays.Add(1)
		return Recorded, *e.record, nil
	default:
		if s.sealed {
			return 0, Record{}, &ClosedError{}
		}
		if !now.Before(e.expiry) {
			return 0, Record{}, &ExpiredError{Expiry: e.expiry}
		}
		e.digestSet, e.digest = true, digest
		e.state = StateClaimed
		l.claims.Add(1)
		return Claimed, Record{}, nil
	}
}

// MarkStarted records that the claimed call may reach a target from now on. It
// must be called before the first byte is sent. When it fails with a
// *StateError, because the ledger was frozen in the meantime, nothing may be sent.
func (l *Ledger) MarkStarted(seq uint64) error {
	s := l.shard(seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[seq]
	if !ok || s.frozen || !e.claimed() {
		return &StateError{Seq: seq, Have: e.stateOrAbsent(), Want: StateClaimed}
	}
	e.state = StateStarted
	return nil
}

// MarkNotStarted reverts MarkStarted: no attempt has run so far. The claim is
// kept, so that another attempt may be made.
func (l *Ledger) MarkNotStarted(seq uint64) error {
	s := l.shard(seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[seq]
	if !ok || !e.claimed() {
		return &StateError{Seq: seq, Have: e.stateOrAbsent(), Want: StateStarted}
	}
	e.state = StateClaimed
	return nil
}

// Release ends a claim whose call is known not to have run. The ticket may be
// used again for the same call.
func (l *Ledger) Release(seq uint64) error {
	return l.endClaim(seq, func(e *entry) { e.state = StateIssued })
}

// Void ends a claim whose call is known not to have run, and invalidates the
// ticket. This is required before the call is reported to the caller as not run, if
// an earlier copy of it may still be in transit to this process.
func (l *Ledger) Void(seq uint64) error {
	return l.endClaim(seq, func(e *entry) {
		l.resize(e, EntryOverheadBytes)
		e.state = StateVoid
	})
}

// Finish ends a claim and records the outcome of the call. A response above the
// ledger's limit is recorded without header and body (see Record). Reserved space
// that the response does not need is released.
func (l *Ledger) Finish(seq uint64, r Record) error {
	kept := r.withinLimit(l.cfg.MaxResponseBytes)
	return l.endClaim(seq, func(e *entry) {
		l.resize(e, EntryOverheadBytes+kept.responseBytes())
		e.record = &kept
		e.state = StateFinished
	})
}

// resize changes the accounted size of an entry to size bytes.
func (l *Ledger) resize(e *entry, size int) {
	l.usage.bytes.Add(int64(size - e.size))
	e.size = size
}

// endClaim applies the transition that ends a claim, and signals idle if it was
// the last claim of a sealed ledger.
func (l *Ledger) endClaim(seq uint64, apply func(*entry)) error {
	s := l.shard(seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[seq]
	if !ok || !e.claimed() {
		return &StateError{Seq: seq, Have: e.stateOrAbsent(), Want: StateStarted}
	}
	apply(e)
	if l.claims.Add(-1) == 0 && l.sealed.Load() {
		l.signalIdle()
	}
	return nil
}

// Sweep drops the expired entries of all shards.
func (l *Ledger) Sweep() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.sweep(l)
		s.mu.Unlock()
	}
}

// Stats returns the current usage and counters.
func (l *Ledger) Stats() Stats {
	return Stats{
		Entries:              l.usage.entries.Load(),
		Bytes:                l.usage.bytes.Load(),
		ActiveClaims:         l.claims.Load(),
		RejectedReservations: l.usage.rejected.Load(),
		Mismatches:           l.usage.mismatches.Load(),
		Replays:              l.usage.replays.Load(),
	}
}

// Seal makes the ledger reject new reservations and new claims. Existing claims
// may continue. The returned channel is closed when no claim is left.
func (l *Ledger) Seal() <-chan struct{} {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.sealed = true
		s.mu.Unlock()
	}
	l.sealed.Store(true)
	if l.claims.Load() == 0 {
		l.signalIdle()
	}
	return l.idle
}

// Freeze seals the ledger and returns its content. Claims that are not marked as
// started can no longer start, so their calls did not run; those that started and
// did not finish have an unknown outcome in the result.
func (l *Ledger) Freeze() *Closed {
	l.Seal()
	c := &Closed{owner: l.owner, retention: l.cfg.Retention, entries: make(map[uint64]closedEntry)}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.frozen = true
		if now := s.sweep(l); now.After(c.frozenAt) {
			c.frozenAt = now
		}
		s.copyEntries(c)
		s.mu.Unlock()
	}
	c.size = c.accountedBytes()
	return c
}

func (l *Ledger) signalIdle() {
	if l.idleClosed.CompareAndSwap(false, true) {
		close(l.idle)
	}
}

func (l *Ledger) shard(seq uint64) *shard {
	return &l.shards[seq%uint64(len(l.shards))]
}

// claimed reports whether a run of the entry's call is in progress.
func (e *entry) claimed() bool { return e.state == StateClaimed || e.state == StateStarted }

// mayHaveRun reports whether the entry's call may have reached a target, or has
// a recorded outcome.
func (e *entry) mayHaveRun() bool { return e.state == StateStarted || e.state == StateFinished }

// recordOrUnknown returns the record that a closed ledger holds for an entry whose
// call may have run.
func (e *entry) recordOrUnknown() Record {
	if e.record != nil {
		return *e.record
	}
	return Record{Outcome: outcome.Unknown}
}
