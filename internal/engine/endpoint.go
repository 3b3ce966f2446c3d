package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/internal/httpwire"
	"github.com/plantainrun/plantainrun/internal/membudget"
)

const (
	idleConnsPerEndpoint = 8
	idleConnTimeout      = 30 * time.Second
	dialTimeout          = 2 * time.Second
	writeBufferBytes     = 16 << 10
)

// endpoint holds the connections to one engine address.
type endpoint struct {
	addr     string
	pooled   httpwire.Transport // reuses idle connections
	unpooled httpwire.Transport // opens a new connection for each request

	mu       sync.Mutex
	conns    map[*conn]struct{}
	lastUsed atomic.Int64 // Unix time in nanoseconds of the last request
}

func newEndpoint(addr string, dial httpwire.DialFunc) *endpoint {
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
	ep.pooled = httpwire.Transport{Transport: &http.Transport{
		DialContext:         tracked,
		MaxIdleConnsPerHost: idleConnsPerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferBytes,

		MaxResponseHeaderBytes: membudget.MaxResponseHeadBytes,
	}}
	ep.unpooled = httpwire.Transport{Transport: &http.Transport{
		DialContext:        tracked,
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    writeBufferBytes,

		MaxResponseHeaderBytes: membudget.MaxResponseHeadBytes,
	}}
	return ep
}

func (ep *endpoint) transport(newConn bool) httpwire.Transport {
	if newConn {
		return ep.unpooled
	}
	return ep.pooled
}

func (ep *endpoint) track(inner net.Conn) *conn {
	c := &conn{Conn: httpwire.Wrap(inner), endpoint: ep}
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

// closeLikelyStalled closes the connections that have probably stalled together with
// one that has made no progress for d: idle connections, and those that have received
// nothing for at least half of d. If such a connection was healthy, its stream is
// resumed on another one. It returns the number of non-idle connections closed.
func (ep *endpoint) closeLikelyStalled(d time.Duration) int {
	ep.pooled.CloseIdleConnections()
	idle := ep.connsIdleFor(d / 2)
	for _, c := range idle {
		c.closeAndCountWrites()
	}
	return len(idle)
}

// connsIdleFor returns the connections that have received nothing for d.
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

// conn is a connection that counts the writes to it and records the time of its last
// read.
type conn struct {
	*httpwire.Conn
	endpoint *endpoint
	lastRead atomic.Int64 // Unix time in nanoseconds; initially the time the connection was opened

	mu            sync.Mutex
	closed        bool
	writesStarted uint64
}

func (c *conn) markProgress() { c.lastRead.Store(time.Now().UnixNano()) }

// sinceRead returns the time since the connection last received data.
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

// Write implements net.Conn. It counts the write before any byte can be sent.
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

// closeAndCountWrites closes the connection and returns the number of writes started
// on it. No write starts after it returns.
func (c *conn) closeAndCountWrites() uint64 {
	c.mu.Lock()
	firstClose := !c.closed
	c.closed = true
	writes := c.writesStarted
	c.mu.Unlock()
	if firstClose {
		_ = c.Conn.Close() // nothing is sent or read on it any more
		c.endpoint.untrack(c)
	}
	return writes
}

// startedWrites returns the number of writes started so far.
func (c *conn) startedWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writesStarted
}
