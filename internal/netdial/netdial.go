// Package netdial opens TCP connections that detect a dead network path. A device
// on the path may drop its connection state without notifying either end.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT).
	unackedTimeout = 1200 * time.Millisecond
	// TCP keepalive settings: a connection idle for probeIdle is probed every
	// probeInterval and closed after probeCount probes without an answer. The kernel
	// takes whole seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// New returns a dialer with TCP keepalive and TCP_USER_TIMEOUT set. timeout limits
// connection setup.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUnackedTimeout,
	}
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
