// Package netlisten opens TCP listeners. An address may be taken for a moment when a process
// starts: by a connection that got it as its local address, or by a process that is ending.
package netlisten

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// bindTimeout is how long an address may be taken before the start fails.
	bindTimeout = 5 * time.Second
	// bindInterval is the time between two tries.
	bindInterval = 50 * time.Millisecond
	// sendBufferBytes bounds what the system keeps for an accepted connection whose other side
	// does not read. By itself it keeps megabytes.
	sendBufferBytes = 64 << 10
	// waitingBufferBytes is what the system keeps of what arrives on a connection that is not
	// accepted yet, and acceptedBufferBytes on an accepted one.
	waitingBufferBytes  = 8 << 10
	acceptedBufferBytes = 256 << 10
)

// Listen listens on an address. If it is taken, it tries again for bindTimeout or until ctx
// ends.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: boundSendBuffer}
	deadline := time.Now().Add(bindTimeout)
	for {
		listener, err := config.Listen(ctx, "tcp", addr.String())
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(bindInterval):
		}
	}
}

// boundSendBuffer sets the size of the send buffer of a listening socket, which accepted
// connections inherit.
func boundSendBuffer(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
	})
	return errors.Join(err, optionErr)
}

// BoundWaiting bounds what the system keeps for connections that are not accepted yet: their
// number, and what arrives on each. Accepted connections must be passed to Widen.
func BoundWaiting(listener net.Listener, connections int) error {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr, listenErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, waitingBufferBytes)
		listenErr = syscall.Listen(int(fd), connections)
	})
	return errors.Join(err, optionErr, listenErr)
}

// Widen lets an accepted connection receive at full speed.
func Widen(accepted net.Conn) error {
	conn, ok := accepted.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var clampErr error
	err = raw.Control(func(fd uintptr) {
		clampErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, acceptedBufferBytes)
	})
	return errors.Join(conn.SetReadBuffer(acceptedBufferBytes), err, clampErr)
}
