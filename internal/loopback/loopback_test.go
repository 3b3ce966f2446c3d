package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// A host that is restarted must get its port back, however many connections are
// opened while it is down. The kernel gives outgoing connections the ports of its
// ephemeral range only.
func TestAddrsAreOutsideTheEphemeralRange(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	g.Expect(err).NotTo(HaveOccurred())
	var firstEphemeral uint16
	_, err = fmt.Sscan(string(text), &firstEphemeral)
	g.Expect(err).NotTo(HaveOccurred())
	addr, err := FreeAddr()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(addr.Port()).To(BeNumerically("<", firstEphemeral))
	g.Expect(uint16(lastPort)).To(BeNumerically("<", firstEphemeral))
}

// Two processes never get the same address, since each locks an IP of its own.
func TestAddrsAreUnique(t *testing.T) {
	g := NewWithT(t)
	seen := make(map[netip.AddrPort]bool)
	for range 8 {
		r, err := newIPRange()
		g.Expect(err).NotTo(HaveOccurred())
		defer r.lock.Close()
		_, err = net.Listen("tcp", r.lock.Addr().String())
		g.Expect(err).To(HaveOccurred(), "the IP is locked")
		for range 4 {
			addr, err := r.freeAddr()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seen[addr]).To(BeFalse())
			seen[addr] = true
		}
	}
}

// A port on which another process listens on all IPs is left out.
func TestPortsInUseAreSkipped(t *testing.T) {
	g := NewWithT(t)
	r, err := newIPRange()
	g.Expect(err).NotTo(HaveOccurred())
	defer r.lock.Close()
	ip := r.lock.Addr().(*net.TCPAddr).AddrPort().Addr()
	taken, err := net.Listen("tcp", netip.AddrPortFrom(ip, firstPort).String())
	g.Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	addr, err := r.freeAddr()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(addr.Port()).To(Equal(uint16(firstPort + 1)))
}
