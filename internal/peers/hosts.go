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

// hostTable holds the known hosts. It is safe for concurrent use.
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
	lastSeen       time.Time // by any host, from messages and gossip
	firstSeen      time.Time // when this host first learned of it
	failedAt       time.Time // last failed or lost connection; zero once a connection is up
	unresponsiveAt time.Time // last missed response deadline
}

// failureCooldown is how long a host is not chosen as a hub or reader after a failed
// connection, and not chosen as a reader after a missed response.
const failureCooldown = 8 * time.Second

func newHostTable(self netip.AddrPort, domain string, seeds []netip.AddrPort) *hostTable {
	return &hostTable{self: self, domain: domain, seeds: seeds, hosts: make(map[netip.AddrPort]*hostEntry)}
}

// recordMessage records that a message from the host itself arrived.
func (t *hostTable) recordMessage(h *peerspb.Host, now time.Time) { t.update(h, now, now) }

// recordMention records a host named in a peer's gossip, which also says how long
// ago the host was last seen.
func (t *hostTable) recordMention(h *peerspb.Host, now time.Time) {
	t.update(h, now.Add(-time.Duration(h.GetQuietMs())*time.Millisecond), now)
}

// update adds a host or moves its lastSeen forward. It ignores this host itself,
// hosts with an invalid address and hosts last seen longer ago than hostTTL.
func (t *hostTable) update(h *peerspb.Host, seenAt, now time.Time) {
	addr, err := netip.ParseAddrPort(h.GetAddr())
	if err != nil || addr == t.self || now.Sub(seenAt) > hostTTL {
		return
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

// setReachable records whether a connection to an address was established.
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

// setUnresponsive records that a host did not respond in time. Its routes stay, so
// it still receives jobs.
func (t *hostTable) setUnresponsive(addr netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.hosts[addr]; e != nil {
		e.unresponsiveAt = now
	}
}

// sortByResponsiveness moves the links to recently unresponsive hosts to the end, in
// the order in which the hosts missed their deadlines. The order of the other links
// stays.
func (t *hostTable) sortByResponsiveness(links []*link, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	missedAt := func(l *link) time.Time {
		if e := t.hosts[l.addr]; e != nil && e.recentlyUnresponsive(now) {
			return e.unresponsiveAt
		}
		return time.Time{}
	}
	slices.SortStableFunc(links, func(a, b *link) int { return missedAt(a).Compare(missedAt(b)) })
}

// gossipSample is the average number of hosts that a heartbeat names in addition
// to new ones.
const gossipSample = 3

// gossip returns the hosts to name to a peer: those first seen after since, and a
// random sample of the others. With a zero since it returns all hosts.
func (t *hostTable) gossip(since, now time.Time) []*peerspb.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerspb.Host
	for _, e := range t.hosts {
		if e.firstSeen.After(since) || rand.IntN(len(t.hosts)) < gossipSample {
			out = append(out, &peerspb.Host{
				Id: e.host.GetId(), StartedMs: e.host.GetStartedMs(), Addr: e.host.GetAddr(), Domain: e.host.GetDomain(),
				QuietMs: uint32(now.Sub(e.lastSeen).Milliseconds()), ForwardAddr: e.host.GetForwardAddr(),
			})
		}
	}
	return out
}

// hasNewHosts reports whether a host was first seen after a time.
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

// ForwardHost is another host that takes requests of this one.
type ForwardHost struct {
	ID     string
	Domain string
	Addr   netip.AddrPort
}

// liveHostTTL is how long after it was last seen a host counts as live.
const liveHostTTL = 20 * time.Second

// forwardHosts returns the hosts that take requests of other hosts, sorted by id.
func (t *hostTable) forwardHosts(now time.Time) []ForwardHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ForwardHost
	for _, e := range t.hosts {
		addr, err := netip.ParseAddrPort(e.host.GetForwardAddr())
		if err != nil || now.Sub(e.lastSeen) > liveHostTTL {
			continue // takes none, or is probably gone
		}
		out = append(out, ForwardHost{ID: e.host.GetId(), Domain: e.host.GetDomain(), Addr: addr})
	}
	slices.SortFunc(out, func(a, b ForwardHost) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// count returns the number of hosts last seen within hostTTL.
func (t *hostTable) count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.hosts)
}

