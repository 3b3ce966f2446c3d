// Package netdial opens TCP connections that notice a silent path: something
// between the two ends may forget a connection without telling either.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may go without an acknowledgement
	// before the connection counts as dead.
	unackedTimeout = 1200 * time.Millisecond
	probeIdle      = time.Second
	probeInterval  = 500 * time.Millisecond
	probeCount     = 3
)

// New returns a dialer that waits for a connection for at most timeout.
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
