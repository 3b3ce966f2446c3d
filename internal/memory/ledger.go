// Package memory reserves KV cache memory of engines, in tokens, before requests
// are dispatched.
//
// The hosts that dispatch to an engine divide its memory without shared state:
// each owns a share and may borrow from the others (package coord/share). A host
// reserves only memory that it owns or has borrowed for the whole time of the
// reservation, so memory is never overcommitted. Engines still do their own check
// and refuse a request that does not fit.
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

// InsufficientMemoryError reports that an engine has too little free memory for a
// reservation.
type InsufficientMemoryError struct {
	Target string
	Need   int // tokens requested
	Free   int // tokens that this host may reserve
}

// Error returns the engine, the shortfall and how to remedy it.
func (e *InsufficientMemoryError) Error() string {
	return fmt.Sprintf("engine %s has %d tokens of memory free for this host and the request needs %d; wait for a release or borrow from a peer",
		e.Target, e.Free, e.Need)
}

// DuplicateError reports that a request already has a reservation.
type DuplicateError struct {
	ID string
}

// Error returns the request id and how to remedy the conflict.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %s already holds a reservation; release it first", e.ID)
}

// account tracks this host's share of one engine's memory and what it has reserved
// of it, in tokens.
type account struct {
	allocation   *share.Allocation
	total        int
	reserved     int
	reservations map[string]reservation // by request id
}

// reservation is the part of a request's reservation that is on one engine.
type reservation struct {
	tokens int
	until  time.Time
}

// Ledger tracks the memory reservations of one host on all engines. It is safe for
// concurrent use.
type Ledger struct {
	cfg share.Config

	mu        sync.Mutex
	accounts  map[string]*account
	partsByID map[string][]engineapi.KVPart
}

// NewLedger returns a Ledger without targets; cfg applies to the shares of all
// targets.
func NewLedger(cfg share.Config) *Ledger {
	return &Ledger{cfg: cfg, accounts: map[string]*account{}, partsByID: map[string][]engineapi.KVPart{}}
}

// SetTarget adds or updates an engine: its total memory in tokens and the number of
// hosts that share it, this one included. With zero sharers this host has no share
// and cannot make new reservations, except from loans that are still running.
func (l *Ledger) SetTarget(now time.Time, target string, total, sharers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		a = &account{allocation: share.NewAllocation(l.cfg, target), reservations: map[string]reservation{}}
		l.accounts[target] = a
	}
	a.total = total
	a.allocation.SetLimit(now, float64(total), sharers)
}

// ApplyPendingShare applies a pending increase of this host's share of an engine's
// memory without the remaining delay. Call it when every other sharer has confirmed
// that it uses no more than its own share.
func (l *Ledger) ApplyPendingShare(now time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[target]; ok {
		a.allocation.ApplyPendingIncrease(now)
	}
}

// SharePending reports whether an increase of this host's share of the engine's
// memory has not yet taken effect.
func (l *Ledger) SharePending(now time.Time, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		return false
	}
	a.allocation.Advance(now)
	return a.allocation.IncreasePending()
}

// WithinShare reports whether this host uses no more than its own share of an
// engine's memory: its reservations fit into the share, and it has neither a loan
// nor a pending loan request. A restarted host may use its share at once if every
// other sharer is within its own.
func (l *Ledger) WithinShare(now time.Time, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		return true
	}
	a.allocation.Advance(now)
	return !a.allocation.HasLoanOrRequest(now) && float64(a.reserved) <= a.allocation.Available()
}

// Reserve reserves all parts until the given time, or none of them if one does not
// fit. The error is an *InsufficientMemoryError or a *DuplicateError.
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

// mergeByTarget adds up the parts of each target and returns them sorted by target
// id.
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

// Release ends a reservation and reports whether it existed.
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

// Free returns how many more tokens of an engine's memory this host may reserve
// until the given time.
func (l *Ledger) Free(now time.Time, target string, until time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freeLocked(now, target, until)
}

// Reserved returns how many tokens of an engine's memory this host has reserved.
func (l *Ledger) Reserved(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[target]; ok {
		return a.reserved
	}
	return 0
}

// Share returns this host's own share of an engine's memory in tokens, lent parts
// included.
func (l *Ledger) Share(now time.Time, target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		return 0
	}
	a.allocation.Advance(now)
	return int(a.allocation.OwnShare())
}

// RemoveTarget removes an engine that is no longer listed. It returns false if the
// engine is unknown or still has reservations.
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
	a.allocation.Advance(now)
	return max(0, int(a.headroom(until)))
}

// headroom returns the lowest number of unreserved tokens between now and until.
// A loan that ends before until reduces the available tokens from its end on;
// reservations that end by then no longer count.
func (a *account) headroom(until time.Time) float64 {
	available := a.allocation.Available()
	lowest := available - float64(a.reserved)
	a.allocation.EachBorrowed(func(_ share.LoanID, _ float64, end time.Time) {
		if end.Before(until) {
			lowest = min(lowest, a.availableAt(end)-float64(a.reservedAfter(end)))
		}
	})
	return lowest
}

// availableAt returns the available tokens once all loans that end by t have ended.
func (a *account) availableAt(t time.Time) float64 {
	available := a.allocation.Available()
	a.allocation.EachBorrowed(func(_ share.LoanID, amount float64, end time.Time) {
		if !end.After(t) {
			available -= amount
		}
	})
	return available
}

// reservedAfter returns the tokens of the reservations that end after t.
func (a *account) reservedAfter(t time.Time) int {
	reserved := 0
	for _, r := range a.reservations {
		if r.until.After(t) {
			reserved += r.tokens
		}
	}
	return reserved
}
