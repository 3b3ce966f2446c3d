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

// Verdict says what to do with a call.
type Verdict uint8

// The verdicts of Begin.
const (
	First      Verdict = iota + 1 // run it
	InProgress                    // another run of it is going on
	Recorded                      // it ended; use the record
)

// entry is the record of one ticket. Its shard's lock guards it.
type entry struct {
	expiry time.Time
	sum    ticket.Sum
	digest Digest
	record *Record
	size   int // accounted bytes
	state  State
	bound  bool // digest is set
}

func (e *entry) stateOrAbsent() State {
	if e == nil {
		return StateAbsent
	}
	return e.state
}

// shard is a part of the ledger under its own lock.
type shard struct {
	mu      sync.Mutex
	entries map[uint64]*entry
	due     dueHeap
	now     time.Time // latest time ever used; never goes back
	last    time.Time // latest expiry of any ticket
	sealed  bool
	frozen  bool
}

func (s *shard) add(key Key, size int) {
	s.entries[key.Seq] = &entry{expiry: key.Expiry, sum: key.Sum, size: size, state: StateIssued}
	heap.Push(&s.due, due{at: key.Expiry, seq: key.Seq})
	s.last = later(s.last, key.Expiry)
}

// absent explains why the ledger has no entry for a genuine key.
func (s *shard) absent(key Key, now time.Time, retention time.Duration) error {
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
	for len(s.due) > 0 && !s.due[0].at.After(s.now) {
		s.expire(l, heap.Pop(&s.due).(due).seq)
	}
	return s.now
}

// expire drops the entry or schedules its next check.
func (s *shard) expire(l *Ledger, seq uint64) {
	e := s.entries[seq]
	forget := e.expiry.Add(l.cfg.Retention)
	switch e.state {
	case StateClaimed, StateStarted:
		heap.Push(&s.due, due{at: later(forget, s.now.Add(recheckInterval)), seq: seq})
		return
	case StateFinished:
		if s.now.Before(forget) {
			heap.Push(&s.due, due{at: forget, seq: seq})
			return
		}
	}
	delete(s.entries, seq)
	l.usage.give(e.size)
}

// copyRan copies the entries whose call may have run, and extends the closed
// ledger's life to the last ticket's, whether that is held or not.
func (s *shard) copyRan(c *Closed) {
	if !s.last.IsZero() {
		c.life = max(c.life, s.last.Add(c.retention).Sub(s.now))
	}
	for seq, e := range s.entries {
		if e.ran() {
			c.entries[seq] = closedEntry{Expiry: e.expiry, Sum: e.sum, Digest: e.digest, Record: e.recordOrUnknown()}
		}
	}
}

// recheckInterval is when to look again at a claim that outlives its expiry.
const recheckInterval = time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// due is when to look at an entry.
type due struct {
	at  time.Time
	seq uint64
}

// dueHeap orders entries by time, for container/heap.
type dueHeap []due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends x, a due.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

// Pop removes the last element.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// usage counts what all shards hold together.
type usage struct {
	entries    atomic.Int64
	bytes      atomic.Int64
	refused    atomic.Int64
	mismatches atomic.Int64
	replays    atomic.Int64
}

// take reserves one entry of the given size unless a bound would be passed.
func (u *usage) take(size int, cfg Config) bool {
	if u.entries.Add(1) > int64(cfg.MaxEntries) {
		u.entries.Add(-1)
		return false
	}
	if u.bytes.Add(int64(size)) > int64(cfg.MaxBytes) {
		u.give(size)
		return false
	}
	return true
}

func (u *usage) give(size int) {
	u.entries.Add(-1)
	u.bytes.Add(-int64(size))
}
