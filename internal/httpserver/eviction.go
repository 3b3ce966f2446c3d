package httpserver

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// phase is what a connection waits for.
type phase uint8

const (
	phaseIdle      phase = iota // for a request
	phaseReceiving              // for the rest of a request
	phaseServing                // for the host
	phaseSending                // for the caller to read
)

const (
	// idleGrace is how long a connection may be idle before it can be closed for a new one.
	idleGrace = 250 * time.Millisecond
	// callerGrace is how long a caller may take to send the rest of a request, or to read a
	// part of an answer, before its connection can be closed for a new one.
	callerGrace = 500 * time.Millisecond
	// minReceiveRate is the rate in bytes per second at which callers with a longer request
	// send it.
	minReceiveRate = 64 << 10
)

// connSet is the set of open connections of a listener. It is safe for concurrent use.
type connSet struct {
	freed chan struct{} // holds a value after a connection was removed

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newConnSet() *connSet {
	return &connSet{freed: make(chan struct{}, 1), conns: make(map[*callerConn]struct{})}
}

func (s *connSet) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *connSet) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

func (s *connSet) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// awaitChange returns when a connection is removed, at the latest after a time.
func (s *connSet) awaitChange(atMost time.Duration) {
	timeout := time.NewTimer(atMost)
	defer timeout.Stop()
	select {
	case <-s.freed:
	case <-timeout.C:
	}
}

// longestWaiting returns the connection that has waited for its caller longest beyond the
// grace of its phase, and for how long; negative if its grace lasts. It returns nil if none
// waits for its caller.
func (s *connSet) longestWaiting(now time.Time) (longest *callerConn, overdue time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		waited, waits := c.overdue(now)
		if waits && (longest == nil || waited > overdue) {
			longest, overdue = c, waited
		}
	}
	return longest, overdue
}

// overdue returns for how long beyond its grace the connection has waited for its caller,
// negative if its grace lasts, and whether it waits for its caller.
func (c *callerConn) overdue(now time.Time) (waited time.Duration, waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overdueLocked(now)
}

func (c *callerConn) overdueLocked(now time.Time) (waited time.Duration, waits bool) {
	waited = now.Sub(c.since)
	switch c.phase {
	case phaseIdle:
		return waited - idleGrace, true
	case phaseReceiving:
		allowed := time.Duration(float64(c.receivedBytes) / minReceiveRate * float64(time.Second))
		return waited - callerGrace - allowed, true
	case phaseSending:
		return waited - callerGrace, true
	}
	return 0, false
}

// evict closes the connection if it still waits for its caller. One on which bytes have arrived
// that a busy host has not read yet does not.
func (c *callerConn) evict(now time.Time) bool {
	unread := c.hasUnread()
	c.mu.Lock()
	overdue, waits := c.overdueLocked(now)
	due := waits && overdue >= 0
	if due && unread && c.phase != phaseSending {
		c.enterLocked(c.phase)
		due = false
	}
	c.evicted = c.evicted || due
	c.mu.Unlock()
	if due {
		_ = c.Close() // its caller may be gone
	}
	return due
}

// hasUnread reports whether bytes have arrived that were not read.
func (c *callerConn) hasUnread() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false // closed
	}
	var n int
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// received records that bytes of a request have arrived, and reports whether they count.
func (c *callerConn) received(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.enterLocked(phaseReceiving)
	}
	if c.phase == phaseReceiving {
		c.receivedBytes += bytes
	}
	return !c.evicted
}

// enter begins a phase and returns the one before.
func (c *callerConn) enter(p phase) (before phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.phase
	c.enterLocked(p)
	return before
}

func (c *callerConn) enterLocked(p phase) {
	c.phase, c.since, c.receivedBytes = p, time.Now(), 0
}

// RequestReceived tells the server that a request has been read whole. From then on its
// connection waits for the host, and is not closed for a new one. It returns false if it has
// been closed already; the request must not be passed on then.
func RequestReceived(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterLocked(phaseServing)
	return !c.evicted
}
