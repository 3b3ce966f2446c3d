package httpserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/netlisten"
)

// maxHeadBytes is the largest head of a request.
const maxHeadBytes = 64 << 10

// Limits bounds what callers may make a server hold.
type Limits struct {
	// MaxConns is the number of connections that may be open; 0 for no limit. Beyond it one
	// that has waited for its caller is closed for a new one, which waits for that unread. If
	// the host works on the requests of all of them, the new one is closed.
	MaxConns int
	// Memory accounts for the heads of requests; nil for no limit.
	Memory *membudget.Budget
}

// limitListener accepts connections within the limits of a server.
type limitListener struct {
	net.Listener
	limits  Limits
	open    *connSet
	closed  atomic.Int64 // connections beyond the limit, closed unread
	evicted atomic.Int64 // connections closed for new ones
}

// Accept returns the next connection within the limits. While it waits for room the system
// keeps further ones in the order of their arrival.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.awaitRoom() {
			l.widen(conn)
			c := &callerConn{Conn: conn, listener: l, head: l.limits.Memory.Hold(membudget.RequestHead), reading: true, phase: phaseIdle, since: time.Now()}
			l.open.add(c)
			return c, nil
		}
		l.closed.Add(1)
		_ = conn.Close() // nothing was read on it: its caller can go to another host
	}
}

// widen ends the bound on what the system receives for a connection that waits.
func (l *limitListener) widen(conn net.Conn) {
	if l.limits.MaxConns == 0 {
		return
	}
	if err := netlisten.Widen(conn); err != nil {
		logx.Errorf("connection receives slowly: %v", err) // it may have ended meanwhile
	}
}

// awaitRoom reports whether another connection may be open. It waits for a connection that
// waits for its caller to be done or overdue, and closes it then. It does not wait for requests
// that the host works on.
func (l *limitListener) awaitRoom() bool {
	for l.limits.MaxConns > 0 && l.open.size() >= l.limits.MaxConns {
		victim, overdue := l.open.longestWaiting(time.Now())
		switch {
		case victim == nil:
			return false
		case overdue < 0:
			l.open.awaitChange(-overdue)
		case victim.evict(time.Now()):
			l.evicted.Add(1)
			return true
		}
	}
	return true
}

// callerConn accounts for the heads that arrive on a connection.
type callerConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once

	mu      sync.Mutex
	head    membudget.Holding
	reading bool // the next bytes belong to a head
	phase   phase
	since   time.Time // when the phase began
	evicted bool

	receivedBytes int // in the phase, while it receives
}

// Read closes the connection if the head that is being read does not fit. What arrives on an
// evicted connection is dropped, so that its request can be sent again.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(n) {
		return 0, net.ErrClosed
	}
	if n > 0 && !c.holds(n) {
		_ = c.Close() // the request was not read whole, so it can be sent again
		return 0, membudget.ErrExhausted
	}
	return n, err
}

func (c *callerConn) holds(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reading || c.head.Grow(membudget.HeadReadCost*bytes) == nil
}

// headRead replaces the cost of reading a head by that of keeping it. A request without a body has
// been read whole then. It returns false if the connection has been evicted.
func (c *callerConn) headRead(h http.Header, whole bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	_ = c.head.Set(min(membudget.HeadCost(h), int(c.head.Bytes()))) // never grows
	switch {
	case whole:
		c.enterLocked(phaseServing)
	case c.phase == phaseIdle:
		c.enterLocked(phaseReceiving) // the request was read together with the one before
	}
	return !c.evicted
}

// requestDone gives the memory of a head back. The next bytes begin another one.
func (c *callerConn) requestDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.head.Release()
	c.enterLocked(phaseIdle)
}

// Abort ends the response of a request before it is whole, and its connection. It panics with
// http.ErrAbortHandler. The connection of a caller of HTTP/1.0 is reset: an ordinary end would
// complete the response.
func Abort(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*callerConn)
	if ok && !r.ProtoAtLeast(1, 1) {
		conn.resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes closing the connection reset it.
func (c *callerConn) resetOnClose() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	if err := tcp.SetLinger(0); err != nil {
		logx.Infof("connection of a broken response could not be reset: %v", err) // it has ended meanwhile
	}
}

// Write tells how long the caller takes to read.
func (c *callerConn) Write(p []byte) (int, error) {
	before := c.enter(phaseSending)
	defer c.enter(before)
	return c.Conn.Write(p)
}

// CloseWrite ends the response, and lets the caller read it before the connection is closed.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives the memory of an unfinished head back.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.open.remove(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.head.Release()
	})
	return c.Conn.Close()
}
