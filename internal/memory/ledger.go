// Package memory reserves engines' KV memory, in tokens, before dispatch.
//
// The hosts that send to an engine share its memory without shared state: each
// owns a part and may borrow from the others (package coord/share). A host
// promises only what it owns or has borrowed for long enough, so no memory is
// promised twice. Engines still check for themselves and refuse a request that
// does not fit.
package memory

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// InsufficientMemoryError tells which engine lacks memory for a reservation.
type InsufficientMemoryError struct {
	Target string
	Need   int // tokens
	Free   int // tokens that this host may promise
}

// Error names the engine and the remedy.
func (e *InsufficientMemoryError) Error() string {
	return fmt.Sprintf("engine %s has %d tokens of memory free for this host and the request needs %d; wait for a release or borrow from a peer",
		e.Target, e.Free, e.Need)
}

// DuplicateError tells that an id already has a reservation.
type DuplicateError struct {
	ID string
}

// Error names the id and the remedy.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %s already holds a reservation; release it first", e.ID)
}

// account is one engine's memory as far as this host goes.
type account struct {
	split        *share.Split
	total        int
	reserved     int
	reservations map[string]reservation // by reservation
}

type reservation struct {
	tokens int
	until  time.Time
}

// Ledger holds one host's reservations. It is safe for concurrent use.
type Ledger struct {
	cfg share.Config

	mu        sync.Mutex
	accounts  map[string]*account
	partsByID map[string][]engineapi.KVPart
}

// NewLedger returns an empty Ledger.
func NewLedger(cfg share.Config) *Ledger {
	return &Ledger{cfg: cfg, accounts: map[string]*account{}, partsByID: map[string][]engineapi.KVPart{}}
}

// SetTarget sets an engine's memory in tokens and the number of hosts that
// share it. With zero sharers this host promises nothing new of it.
func (l *Ledger) SetTarget(now time.Time, target string, total, sharers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		a = &account{split: share.NewSplit(l.cfg, target), reservations: map[string]reservation{}}
		l.accounts[target] = a
	}
	a.total = total
	a.split.Set(now, float64(total), sharers)
}

// ApplyPendingShare puts this host's part of an engine's memory in force at once. Call
// it when every other sharer has confirmed that it keeps to its own part.
func (l *Ledger) ApplyPendingShare(now time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[target]; ok {
		a.split.Settled(now)
	}
}

// SharePending reports whether a larger part of the engine's memory is not yet in
// force.
func (l *Ledger) SharePending(now time.Time, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		return false
	}
	a.split.Advance(now)
	return a.split.Waiting()
}

// WithinShare reports whether this host keeps to its own part of an engine's memory:
// its reservations fit into it, and it has no loan and has asked for none. A host
// that started anew may use its part at once when every other sharer keeps to its own.
func (l *Ledger) WithinShare(now time.Time, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		return true
	}
	a.split.Advance(now)
	return !a.split.Borrows(now) && float64(a.reserved) <= a.split.Available()
}

// Reserve reserves all parts until the given time or, when one does not fit,
// none. It returns a *ShortError or a *DuplicateError.
func (l *Ledger) Reserve(now time.Time, id string, parts []engineapi.KVPart, until time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.partsByID[id]; ok {
		return &DuplicateError{ID: id}
	}
	ordered := mergeByTarget(parts)
	for _, p := range ordered {
		if free := l.freeLocked(now, p.Target, until); free < p.Tokens {
			return &InsufficientMemoryError{Target: p.Target, Need: p.Tokens, Free: free}
		}
	}
	for _, p := range ordered {
		a := l.accounts[p.Target]
		a.reserved += p.Tokens
		a.reservations[id] = reservation{tokens: p.Tokens, until: until}
	}
	l.partsByID[id] = ordered
	return nil
}

// mergeByTarget returns the parts by target id, one for each target.
func mergeByTarget(parts []engineapi.KVPart) []engineapi.KVPart {
	ordered := slices.Clone(parts)
	slices.SortStableFunc(ordered, func(a, b engineapi.KVPart) int { return cmp.Compare(a.Target, b.Target) })
	merged := ordered[:0]
	for _, p := range ordered {
		if n := len(merged); n > 0 && merged[n-1].Target == p.Target {
			merged[n-1].Tokens += p.Tokens
			continue
		}
		merged = append(merged, p)
	}
	return merged
}

// Release gives a reservation back and reports whether there was one.
func (l *Ledger) Release(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts, ok := l.partsByID[id]
	if !ok {
		return false
	}
	delete(l.partsByID, id)
	for _, p := range parts {
		a, known := l.accounts[p.Target]
		if !known {
			continue
		}
		a.reserved -= p.Tokens
		delete(a.reservations, id)
	}
	return true
}

// Free is how many tokens of an engine's memory this host may promise until
// the given time.
func (l *Ledger) Free(now time.Time, target string, until time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freeLocked(now, target, until)
}

// Reserved is how many tokens of an engine's memory this host has promised.
func (l *Ledger) Reserved(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[target]; ok {
		return a.reserved
	}
	return 0
}

// Share is this host's part of an engine's memory, in tokens.
func (l *Ledger) Share(now time.Time, target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		return 0
	}
	a.split.Advance(now)
	return int(a.split.Own())
}

// RemoveTarget drops an engine that is gone for good and has no reservations.
func (l *Ledger) RemoveTarget(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok || a.reserved > 0 {
		return false
	}
	delete(l.accounts, target)
	return true
}

func (l *Ledger) freeLocked(now time.Time, target string, until time.Time) int {
	a, ok := l.accounts[target]
	if !ok {
		return 0
	}
	a.split.Advance(now)
	return max(0, int(a.headroom(until)))
}

// headroom is the least that is left of the account between now and until.
// Each loan that ends before until lowers what is left from its end on;
// reservations that end by then no longer count.
func (a *account) headroom(until time.Time) float64 {
	available := a.split.Available()
	lowest := available - float64(a.reserved)
	a.split.EachBorrowed(func(_ share.LoanID, _ float64, end time.Time) {
		if end.Before(until) {
			lowest = min(lowest, a.availableAt(end)-float64(a.reservedAfter(end)))
		}
	})
	return lowest
}

// availableAt is what the account has once all loans that end by t are gone.
func (a *account) availableAt(t time.Time) float64 {
	available := a.split.Available()
	a.split.EachBorrowed(func(_ share.LoanID, amount float64, end time.Time) {
		if !end.After(t) {
			available -= amount
		}
	})
	return available
}

func (a *account) reservedAfter(t time.Time) int {
	reserved := 0
	for _, r := range a.reservations {
		if r.until.After(t) {
			reserved += r.tokens
		}
	}
	return reserved
}
