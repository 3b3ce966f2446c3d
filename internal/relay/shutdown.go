package relay

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errShutdown is the cause with which requests in progress are cancelled at the end of the
// grace period.
var errShutdown = errors.New("the host ends; send the request to another host")

// shutdown ends the requests of a relay in two steps: new ones that might not end in time are
// refused, then those in progress are cancelled. It is safe for concurrent use.
type shutdown struct {
	mu      sync.Mutex
	end     time.Time // of the host; zero while it is not known
	nextID  uint64
	running map[uint64]context.CancelCauseFunc
}

// begin adds a request in progress, whose context it derives from ctx. done removes it.
func (s *shutdown) begin(ctx context.Context) (requestCtx context.Context, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requestCtx, cancel := context.WithCancelCause(ctx)
	if s.running == nil {
		s.running = make(map[uint64]context.CancelCauseFunc)
	}
	s.nextID++
	id := s.nextID
	s.running[id] = cancel
	return requestCtx, func() { s.remove(id) }
}

func (s *shutdown) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id](nil)
	delete(s.running, id)
}

func (s *shutdown) setEnd(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = end
}

// endsBefore reports whether the host ends before a deadline.
func (s *shutdown) endsBefore(deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.end.IsZero() && s.end.Before(deadline)
}

func (s *shutdown) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.running {
		cancel(errShutdown)
	}
}

// EndAt makes the relay refuse new requests, with ReasonDraining, that may take longer than
// until end. Others are served, and those in progress go on.
func (r *Relay) EndAt(end time.Time) { r.shutdown.setEnd(end) }

// CancelActive ends the requests in progress: those that no target can have run are refused as
// such, those of which the caller has nothing get an error, and begun responses are aborted.
func (r *Relay) CancelActive() { r.shutdown.cancelAll() }
