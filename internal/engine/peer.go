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
	idleConnsPerPeer = 8
	idleConnTimeout  = 30 * time.Second
	dialTimeout      = 2 * time.Second
	writeBufferBytes = 16 << 10
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// peer is one engine's address with its connections.
type peer struct {
	addr   string
	pooled *http.Transport // keeps idle connections
	fresh  *http.Transport // opens a connection per request

	mu    sync.Mutex
	conns map[*conn]struct{}
	used  atomic.Int64 // Unix time in nanoseconds
}

func newPeer(addr string, dial DialFunc) *peer {
	p := &peer{addr: addr, conns: make(map[*conn]struct{})}
	tracked := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return p.track(inner), nil
	}
	p.pooled = &http.Transport{
		DialContext:         tracked,
		MaxIdleConnsPerHost: idleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferBytes,
	}
	p.fresh = &http.Transport{
		DialContext:        tracked,
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    writeBufferBytes,
	}
	return p
}

func (p *peer) transport(fresh bool) *http.Transport {
	if fresh {
		return p.fresh
	}
	return p.pooled
}

func (p *peer) track(inner net.Conn) *conn {
	c := &conn{Conn: inner, peer: p}
	c.progressed()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c
}

func (p *peer) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *peer) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// suspect closes the connections that may have gone silent together with one
// that was silent for d: idle ones, and those that have received nothing for at
// least half as long. A stream that was moved for nothing only resumes. It
// returns how many it closed.
func (p *peer) suspect(d time.Duration) int {
	p.pooled.CloseIdleConnections()
	quiet := p.quietFor(d / 2)
	for _, c := range quiet {
		c.seal()
	}
	return len(quiet)
}

// quietFor lists the connections that have received nothing for d.
func (p *peer) quietFor(d time.Duration) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var quiet []*conn
	for c := range p.conns {
		if c.quiet() >= d {
			quiet = append(quiet, c)
		}
	}
	return quiet
}

func (p *peer) close() {
	p.pooled.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}

// conn is a connection that knows whether anything was written to it and when
// it last received something.
type conn struct {
	net.Conn
	peer     *peer
	lastRead atomic.Int64 // Unix time in nanoseconds; at first the time of opening

	mu     sync.Mutex
	sealed bool
	writes uint64
}

func (c *conn) progressed() { c.lastRead.Store(time.Now().UnixNano()) }

// quiet is how long the connection has received nothing.
func (c *conn) quiet() time.Duration { return time.Duration(time.Now().UnixNano() - c.lastRead.Load()) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.progressed()
	}
	return n, err
}

// Write implements net.Conn. It counts the write before any byte can leave.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.seal()
	return nil
}

// seal closes the connection and returns how many writes were ever begun. None
// begins after it has returned.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	first := !c.sealed
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	if first {
		c.Conn.Close()
		c.peer.forget(c)
	}
	return writes
}

// begun returns how many writes were begun so far.
func (c *conn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}
