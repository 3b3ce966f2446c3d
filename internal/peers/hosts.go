package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

// hostTable remembers the hosts that were heard of. It is safe for concurrent use.
type hostTable struct {
	self  netip.AddrPort
	seeds []netip.AddrPort

	mu    sync.Mutex
	hosts map[netip.AddrPort]*hostEntry
}

type hostEntry struct {
	host    *peerspb.Host
	heardAt time.Time // directly
	namedAt time.Time // by anyone
}

func newHostTable(self netip.AddrPort, seeds []netip.AddrPort) *hostTable {
	return &hostTable{self: self, seeds: seeds, hosts: make(map[netip.AddrPort]*hostEntry)}
}

// heard notes a message of a host itself.
func (t *hostTable) heard(h *peerspb.Host, now time.Time) {
	if e := t.note(h, now); e != nil {
		t.mu.Lock()
		e.heardAt = now
		t.mu.Unlock()
	}
}

// mention notes that a peer knows a host.
func (t *hostTable) mention(h *peerspb.Host, now time.Time) { t.note(h, now) }

func (t *hostTable) note(h *peerspb.Host, now time.Time) *hostEntry {
	addr, err := netip.ParseAddrPort(h.GetAddr())
	if err != nil || addr == t.self {
		return nil // no peer that could be dialled
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[addr]
	if e == nil {
		e = &hostEntry{}
		t.hosts[addr] = e
	}
	e.host = h
	e.namedAt = now
	return e
}

// lately returns the hosts heard directly within the heartbeat timeout.
func (t *hostTable) lately(now time.Time) []*peerspb.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerspb.Host
	for _, e := range t.hosts {
		if now.Sub(e.heardAt) < heartbeatTimeout {
			out = append(out, e.host)
		}
	}
	return out
}

// count is the number of hosts that are not forgotten yet.
func (t *hostTable) count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	return len(t.hosts)
}

func (t *hostTable) forget(now time.Time) {
	for addr, e := range t.hosts {
		if now.Sub(e.namedAt) > forgetAfter {
			delete(t.hosts, addr)
		}
	}
}

// toDial returns the addresses to keep links to: seeds, and the hosts heard of.
func (t *hostTable) toDial(now time.Time, most int) map[netip.AddrPort]struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	known := make([]netip.AddrPort, 0, len(t.hosts))
	for addr := range t.hosts {
		known = append(known, addr)
	}
	slices.SortFunc(known, func(a, b netip.AddrPort) int { return cmp.Compare(t.distance(a), t.distance(b)) })
	out := make(map[netip.AddrPort]struct{}, len(known))
	for _, addr := range append(slices.Clone(t.seeds), known...) {
		if addr != t.self && len(out) < most {
			out[addr] = struct{}{}
		}
	}
	return out
}

// distance orders hosts on a ring that begins at this host, so that the hosts
// that are sent to are spread evenly when there are too many for all.
func (t *hostTable) distance(a netip.AddrPort) uint64 {
	return position(a) - position(t.self)
}
