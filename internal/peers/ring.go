package peers

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ringPosition returns the hash of a host's address. All hosts order each other by
// it, so they agree on hubs and readers without coordination.
func ringPosition(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }
