package ledger

import (
	"fmt"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
)

// StoreFullError says that a ClosedStore has no room for another ledger.
type StoreFullError struct {
	Ledgers int
	Bytes   int
}

// Error names the bounds and the remedy.
func (e *StoreFullError) Error() string {
	return fmt.Sprintf("no room for another closed ledger (bounds: %d ledgers, %d bytes); hand it to another host", e.Ledgers, e.Bytes)
}

// ClosedStore holds the closed ledgers of other processes, bounded by number
// and bytes, each until its last record may be forgotten. It refuses when
// full and never drops a ledger early. Reads share one lock, since only calls
// whose owner is gone read it. It is safe for concurrent use.
type ClosedStore struct {
	clk        clock.Clock
	maxLedgers int
	maxBytes   int

	mu      sync.RWMutex
	ledgers map[identity.Incarnation]heldLedger
	bytes   int
}

type heldLedger struct {
	closed *Closed
	until  time.Time
}

// NewClosedStore returns an empty store.
func NewClosedStore(clk clock.Clock, maxLedgers, maxBytes int) *ClosedStore {
	return &ClosedStore{
		clk:        clk,
		maxLedgers: maxLedgers,
		maxBytes:   maxBytes,
		ledgers:    make(map[identity.Incarnation]heldLedger),
	}
}

// Add keeps c for its Life from now on. A ledger that is already held is left
// as it is. It fails with *StoreFullError.
func (s *ClosedStore) Add(c *Closed) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	s.sweep(now)
	if _, held := s.ledgers[c.owner]; held {
		return nil
	}
	if len(s.ledgers) >= s.maxLedgers || s.bytes+c.size > s.maxBytes {
		return &StoreFullError{Ledgers: s.maxLedgers, Bytes: s.maxBytes}
	}
	s.ledgers[c.owner] = heldLedger{closed: c, until: now.Add(c.ttl)}
	s.bytes += c.size
	return nil
}

// Get returns the closed ledger of owner, if it is held.
func (s *ClosedStore) Get(owner identity.Incarnation) (*Closed, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.ledgers[owner]
	if !ok || !s.clk.Now().Before(h.until) {
		return nil, false
	}
	return h.closed, true
}

// All returns the held ledgers with the life that they have left, for a host
// that leaves and passes them on.
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

// Usage returns the number of held ledgers and their accounted bytes.
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
