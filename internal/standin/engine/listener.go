package engine

import (
	"net"
	"sync"
)

// listener keeps its connections so that they can be silenced or closed.
type listener struct {
	net.Listener

	mu     sync.Mutex
	conns  map[*conn]struct{}
	nextAt *int64 // the next connection goes silent after so many bytes
}

func newListener(inner net.Listener) *listener {
	return &listener{Listener: inner, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
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
