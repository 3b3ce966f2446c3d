package service

import (
	"errors"
	"net"
	"sync"
)

// errLate refuses a first byte after its time.
var errLate = errors.New("the time limit passed before anything was sent")

// errShut is what a write gets after its attempt was given up.
var errShut = errors.New("the attempt was given up before anything was sent")

// gate stands before the first byte of one attempt. It either lets the attempt
// through once, or is shut for good: then no byte was sent and none will be.
type gate struct {
	mu     sync.Mutex
	opened bool
	closed bool
	before func() error // may refuse the first write
	cause  error        // why before refused
}

// pass is called before each write.
func (g *gate) pass() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errShut
	}
	if g.opened {
		return nil
	}
	if err := g.before(); err != nil {
		g.closed, g.cause = true, err
		return err
	}
	g.opened = true
	return nil
}

// shut closes the gate unless it was opened. It reports whether no byte was
// sent, and why if before refused.
func (g *gate) shut() (unsent bool, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.opened {
		g.closed = true
	}
	return g.closed, g.cause
}

// unsent shuts an open gate after its first write sent nothing.
func (g *gate) unsent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// gatedConn asks the gate before each write.
type gatedConn struct {
	net.Conn
	gate *gate
	sent bool // a byte was taken by the connection
}

// Write sends b if the gate lets it through. The transport writes from one
// goroutine at a time.
func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.pass(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && !c.sent {
		c.gate.unsent()
	}
	c.sent = c.sent || n > 0
	return n, err
}
