package ledger

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/ticket"
)

// State is how far a ticket's call has come.
type State uint8

// The states of an entry.
const (
	StateAbsent   State = iota
	StateIssued         // no attempt is going on and none ran
	StateClaimed        // an attempt is being prepared; nothing was sent
	StateStarted        // the call may have reached a target
	StateFinished       // the outcome is recorded
	StateVoid           // did not run, and never will
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateIssued:
		return "issued"
	case StateClaimed:
		return "claimed"
	case StateStarted:
		return "started"
	case StateFinished:
		return "finished"
	case StateVoid:
		return "void"
	default:
		return "absent"
	}
}

// BeginResult says what to do with a call.
type BeginResult uint8

// The verdicts of Begin.
const (
	Claimed    BeginResult = iota + 1 // run it
	InProgress                        // another run of it is going on
	Recorded                          // it ended; use the record
)

// entry is the record of one ticket. Its shard's lock guards it.
type entry struct {
	expiry    time.Time
	sum       ticket.Sum
	digest    Digest
	record    *Record
	size      int // accounted bytes
	state     State
	digestSet bool // digest is set
}

func (e *entry) stateOrAbsent() State {
	if e == nil {
		return StateAbsent
	}
	return e.state
}

// shard is a part of the ledger under its own lock.
type shard struct {
	mu           sync.Mutex
	entries      map[uint64]*entry
	expiries     expiryHeap
	now          time.Time // latest time ever used; never goes back
	latestExpiry time.Time // latest expiry of any ticket
	sealed       bool
	frozen       bool
}

func (s *shard) add(key Key, size int) {
	s.entries[key.Seq] = &entry{expiry: key.Expiry, sum: key.Sum, size: size, state: StateIssued}
	heap.Push(&s.expiries, expiryCheck{at: key.Expiry, seq: key.Seq})
	s.latestExpiry = later(s.latestExpiry, key.Expiry)
}

// missingEntryError explains why the ledger has no entry for a genuine key.
func (s *shard) missingEntryError(key Key, now time.Time, retention time.Duration) error {
	if !now.Before(key.Expiry.Add(retention)) {
		return &RecordExpiredError{Expiry: key.Expiry}
	}
	if s.sealed {
		return &ClosedError{}
	}
	return &ExpiredError{Expiry: key.Expiry}
}

// sweep drops entries that are past their time and returns the shard's time.
func (s *shard) sweep(l *Ledger) time.Time {
	if now := l.clk.Now(); now.After(s.now) {
		s.now = now
	}
	for len(s.expiries) > 0 && !s.expiries[0].at.After(s.now) {
		s.expire(l, heap.Pop(&s.expiries).(expiryCheck).seq)
	}
	return s.now
}

// expire drops the entry or schedules its next check.
func (s *shard) expire(l *Ledger, seq uint64) {
	e := s.entries[seq]
	recordExpiry := e.expiry.Add(l.cfg.Retention)
	switch e.state {
	case StateClaimed, StateStarted:
		heap.Push(&s.expiries, expiryCheck{at: later(recordExpiry, s.now.Add(claimRecheckInterval)), seq: seq})
		return
	case StateFinished:
		if s.now.Before(recordExpiry) {
			heap.Push(&s.expiries, expiryCheck{at: recordExpiry, seq: seq})
			return
		}
	}
	delete(s.entries, seq)
	l.usage.release(e.size)
}

// copyEntries copies the entries whose call may have run, and extends the closed
// ledger's life to the last ticket's, whether that is held or not.
func (s *shard) copyEntries(c *Closed) {
	if !s.latestExpiry.IsZero() {
		c.ttl = max(c.ttl, s.latestExpiry.Add(c.retention).Sub(s.now))
	}
	for seq, e := range s.entries {
		if e.mayHaveRun() {
			c.entries[seq] = closedEntry{Expiry: e.expiry, Sum: e.sum, Digest: e.digest, Record: e.recordOrUnknown()}
		}
	}
}

// claimRecheckInterval is when to look again at a claim that outlives its expiry.
const claimRecheckInterval = time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expiryCheck is when to look at an entry.
type expiryCheck struct {
	at  time.Time
	seq uint64
}

// expiryHeap orders entries by time, for container/heap.
type expiryHeap []expiryCheck

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends x, a due.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryCheck)) }

// Pop removes the last element.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// usage counts what all shards hold together.
type usage struct {
	entries    atomic.Int64
	bytes      atomic.Int64
	rejected   atomic.Int64
	mismatches atomic.Int64
	replays    atomic.Int64
}

// reserve reserves one entry of the given size unless a bound would be passed.
func (u *usage) reserve(size int, cfg Config) bool {
	if u.entries.Add(1) > int64(cfg.MaxEntries) {
		u.entries.Add(-1)
		return false
	}
	if u.bytes.Add(int64(size)) > int64(cfg.MaxBytes) {
		u.release(size)
		return false
	}
	return true
}

func (u *usage) release(size int) {
	u.entries.Add(-1)
	u.bytes.Add(-int64(size))
}
