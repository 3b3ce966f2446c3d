package engine

import (
	"net"
	"sync"
)

// listener keeps its connections so that they can be silenced or closed. While
// it is down it refuses connections, if it listens on TCP.
type listener struct {
	addr net.Addr

	mu     sync.Mutex
	inner  net.Listener
	up     chan struct{} // closed while it listens
	closed bool
	conns  map[*conn]struct{}
	nextAt *int64 // the next connection goes silent after so many bytes
}

func newListener(inner net.Listener) *listener {
	l := &listener{addr: inner.Addr(), inner: inner, up: make(chan struct{}), conns: make(map[*conn]struct{})}
	close(l.up)
	return l
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.setUp()
	return l.inner.Close()
}

// down stops listening until listenAgain.
func (l *listener) down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.inner.(*net.TCPListener); !ok || !l.isUp() {
		return
	}
	l.up = make(chan struct{})
	_ = l.inner.Close()
}

// listenAgain listens on the same address as before. It reports false when the
// address cannot be had yet.
func (l *listener) listenAgain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isUp() || l.closed {
		return true
	}
	inner, err := net.Listen(l.addr.Network(), l.addr.String())
	if err != nil {
		return false
	}
	l.inner = inner
	l.setUp()
	return true
}

func (l *listener) isUp() bool {
	select {
	case <-l.up:
		return true
	default:
		return false
	}
}

func (l *listener) setUp() {
	if !l.isUp() {
		close(l.up)
	}
}

// accept takes a connection, and waits while the listener is down.
func (l *listener) accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		inner, up := l.inner, l.up
		l.mu.Unlock()
		<-up
		c, err := inner.Accept()
		l.mu.Lock()
		same := l.inner == inner && l.isUp() || l.closed
		l.mu.Unlock()
		if err == nil || same {
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
	c := &conn{Conn: inner, listener: l, closed: make(chan struct{}), left: unlimited}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextAt != nil {
		c.left, l.nextAt = *l.nextAt, nil
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// silence makes each open connection go silent after so many bytes more.
func (l *listener) silence(after int64) {
	for _, c := range l.open() {
		c.limit(after)
	}
}

func (l *listener) silenceNext(after int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextAt = &after
}

// closeAll closes the connections; silent ones stay silent.
func (l *listener) closeAll() {
	for _, c := range l.open() {
		_ = c.Close()
	}
}

func (l *listener) killAll() {
	for _, c := range l.open() {
		_ = c.kill()
	}
}

func (l *listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

const unlimited = -1

// conn is a connection that can go silent: what is written then is lost, and
// nothing is read any more.
type conn struct {
	net.Conn
	listener *listener
	closed   chan struct{}
	once     sync.Once

	mu   sync.Mutex
	left int64 // bytes until it goes silent; unlimited: never
}

func (c *conn) limit(after int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = after
}

func (c *conn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left == 0
}

// take returns how many of n bytes still go through.
func (c *conn) take(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == unlimited {
		return n
	}
	through := int(min(int64(n), c.left))
	c.left -= int64(through)
	return through
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	through := c.take(len(p))
	if through > 0 {
		if n, err := c.Conn.Write(p[:through]); err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn. The other end of a silent connection does not
// hear of it.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.silent() {
		return nil
	}
	return c.kill()
}

// kill closes the connection, silent or not.
func (c *conn) kill() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.forget(c)
	return c.Conn.Close()
}
