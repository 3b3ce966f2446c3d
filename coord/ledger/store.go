package ledger

import (
	"fmt"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
)

// StoreFullError reports that a ClosedStore has no capacity for another ledger.
type StoreFullError struct {
	Ledgers int
	Bytes   int
}

// Error implements error; the message gives the limits and how to recover.
func (e *StoreFullError) Error() string {
	return fmt.Sprintf("closed ledger store is full (limits: %d ledgers, %d bytes); send the ledger to another host", e.Ledgers, e.Bytes)
}

// ClosedStore holds the closed ledgers of other processes, limited in number and
// bytes, each until the retention of its last record is over. A full store
// rejects new ledgers and never evicts one early. A single lock is enough, since
// only calls whose owner is gone read the store. It is safe for concurrent use.
type ClosedStore struct {
	clk        clock.Clock
	maxLedgers int
	maxBytes   int

	mu      sync.RWMutex
	ledgers map[identity.Incarnation]storedLedger
	bytes   int
}

type storedLedger struct {
	closed *Closed
	until  time.Time
}

// NewClosedStore returns an empty store with limits on the number of ledgers and
// their accounted bytes.
func NewClosedStore(clk clock.Clock, maxLedgers, maxBytes int) *ClosedStore {
	return &ClosedStore{
		clk:        clk,
		maxLedgers: maxLedgers,
		maxBytes:   maxBytes,
		ledgers:    make(map[identity.Incarnation]storedLedger),
	}
}

// Add stores c for its TTL, starting now. A ledger that is already stored is left
// unchanged. Add fails with *StoreFullError.
func (s *ClosedStore) Add(c *Closed) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	s.sweep(now)
	if _, exists := s.ledgers[c.owner]; exists {
		return nil
	}
	if len(s.ledgers) >= s.maxLedgers || s.bytes+c.size > s.maxBytes {
		return &StoreFullError{Ledgers: s.maxLedgers, Bytes: s.maxBytes}
	}
	s.ledgers[c.owner] = storedLedger{closed: c, until: now.Add(c.ttl)}
	s.bytes += c.size
	return nil
}

// Get returns the closed ledger of owner, if the store has it and its TTL is not
// over.
func (s *ClosedStore) Get(owner identity.Incarnation) (*Closed, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.ledgers[owner]
	if !ok || !s.clk.Now().Before(h.until) {
		return nil, false
	}
	return h.closed, true
}

// All returns the stored ledgers with their remaining TTL, for a leaving host to
// send to others.
func (s *ClosedStore) All() []*Closed {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	s.sweep(now)
	all := make([]*Closed, 0, len(s.ledgers))
	for _, h := range s.ledgers {
		all = append(all, h.closed.withTTL(h.until.Sub(now)))
	}
	return all
}

// Usage returns the number of stored ledgers and their accounted bytes.
func (s *ClosedStore) Usage() (ledgers, bytes int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.ledgers), s.bytes
}

func (s *ClosedStore) sweep(now time.Time) {
	for owner, h := range s.ledgers {
		if !now.Before(h.until) {
			delete(s.ledgers, owner)
			s.bytes -= h.closed.size
		}
	}
}
