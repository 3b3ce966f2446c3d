// Package loopback hands out addresses on loopback that stay free until the caller
// binds them, also while a process that used one is stopped and restarted. A port
// that the kernel picks and that is then closed has no such guarantee: any later
// connection may get it as its local port.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// lockPort is bound on an IP for as long as a process uses that IP.
	lockPort = 9999
	// firstPort and lastPort bound the ports handed out. They lie below the ports
	// that the kernel picks for outgoing connections.
	firstPort = 10000
	lastPort  = 29999
	// maxLockAttempts limits how many IPs are tried.
	maxLockAttempts = 100
)

// ipRange hands out the ports of one IP that this process has locked.
type ipRange struct {
	lock net.Listener

	mu   sync.Mutex
	next uint16
}

var processRange = sync.OnceValues(newIPRange)

// FreeAddr returns an address that neither this nor another user of this package
// has been given. Its port is not the local port of any connection.
func FreeAddr() (netip.AddrPort, error) {
	r, err := processRange()
	if err != nil {
		return netip.AddrPort{}, err
	}
	return r.freeAddr()
}

// newIPRange locks a random IP of 127.0.0.0/8.
func newIPRange() (*ipRange, error) {
	var lastErr error
	for range maxLockAttempts {
		lock, err := net.Listen("tcp", netip.AddrPortFrom(randomIP(), lockPort).String())
		if err == nil {
			return &ipRange{lock: lock, next: firstPort}, nil
		}
		lastErr = err
	}
	return nil, eris.Wrapf(lastErr, "no loopback IP whose port %d is free, end the process that listens on it", lockPort)
}

// randomIP returns an IP of 127.0.0.0/8 other than the usual 127.0.x.y.
func randomIP() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
}

// freeAddr returns the next port that can be bound. A port may be taken by a process
// that listens on all IPs.
func (r *ipRange) freeAddr() (netip.AddrPort, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ip := r.lock.Addr().(*net.TCPAddr).AddrPort().Addr()
	for r.next <= lastPort {
		addr := netip.AddrPortFrom(ip, r.next)
		r.next++
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		l.Close()
		return addr, nil
	}
	return netip.AddrPort{}, eris.Errorf("all ports of %s up to %d are given out, use fewer addresses in one process", ip, lastPort)
}
