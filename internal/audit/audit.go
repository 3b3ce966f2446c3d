// Package audit keeps a bounded trail, in memory, of the changes that this
// host took in force or refused.
package audit

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// DefaultCapacity is how many entries a trail keeps.
const DefaultCapacity = 1_000

// Verdict is what became of a change.
type Verdict string

// The verdicts.
const (
	VerdictInForce Verdict = "in_force"
	VerdictRefused Verdict = "refused"
)

// Change is one line that a change added or removed.
type Change struct {
	Line        int    `json:"line"`
	Removed     bool   `json:"removed,omitempty"`
	Rule        string `json:"rule"`
	RequestedBy string `json:"who,omitempty"` // who asked for it
	Rationale   string `json:"why,omitempty"`
}

// Reason is why a change was refused. Line is zero for the whole of it.
type Reason struct {
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// Entry is one change. It must not be changed once recorded.
type Entry struct {
	// Sequence counts the entries of this process from 1.
	Sequence    uint64    `json:"sequence"`
	Time        time.Time `json:"time"` // when it was in force or refused here
	Subject     string    `json:"subject"`
	Partner     string    `json:"partner,omitempty"`
	RequestedBy []string  `json:"who,omitempty"` // who asked, sorted
	Summary     string    `json:"summary"`
	Changes     []Change  `json:"changes,omitempty"`
	// FromRevision and To are revisions: in force before, and judged.
	FromRevision uint64   `json:"from"`
	ToRevision   uint64   `json:"to"`
	Verdict      Verdict  `json:"verdict"`
	Reasons      []Reason `json:"reasons,omitempty"`
	// Source is the host, or the platform, that the change was heard from.
	Source string `json:"source"`
}

// Query selects entries. Zero fields select all.
type Query struct {
	Partner       string
	Subject       string // a prefix
	RequestedBy   string // part of the name, in any case
	Verdict       Verdict
	Since         time.Time
	AfterSequence uint64 // a sequence
	Limit         int    // the newest so many
}

// Trail keeps the newest entries. It is safe for concurrent use.
type Trail struct {
	mu       sync.Mutex
	ring     []Entry
	capacity int
	recorded uint64
}

// New returns an empty trail of the given capacity; zero: DefaultCapacity.
func New(capacity int) *Trail {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Trail{capacity: capacity}
}

// Record adds an entry and gives it its sequence. The oldest one gives way.
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

// Recorded returns how many entries were ever recorded.
func (t *Trail) Recorded() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recorded
}

// Find returns the entries that q selects, the oldest first.
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
	case q.RequestedBy != "" && !e.askedBy(q.RequestedBy):
	default:
		return true
	}
	return false
}

func (e Entry) askedBy(who string) bool {
	return slices.ContainsFunc(e.RequestedBy, func(name string) bool {
		return strings.Contains(strings.ToLower(name), strings.ToLower(who))
	})
}
