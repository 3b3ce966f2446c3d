// Package edge runs one entry host before targets that are registered in a
// platform's store: it follows what is published, serves callers, and leaves
// without cutting off a request. What speaks to the platform is given to it.
package edge

import (
	"net/netip"
	"time"
)

// Settings of an entry host. They can be read again while it runs.
type Settings struct {
	HostID      string
	Domain      string // failure domain
	CallersAddr netip.AddrPort
	ReadyAddr   netip.AddrPort
	PeersAddr   netip.AddrPort // zero for none
	MetricsAddr netip.AddrPort // zero for none
	StoreAddr   netip.AddrPort
	Seeds       []netip.AddrPort // peers to ask first; some may be down

	// GracePeriod is the time from the request to end until the process is killed.
	GracePeriod time.Duration
	// ApplyWithin is when a change in the store must be in force on every host.
	ApplyWithin time.Duration
	// RevokeWithin is when a removed key must not work any more, on every host;
	// 0 if only hosts in touch with the store are bound.
	RevokeWithin time.Duration
	// RetryRatio and RetryBurst bound second arrivals over all hosts, in
	// proportion to requests and beyond that.
	RetryRatio float64
	RetryBurst float64
	// MaxReservationLease is the longest lease of engine memory.
	MaxReservationLease time.Duration
	// MemoryReleaseBound is how long memory may stay reserved after its request.
	MemoryReleaseBound time.Duration
}
