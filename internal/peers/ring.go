package peers

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ringPosition is where a host stands on the ring.
func ringPosition(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }
