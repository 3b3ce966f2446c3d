// Package audit keeps a bounded in-memory audit trail of the changes that this
// host applied or refused.
package audit

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// DefaultCapacity is the default number of entries that a trail keeps.
const DefaultCapacity = 1_000

// Verdict says whether this host applied or refused a change.
type Verdict string

// The verdicts.
const (
	VerdictInForce Verdict = "in_force"
	VerdictRefused Verdict = "refused"
)

// Change is one line that an audited change added or removed.
type Change struct {
	Line        int    `json:"line"`
	Removed     bool   `json:"removed,omitempty"`
	Rule        string `json:"rule"`
	RequestedBy string `json:"who,omitempty"` // who asked for the line
	Rationale   string `json:"why,omitempty"`
}

// Reason is a reason why a change was refused. Line is zero if the reason is about
// the change as a whole.
type Reason struct {
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// Entry is the record of one change. It must not be modified once recorded.
type Entry struct {
	// Sequence numbers the entries of this process from 1.
	Sequence    uint64    `json:"sequence"`
	Time        time.Time `json:"time"` // when this host applied or refused the change
	Subject     string    `json:"subject"`
	Partner     string    `json:"partner,omitempty"`
	RequestedBy []string  `json:"who,omitempty"` // who asked for the change, sorted
	Summary     string    `json:"summary"`
	Changes     []Change  `json:"changes,omitempty"`
	// FromRevision is the revision before the change. ToRevision is the one that was
	// applied or refused.
	FromRevision uint64   `json:"from"`
	ToRevision   uint64   `json:"to"`
	Verdict      Verdict  `json:"verdict"`
	Reasons      []Reason `json:"reasons,omitempty"`
	// Source is the host, or the platform, that the change was received from.
	Source string `json:"source"`
}

// Query selects entries. A zero field does not restrict the selection.
type Query struct {
	Partner       string
	Subject       string // prefix of Entry.Subject
	RequestedBy   string // part of a requester's name, case-insensitive
	Verdict       Verdict
	Since         time.Time
	AfterSequence uint64 // selects entries with a higher Sequence
	Limit         int    // most entries to return, the newest ones
}

// Trail keeps the newest entries in a ring buffer. It is safe for concurrent use.
type Trail struct {
	mu       sync.Mutex
	ring     []Entry
	capacity int
	recorded uint64
}

// New returns an empty trail that keeps capacity entries, or DefaultCapacity if
// capacity is not positive.
func New(capacity int) *Trail {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Trail{capacity: capacity}
}

// Record assigns the next sequence number to an entry and adds it. A full trail
// drops its oldest entry.
func (t *Trail) Record(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorded++
	e.Sequence = t.recorded
	if len(t.ring) < t.capacity {
		t.ring = append(t.ring, e)
		return
	}
	t.ring[(t.recorded-1)%uint64(t.capacity)] = e
}

// Recorded returns the number of entries recorded since the start, dropped ones
// included.
func (t *Trail) Recorded() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recorded
}

// Find returns the entries that q selects, oldest first.
func (t *Trail) Find(q Query) []Entry {
	t.mu.Lock()
	entries := slices.Clone(t.ring)
	t.mu.Unlock()
	slices.SortFunc(entries, func(a, b Entry) int { return int(a.Sequence) - int(b.Sequence) })
	entries = slices.DeleteFunc(entries, func(e Entry) bool { return !q.matches(e) })
	if q.Limit > 0 && len(entries) > q.Limit {
		entries = entries[len(entries)-q.Limit:]
	}
	return entries
}

func (q Query) matches(e Entry) bool {
	switch {
	case q.Partner != "" && e.Partner != q.Partner:
	case !strings.HasPrefix(e.Subject, q.Subject):
	case q.Verdict != "" && e.Verdict != q.Verdict:
	case e.Time.Before(q.Since):
	case e.Sequence <= q.AfterSequence:
	case q.RequestedBy != "" && !e.wasRequestedBy(q.RequestedBy):
	default:
		return true
	}
	return false
}

func (e Entry) wasRequestedBy(requester string) bool {
	return slices.ContainsFunc(e.RequestedBy, func(name string) bool {
		return strings.Contains(strings.ToLower(name), strings.ToLower(requester))
	})
}
