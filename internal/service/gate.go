package service

import (
	"errors"
	"sync"

	"github.com/plantainrun/plantainrun/internal/httpwire"
)

// errDeadlinePassed is returned instead of sending the first byte after its
// deadline.
var errDeadlinePassed = errors.New("the time limit passed before anything was sent")

// errAbandoned is returned by writes after the attempt was abandoned.
var errAbandoned = errors.New("the attempt was given up before anything was sent")

// sendGate controls the writes of one attempt. It is either opened by the first
// write, or closed permanently: then no byte was sent and none will be.
type sendGate struct {
	mu          sync.Mutex
	opened      bool
	closed      bool
	beforeFirst func() error // called before the first write; an error closes the gate
	cause       error        // error of beforeFirst
}

// allowWrite is called before each write and returns an error if the write must
// not happen. The first write opens the gate.
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
// sent, and returns the error of beforeFirst, if any.
func (g *sendGate) closeIfUnsent() (unsent bool, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.opened {
		g.closed = true
	}
	return g.closed, g.cause
}

// closeUnsent closes an open gate after the first write failed without sending
// anything.
func (g *sendGate) closeUnsent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// gatedConn is a connection whose writes need the permission of a sendGate.
type gatedConn struct {
	*httpwire.Conn
	gate *sendGate
	sent bool // the connection accepted at least one byte
}

// Write writes b if the gate allows it. No lock protects c.sent: the transport
// writes from one goroutine at a time.
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
