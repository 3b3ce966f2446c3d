package service

import (
	"errors"
	"net"
	"sync"
)

// errDeadlinePassed refuses a first byte after its time.
var errDeadlinePassed = errors.New("the time limit passed before anything was sent")

// errAbandoned is what a write gets after its attempt was given up.
var errAbandoned = errors.New("the attempt was given up before anything was sent")

// sendGate stands before the first byte of one attempt. It either lets the attempt
// through once, or is shut for good: then no byte was sent and none will be.
type sendGate struct {
	mu          sync.Mutex
	opened      bool
	closed      bool
	beforeFirst func() error // may refuse the first write
	cause       error        // why before refused
}

// allowWrite is called before each write.
func (g *sendGate) allowWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errAbandoned
	}
	if g.opened {
		return nil
	}
	if err := g.beforeFirst(); err != nil {
		g.closed, g.cause = true, err
		return err
	}
	g.opened = true
	return nil
}

// closeIfUnsent closes the gate unless it was opened. It reports whether no byte was
// sent, and why if before refused.
func (g *sendGate) closeIfUnsent() (unsent bool, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.opened {
		g.closed = true
	}
	return g.closed, g.cause
}

// closeUnsent shuts an open gate after its first write sent nothing.
func (g *sendGate) closeUnsent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// gatedConn asks the gate before each write.
type gatedConn struct {
	net.Conn
	gate *sendGate
	sent bool // a byte was taken by the connection
}

// Write sends b if the gate lets it through. The transport writes from one
// goroutine at a time.
func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.allowWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && !c.sent {
		c.gate.closeUnsent()
	}
	c.sent = c.sent || n > 0
	return n, err
}