// domainCount returns the number of failure domains of this host and of the hosts last seen
// within hostTTL.
func (t *hostTable) domainCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	domains := map[string]bool{t.domain: true}
	for _, e := range t.hosts {
		domains[e.host.GetDomain()] = true
	}
	return len(domains)
}

// expire removes hosts last seen longer ago than hostTTL. The caller holds mu.
func (t *hostTable) expire(now time.Time) {
	for addr, e := range t.hosts {
		if now.Sub(e.lastSeen) > hostTTL {
			delete(t.hosts, addr)
		}
	}
}

// route describes what the link to an address is used for.
type route struct {
	domain string
	jobs   bool // the link carries this host's jobs
	relay  bool // the peer relays the jobs to its failure domain
}

// carriesJobs reports whether updates of jobs are sent on the link.
func (r route) carriesJobs() bool { return r.jobs || r.relay }

// routes returns the addresses to keep links to: all hosts of this host's failure
// domain, and of each other domain all hosts if there are at most maxDirectHosts,
// else one hub. Jobs are sent to all hosts of a small domain, and to one hub of a
// large domain, which relays them. A seed is dialled until its host is known.
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
		hub, selfIsHub := t.hub(entries, hubCount(len(t.hosts), len(entries)), own, now)
		for _, e := range entries {
			isHub := e.addr == hub && !direct && (!own || !selfIsHub)
			if own || direct || isHub {
				out[e.addr] = route{domain: domain, jobs: direct || isHub || (own && selfIsHub), relay: isHub}
			}
		}
	}
	return out
}

// hubCount returns how many hosts of a domain relay the updates of other hosts there. What a hub
// sends grows with the hosts that it relays for and with those that it relays to.
func hubCount(hosts, receivers int) int {
	return max(minHubsPerDomain, (hosts*receivers+maxRelayPairs-1)/maxRelayPairs)
}

// hub returns the host of a domain that relays this host's updates there, and
// reports whether this host is a hub of its own domain. The hubs of a domain are
// the first reachable hosts in an order that all hosts share, so that each hub
// batches the updates of many hosts.
func (t *hostTable) hub(entries []*hostEntry, count int, own bool, now time.Time) (addr netip.AddrPort, selfIsHub bool) {
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
	hubs := candidates[:min(len(candidates), count)]
	if len(hubs) == 0 {
		return netip.AddrPort{}, false
	}
	return hubs[ringPosition(t.self)%uint64(len(hubs))], slices.Contains(hubs, t.self)
}

// recentlyFailed reports whether a connection to the host failed or was lost within
// failureCooldown and none was established since.
func (e *hostEntry) recentlyFailed(now time.Time) bool {
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) < failureCooldown
}

// recentlyUnresponsive reports whether the host missed a response deadline within
// failureCooldown.
func (e *hostEntry) recentlyUnresponsive(now time.Time) bool {
	return !e.unresponsiveAt.IsZero() && now.Sub(e.unresponsiveAt) < failureCooldown
}

// readers returns the addresses of the hosts in this host's failure domain that
// watch the store, possibly including this host.
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

// liveHosts returns the ids of the hosts of a failure domain that were seen lately, selfID
// included if it is this host's domain; of all hosts if there are none.
func (t *hostTable) liveHosts(domain, selfID string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []string{selfID}
	var inDomain []string
	if domain == t.domain {
		inDomain = append(inDomain, selfID)
	}
	for _, e := range t.hosts {
		if now.Sub(e.lastSeen) > liveHostTTL || e.recentlyFailed(now) {
			continue
		}
		all = append(all, e.host.GetId())
		if e.host.GetDomain() == domain {
			inDomain = append(inDomain, e.host.GetId())
		}
	}
	if len(inDomain) == 0 {
		return all
	}
	return inDomain
}
