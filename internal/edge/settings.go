// Package edge runs one entry host in front of the targets that are registered in
// a platform's store. The host watches the store, serves callers, and drains
// without aborting requests in progress. An Adapter implements the platform's
// protocols.
package edge

import (
	"net/netip"
	"slices"
	"time"
)

// Settings configures an entry host. Host.Reload applies the settings that can
// change while the host runs.
type Settings struct {
	HostID string
	Domain string // failure domain
	// Regions holds the region of each failure domain.
	Regions     map[string]string
	CallersAddr netip.AddrPort
	ReadyAddr   netip.AddrPort
	PeersAddr   netip.AddrPort // disabled if zero
	MetricsAddr netip.AddrPort // disabled if zero
	ForwardAddr netip.AddrPort // for requests of other hosts; disabled if zero
	StoreAddr   netip.AddrPort
	Seeds       []netip.AddrPort // initial peers to contact; some may be down

	// MinContendedObjective is the shortest objective of routes whose long prompts are
	// subject to admission under contention; 0 for none.
	MinContendedObjective time.Duration
	// GracePeriod is the time from the request to terminate until the process is
	// killed.
	GracePeriod time.Duration
	// ApplyWithin is the time within which every host must apply a change in the
	// store.
	ApplyWithin time.Duration
	// RevokeWithin is the time within which every host must reject a removed key; 0
	// if this only binds hosts that can reach the store.
	RevokeWithin time.Duration
	// RetryRatio and RetryBurst bound the retries of all hosts together: a ratio
	// of the requests, and a number on top of that.
	RetryRatio float64
	RetryBurst float64
	// RetryWindow is the time in which they are bounded; 0 for a default.
	RetryWindow time.Duration
	// MaxReservationLease is the longest lease of an engine memory reservation.
	MaxReservationLease time.Duration
	// MemoryReleaseBound is the longest time that engine memory may stay reserved
	// after its request ends.
	MemoryReleaseBound time.Duration
	// MemoryBytes is the memory of the process, which is killed beyond it; 0 if it is not
	// limited.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may have open; 0 if it is
	// not limited.
	MaxDescriptors int
	// MaxIdleReservation is the longest time that engine memory may stay reserved
	// while no request uses it; 0 for no limit.
	MaxIdleReservation time.Duration
}

// expectsPeers reports whether there are other hosts: a seed that is not this host.
func (s Settings) expectsPeers() bool {
	return slices.ContainsFunc(s.Seeds, func(seed netip.AddrPort) bool { return seed != s.PeersAddr })
}
