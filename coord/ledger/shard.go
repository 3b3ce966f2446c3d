package ledger

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/ticket"
)

// State is the progress of a ticket's call.
type State uint8

// The states of an entry.
const (
	StateAbsent   State = iota
	StateIssued         // no attempt is in progress and none ran
	StateClaimed        // an attempt is being prepared; nothing was sent
	StateStarted        // the call may have reached a target
	StateFinished       // the outcome is recorded
	StateVoid           // the call did not run, and never will
)

// String returns the state's name, which error messages use.
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

// BeginResult tells the caller of Begin how to proceed with a call.
type BeginResult uint8

// The results of Begin.
const (
	Claimed    BeginResult = iota + 1 // the caller holds the claim and runs the call
	InProgress                        // another run of the call is in progress
	Recorded                          // the call ended; return its record
)

// entry is the state of one ticket. Its shard's lock guards it.
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

// shard holds the tickets whose sequence numbers map to it, under its own lock.
type shard struct {
	mu           sync.Mutex
	entries      map[uint64]*entry
	expiries     expiryHeap
	now          time.Time // latest time read from the clock; never goes backwards
	latestExpiry time.Time // latest expiry of any ticket
	sealed       bool
	frozen       bool
}

func (s *shard) add(key Key, size int) {
	s.entries[key.Seq] = &entry{expiry: key.Expiry, sum: key.Sum, size: size, state: StateIssued}
	heap.Push(&s.expiries, expiryCheck{at: key.Expiry, seq: key.Seq})
	s.latestExpiry = later(s.latestExpiry, key.Expiry)
}

// missingEntryError returns the reason why a verified key has no entry.
func (s *shard) missingEntryError(key Key, now time.Time, retention time.Duration) error {
	if !now.Before(key.Expiry.Add(retention)) {
		return &RecordExpiredError{Expiry: key.Expiry}
	}
	if s.sealed {
		return &ClosedError{}
	}
	return &ExpiredError{Expiry: key.Expiry}
}

// sweep drops expired entries and returns the shard's current time.
func (s *shard) sweep(l *Ledger) time.Time {
	if now := l.clk.Now(); now.After(s.now) {
		s.now = now
	}
	for len(s.expiries) > 0 && !s.expiries[0].at.After(s.now) {
		s.expire(l, heap.Pop(&s.expiries).(expiryCheck).seq)
	}
	return s.now
}

// expire drops the entry, or schedules its next check while it has a claim or a
// record within the retention.
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

// copyEntries copies the entries whose call may have run into c, and extends c's
// TTL to cover the latest expiry of any ticket of the shard plus the retention,
// whether or not that ticket still has an entry.
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

// claimRecheckInterval is the time between checks of an entry whose claim is still
// open when its retention is over.
const claimRecheckInterval = time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expiryCheck is the time of an entry's next expiry check.
type expiryCheck struct {
	at  time.Time
	seq uint64
}

// expiryHeap orders the checks by time, for container/heap.
type expiryHeap []expiryCheck

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends x, an expiryCheck.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryCheck)) }

// Pop removes and returns the last element.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// usage holds the counters that all shards share.
type usage struct {
	entries    atomic.Int64
	bytes      atomic.Int64
	rejected   atomic.Int64
	mismatches atomic.Int64
	replays    atomic.Int64
}

// reserve accounts for one entry of the given size in bytes, unless that would
// exceed a limit of cfg.
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
