// Package httpwire checks HTTP/1 responses as they arrive on a client's connection. It is
// stricter than net/http, which takes some broken responses for sound ones.
package httpwire

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrReset means that a connection was reset. What has been read of a response that ends with
// its connection may be a part of it.
var ErrReset = errors.New("connection was reset, so the response may not be whole; do not use it")

// Conn is a client's TCP connection. A read checks the head of each response, and reports each
// reset: the kernel reports a reset once, to a read or to a write, whichever comes first, and
// lets later reads see an ordinary end. A Conn is as safe for concurrent use as the connection
// that it wraps.
type Conn struct {
	net.Conn

	headMu sync.Mutex
	head   head

	mu      sync.Mutex
	writing int  // writes in progress
	failed  bool // a write has failed
}

// Wrap returns a connection that checks what is read from conn.
func Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing++
}

func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.failed = c.failed || err != nil
}

// ExpectResponse makes the next bytes that are read count as the head of a response. It is
// called before a request is sent, for the first byte of its response.
func (c *Conn) ExpectResponse() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = head{expected: true}
}

func (c *Conn) checkHead(p []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.check(p)
}

// Read implements net.Conn. It returns an *Error in place of a malformed head, and ErrReset in
// place of io.EOF if the connection was reset.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.checkHead(p[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) && c.maybeReset() {
		return n, ErrReset
	}
	return n, err
}

// maybeReset reports whether a write may have been told of a reset, at the end of what can be
// read.
func (c *Conn) maybeReset() bool {
	c.mu.Lock()
	writing, failed := c.writing > 0, c.failed
	c.mu.Unlock()
	if failed {
		return true
	}
	return writing && !endReceived(c.Conn)
}

// endReceived reports whether the peer has ended its side of the connection, and has not reset
// it since.
func endReceived(conn net.Conn) bool {
	withFD, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withFD.SyscallConn()
	if err != nil {
		return false // closed
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && ended
}
