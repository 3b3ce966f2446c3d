package engine

import (
	"net"
	"sync"
)

// listener tracks its connections so that they can be made silent or closed. On
// TCP, connections are refused while it is suspended.
type listener struct {
	addr net.Addr

	mu               sync.Mutex
	inner            net.Listener
	listening        chan struct{} // closed while the listener is open
	closed           bool
	conns            map[*conn]struct{}
	silenceNextAfter *int64 // byte count after which the next connection goes silent; nil: never
}

func newListener(inner net.Listener) *listener {
	l := &listener{addr: inner.Addr(), inner: inner, listening: make(chan struct{}), conns: make(map[*conn]struct{})}
	close(l.listening)
	return l
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.markListening()
	return l.inner.Close()
}

// suspend stops listening until reopen. Listeners other than TCP are left open.
func (l *listener) suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.inner.(*net.TCPListener); !ok || !l.isListening() {
		return
	}
	l.listening = make(chan struct{})
	_ = l.inner.Close()
}

// reopen listens on the same address again. It reports false if the address is
// not available yet.
func (l *listener) reopen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isListening() || l.closed {
		return true
	}
	inner, err := net.Listen(l.addr.Network(), l.addr.String())
	if err != nil {
		return false
	}
	l.inner = inner
	l.markListening()
	return true
}

func (l *listener) isListening() bool {
	select {
	case <-l.listening:
		return true
	default:
		return false
	}
}

func (l *listener) markListening() {
	if !l.isListening() {
		close(l.listening)
	}
}

// accept accepts a connection. It waits while the listener is suspended and
// does not return the errors of an inner listener that suspend has closed.
func (l *listener) accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		inner, listening := l.inner, l.listening
		l.mu.Unlock()
		<-listening
		c, err := inner.Accept()
		l.mu.Lock()
		current := l.inner == inner && l.isListening() || l.closed
		l.mu.Unlock()
		if err == nil || current {
			return c, err
		}
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, closed: make(chan struct{}), remaining: neverSilent}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silenceNextAfter != nil {
		c.remaining, l.silenceNextAfter = *l.silenceNextAfter, nil
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// silenceOpen makes each open connection go silent after this many more bytes.
func (l *listener) silenceOpen(after int64) {
	for _, c := range l.openConns() {
		c.silenceAfter(after)
	}
}

func (l *listener) silenceNextConn(after int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceNextAfter = &after
}

// closeAll closes the connections. The peers of silent ones are not notified.
func (l *listener) closeAll() {
	for _, c := range l.openConns() {
		_ = c.Close()
	}
}

func (l *listener) forceCloseAll() {
	for _, c := range l.openConns() {
		_ = c.forceClose()
	}
}

func (l *listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

func (l *listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

const neverSilent = -1

// conn is a connection that can go silent, as in a network partition: written
// data is discarded, and reads block until Close.
type conn struct {
	net.Conn
	listener *listener
	closed   chan struct{}
	once     sync.Once

	mu        sync.Mutex
	remaining int64 // bytes that may still be written before it goes silent, or neverSilent
}

func (c *conn) silenceAfter(after int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining = after
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remaining == 0
}

// consume returns how many of n bytes may still be written.
func (c *conn) consume(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.remaining == neverSilent {
		return n
	}
	allowed := int(min(int64(n), c.remaining))
	c.remaining -= int64(allowed)
	return allowed
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	allowed := c.consume(len(p))
	if allowed > 0 {
		if n, err := c.Conn.Write(p[:allowed]); err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn. The peer of a silent connection is not notified.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.isSilent() {
		return nil
	}
	return c.forceClose()
}

// forceClose closes the connection even if it is silent.
func (c *conn) forceClose() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.untrack(c)
	return c.Conn.Close()
}
