package peers

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

// hostTable remembers the hosts that were heard of. It is safe for concurrent use.
type hostTable struct {
	self   netip.AddrPort
	domain string
	seeds  []netip.AddrPort

	mu    sync.Mutex
	hosts map[netip.AddrPort]*hostEntry
}

type hostEntry struct {
	addr           netip.AddrPort
	host           *peerspb.Host
	lastSeen       time.Time // by anyone
	firstSeen      time.Time // when this host heard of it first
	failedAt       time.Time // when no connection came up, or one was lost
	unresponsiveAt time.Time // when it did not answer in time
}

// failureCooldown is how long a host without a connection is passed over, and
// one that did not answer is not asked first.
const failureCooldown = 8 * time.Second

func newHostTable(self netip.AddrPort, domain string, seeds []netip.AddrPort) *hostTable {
	return &hostTable{self: self, domain: domain, seeds: seeds, hosts: make(map[netip.AddrPort]*hostEntry)}
}

// recordMessage notes a message of a host itself.
func (t *hostTable) recordMessage(h *peerspb.Host, now time.Time) { t.update(h, now, now) }

// recordMention notes that a peer knows a host.
func (t *hostTable) recordMention(h *peerspb.Host, now time.Time) {
	t.update(h, now.Add(-time.Duration(h.GetQuietMs())*time.Millisecond), now)
}

func (t *hostTable) update(h *peerspb.Host, seenAt, now time.Time) {
	addr, err := netip.ParseAddrPort(h.GetAddr())
	if err != nil || addr == t.self || now.Sub(seenAt) > hostTTL {
		return // no peer that could be dialled
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[addr]
	if e == nil {
		e = &hostEntry{addr: addr, firstSeen: now}
		t.hosts[addr] = e
	}
	if seenAt.After(e.lastSeen) {
		e.lastSeen = seenAt
		e.host = h
	}
}

// setReachable notes whether a connection to an address came up.
func (t *hostTable) setReachable(addr netip.AddrPort, reachable bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[addr]
	switch {
	case e == nil:
	case reachable:
		e.failedAt = time.Time{}
	default:
		e.failedAt = now
	}
}

// setUnresponsive notes that a host did not answer in time. It is still told of jobs.
func (t *hostTable) setUnresponsive(addr netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.hosts[addr]; e != nil {
		e.unresponsiveAt = now
	}
}

// gossipSample is how many hosts a heartbeat names beside new ones.
const gossipSample = 3

// gossip returns hosts to name to a peer: those first heard of after since, and
// a few others. A zero since names all.
func (t *hostTable) gossip(since, now time.Time) []*peerspb.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerspb.Host
	for _, e := range t.hosts {
		if e.firstSeen.After(since) || rand.IntN(len(t.hosts)) < gossipSample {
			out = append(out, &peerspb.Host{
				Id: e.host.GetId(), StartedMs: e.host.GetStartedMs(), Addr: e.host.GetAddr(), Domain: e.host.GetDomain(),
				QuietMs: uint32(now.Sub(e.lastSeen).Milliseconds()),
			})
		}
	}
	return out
}

// hasNewHosts reports whether a host was first heard of after a time.
func (t *hostTable) hasNewHosts(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.hosts {
		if e.firstSeen.After(since) {
			return true
		}
	}
	return false
}

// count is the number of hosts that are not forgotten yet.
func (t *hostTable) count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.hosts)
}

func (t *hostTable) expire(now time.Time) {
	for addr, e := range t.hosts {
		if now.Sub(e.lastSeen) > hostTTL {
			delete(t.hosts, addr)
		}
	}
}

// route says how an address is reached.
type route struct {
	domain string
	jobs   bool // this host's jobs are told there
	relay  bool // the host there tells its failure domain
}

// carriesJobs reports whether news of jobs goes there.
func (r route) carriesJobs() bool { return r.jobs || r.relay }

// routes returns the addresses to keep links to: all hosts of the own failure
// domain, and of each other domain all hosts if they are few, else one hub.
// Jobs are told to all hosts of a small domain, and to one hub of a large one,
// which passes them on. Seeds are dialled until they are heard of.
func (t *hostTable) routes(now time.Time) map[netip.AddrPort]route {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	byDomain := make(map[string][]*hostEntry)
	for _, e := range t.hosts {
		byDomain[e.host.GetDomain()] = append(byDomain[e.host.GetDomain()], e)
	}
	out := make(map[netip.AddrPort]route)
	for _, seed := range t.seeds {
		if seed != t.self && t.hosts[seed] == nil {
			out[seed] = route{}
		}
	}
	for domain, entries := range byDomain {
		own := domain == t.domain
		direct := len(entries) <= maxDirectHosts
		hub, selfIsHub := t.hub(entries, own, now)
		for _, e := range entries {
			isHub := e.addr == hub && !direct && (!own || !selfIsHub)
			if own || direct || isHub {
				out[e.addr] = route{domain: domain, jobs: direct || isHub || (own && selfIsHub), relay: isHub}
			}
		}
	}
	return out
}

// hub chooses the host of a domain that passes this host's news on there, and
// reports whether this host is a hub of its own domain. The hubs of a domain
// are the first of an order that all hosts share, so that each bundles the news
// of many hosts.
func (t *hostTable) hub(entries []*hostEntry, own bool, now time.Time) (addr netip.AddrPort, selfIsHub bool) {
	var candidates []netip.AddrPort
	if own {
		candidates = append(candidates, t.self)
	}
	for _, e := range entries {
		if !e.recentlyFailed(now) {
			candidates = append(candidates, e.addr)
		}
	}
	slices.SortFunc(candidates, func(a, b netip.AddrPort) int { return cmp.Compare(ringPosition(a), ringPosition(b)) })
	hubs := candidates[:min(len(candidates), hubsPerDomain)]
	if len(hubs) == 0 {
		return netip.AddrPort{}, false
	}
	return hubs[ringPosition(t.self)%uint64(len(hubs))], slices.Contains(hubs, t.self)
}

// recentlyFailed reports whether no connection to the host came up lately.
func (e *hostEntry) recentlyFailed(now time.Time) bool {
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) < failureCooldown
}

// recentlyUnresponsive reports whether the host did not answer lately.
func (e *hostEntry) recentlyUnresponsive(now time.Time) bool {
	return !e.unresponsiveAt.IsZero() && now.Sub(e.unresponsiveAt) < failureCooldown
}

// readers returns the addresses of the hosts of the own failure domain that
// watch the store, this one possibly included.
func (t *hostTable) readers(now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := []netip.AddrPort{t.self}
	for _, e := range t.hosts {
		if e.host.GetDomain() == t.domain && now.Sub(e.lastSeen) < quietHeartbeatTimeout && !e.recentlyFailed(now) && !e.recentlyUnresponsive(now) {
			candidates = append(candidates, e.addr)
		}
	}
	slices.SortFunc(candidates, func(a, b netip.AddrPort) int { return cmp.Compare(ringPosition(a), ringPosition(b)) })
	if len(candidates) <= maxAllReaders {
		return candidates
	}
	return candidates[:readersPerDomain]
}
