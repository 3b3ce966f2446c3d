// Package httpwire checks HTTP/1 responses as they arrive on a client's connection. It is
// stricter than net/http, which takes some broken responses for sound ones.
package httpwire

import (
	"errors"
	"io"
	"net"
	"sync"
)

// ErrReset means that a connection was reset. What has been read of a response that ends with
// its connection may be a part of it.
var ErrReset = errors.New("connection was reset, so the response may not be whole; do not use it")

// Conn is a client's connection. A read checks the head of each response. The end of a response
// that ends with its connection is believed once its request has been sent whole: a sender that
// closes the connection before that resets it, and the kernel may report the reset to a write
// alone and let reads see an ordinary end. A Conn is as safe for concurrent use as the connection
// that it wraps.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	changed sync.Cond // of the fields below, with mu
	head    head
	sending bool // a request has begun and has not been handed over whole
	writing int  // writes in progress
	failed  bool // a write has failed
	closed  bool
}

// Wrap returns a connection that checks what is read from conn.
func Wrap(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.changed.L = &c.mu
	return c
}

// BeginRequest makes the next bytes that are read count as the head of a response. It is called
// before the first byte of a request is sent.
func (c *Conn) BeginRequest() {
	c.update(func() {
		c.head = head{expected: true}
		c.sending = true
	})
}

// EndRequest tells that all bytes of the request have been handed to the writer.
func (c *Conn) EndRequest() { c.update(func() { c.sending = false }) }

// update changes the state and wakes the read that waits for it.
func (c *Conn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.changed.Broadcast()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.update(func() { c.writing++ })
	n, err := c.Conn.Write(p)
	c.update(func() {
		c.writing--
		c.failed = c.failed || err != nil
	})
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.update(func() { c.closed = true })
	return c.Conn.Close()
}

// Read implements net.Conn. It returns an *Error in place of a malformed head, and ErrReset in
// place of the io.EOF of a response that was reset. It waits with the latter until the request
// has been sent.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if malformed := c.head.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) && c.head.closeDelimited && !c.awaitSent() {
		return n, ErrReset
	}
	return n, err
}

// awaitSent waits until the request has been sent and reports whether it could be. The caller
// holds mu.
func (c *Conn) awaitSent() bool {
	for (c.sending || c.writing > 0) && !c.failed && !c.closed {
		c.changed.Wait()
	}
	return !c.failed && !c.closed
}
