package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	idleConnsPerEndpoint = 8
	idleConnTimeout      = 30 * time.Second
	dialTimeout          = 2 * time.Second
	writeBufferBytes     = 16 << 10
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// endpoint is one engine's address with its connections.
type endpoint struct {
	addr     string
	pooled   *http.Transport // keeps idle connections
	unpooled *http.Transport // opens a connection per request

	mu       sync.Mutex
	conns    map[*conn]struct{}
	lastUsed atomic.Int64 // Unix time in nanoseconds
}

func newEndpoint(addr string, dial DialFunc) *endpoint {
	ep := &endpoint{addr: addr, conns: make(map[*conn]struct{})}
	tracked := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return ep.track(inner), nil
	}
	ep.pooled = &http.Transport{
		DialContext:         tracked,
		MaxIdleConnsPerHost: idleConnsPerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferBytes,
	}
	ep.unpooled = &http.Transport{
		DialContext:        tracked,
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    writeBufferBytes,
	}
	return ep
}

func (ep *endpoint) transport(newConn bool) *http.Transport {
	if newConn {
		return ep.unpooled
	}
	return ep.pooled
}

func (ep *endpoint) track(inner net.Conn) *conn {
	c := &conn{Conn: inner, endpoint: ep}
	c.markProgress()
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.conns[c] = struct{}{}
	return c
}

func (ep *endpoint) untrack(c *conn) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	delete(ep.conns, c)
}

func (ep *endpoint) openConns() int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return len(ep.conns)
}

// closeLikelyStalled closes the connections that may have gone silent together with one
// that was silent for d: idle ones, and those that have received nothing for at
// least half as long. A stream that was moved for nothing only resumes. It
// returns how many it closed.
func (ep *endpoint) closeLikelyStalled(d time.Duration) int {
	ep.pooled.CloseIdleConnections()
	idle := ep.connsIdleFor(d / 2)
	for _, c := range idle {
		c.closeAndCountWrites()
	}
	return len(idle)
}

// connsIdleFor lists the connections that have received nothing for d.
func (ep *endpoint) connsIdleFor(d time.Duration) []*conn {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	var idle []*conn
	for c := range ep.conns {
		if c.sinceRead() >= d {
			idle = append(idle, c)
		}
	}
	return idle
}

func (ep *endpoint) close() {
	ep.pooled.CloseIdleConnections()
	ep.unpooled.CloseIdleConnections()
}

// conn is a connection that knows whether anything was written to it and when
// it last received something.
type conn struct {
	net.Conn
	endpoint *endpoint
	lastRead atomic.Int64 // Unix time in nanoseconds; at first the time of opening

	mu            sync.Mutex
	closed        bool
	writesStarted uint64
}

func (c *conn) markProgress() { c.lastRead.Store(time.Now().UnixNano()) }

// sinceRead is how long the connection has received nothing.
func (c *conn) sinceRead() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastRead.Load())
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markProgress()
	}
	return n, err
}

// Write implements net.Conn. It counts the write before any byte can leave.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writesStarted++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeAndCountWrites()
	return nil
}

// closeAndCountWrites closes the connection and returns how many writes were ever begun. None
// begins after it has returned.
func (c *conn) closeAndCountWrites() uint64 {
	c.mu.Lock()
	firstClose := !c.closed
	c.closed = true
	writes := c.writesStarted
	c.mu.Unlock()
	if firstClose {
		c.Conn.Close()
		c.endpoint.untrack(c)
	}
	return writes
}

// startedWrites returns how many writes were startedWrites so far.
func (c *conn) startedWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writesStarted
}
