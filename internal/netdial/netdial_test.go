package netdial_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/plantainrun/plantainrun/internal/netdial"
)

const (
	// memoryReleaseBound is the users' limit on how long engine memory may stay reserved
	// after its request, which may have ended because a target fell silent.
	memoryReleaseBound = 4 * time.Second
	// releaseTime is left of it for the release.
	releaseTime = time.Second
)

// A connection that waits for a response sends nothing, so only keepalive probes find
// out that the other end is gone.
func TestIdleConnectionToDeadHostIsClosedInTime(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	conn, err := netdial.New(time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	idle, interval, count := option(g, conn, unix.TCP_KEEPIDLE), option(g, conn, unix.TCP_KEEPINTVL), option(g, conn, unix.TCP_KEEPCNT)
	detection := time.Duration(idle+interval*count) * time.Second
	g.Expect(detection).To(BeNumerically("<=", memoryReleaseBound-releaseTime))
	g.Expect(count).To(BeNumerically(">=", 2), "a single lost probe closes no connection")
}

func option(g *WithT, conn net.Conn, name int) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	var value int
	var optErr error
	g.Expect(raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })).To(Succeed())
	g.Expect(optErr).NotTo(HaveOccurred())
	return value
}
