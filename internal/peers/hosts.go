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
	addr     netip.AddrPort
	host     *peerspb.Host
	heardAt  time.Time // by anyone
	newAt    time.Time // when this host heard of it first
	failedAt time.Time // when no connection came up, or one was lost
	muteAt   time.Time // when it did not answer in time
}

// failureMemory is how long a host without a connection is passed over, and
// one that did not answer is not asked first.
const failureMemory = 8 * time.Second

func newHostTable(self netip.AddrPort, domain string, seeds []netip.AddrPort) *hostTable {
	return &hostTable{self: self, domain: domain, seeds: seeds, hosts: make(map[netip.AddrPort]*hostEntry)}
}

// heard notes a message of a host itself.
func (t *hostTable) heard(h *peerspb.Host, now time.Time) { t.note(h, now, now) }

// mention notes that a peer knows a host.
func (t *hostTable) mention(h *peerspb.Host, now time.Time) {
	t.note(h, now.Add(-time.Duration(h.GetQuietMs())*time.Millisecond), now)
}

func (t *hostTable) note(h *peerspb.Host, heardAt, now time.Time) {
	addr, err := netip.ParseAddrPort(h.GetAddr())
	if err != nil || addr == t.self || now.Sub(heardAt) > forgetAfter {
		return // no peer that could be dialled
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[addr]
	if e == nil {
		e = &hostEntry{addr: addr, newAt: now}
		t.hosts[addr] = e
	}
	if heardAt.After(e.heardAt) {
		e.heardAt = heardAt
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

// unanswered notes that a host did not answer in time. It is still told of jobs.
func (t *hostTable) unanswered(addr netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.hosts[addr]; e != nil {
		e.muteAt = now
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
		if e.newAt.After(since) || rand.IntN(len(t.hosts)) < gossipSample {
			out = append(out, &peerspb.Host{
				Id: e.host.GetId(), StartedMs: e.host.GetStartedMs(), Addr: e.host.GetAddr(), Domain: e.host.GetDomain(),
				QuietMs: uint32(now.Sub(e.heardAt).Milliseconds()),
			})
		}
	}
	return out
}

// heardOfNew reports whether a host was first heard of after a time.
func (t *hostTable) heardOfNew(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.hosts {
		if e.newAt.After(since) {
			return true
		}
	}
	return false
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
		if now.Sub(e.heardAt) > forgetAfter {
			delete(t.hosts, addr)
		}
	}
}

// route says how an address is reached.
type route struct {
	domain string
	jobs   bool // this host's jobs are told there
	passOn bool // the host there tells its failure domain
}

// carries reports whether news of jobs goes there.
func (r route) carries() bool { return r.jobs || r.passOn }

// routes returns the addresses to keep links to: all hosts of the own failure
// domain, and of each other domain all hosts if they are few, else one hub.
// Jobs are told to all hosts of a small domain, and to one hub of a large one,
// which passes them on. Seeds are dialled until they are heard of.
func (t *hostTable) routes(now time.Time) map[netip.AddrPort]route {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
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
		few := len(entries) <= directHosts
		hub, selfIsHub := t.hub(entries, own, now)
		for _, e := range entries {
			isHub := e.addr == hub && !few && (!own || !selfIsHub)
			if own || few || isHub {
				out[e.addr] = route{domain: domain, jobs: few || isHub || (own && selfIsHub), passOn: isHub}
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
		if !e.failed(now) {
			candidates = append(candidates, e.addr)
		}
	}
	slices.SortFunc(candidates, func(a, b netip.AddrPort) int { return cmp.Compare(position(a), position(b)) })
	hubs := candidates[:min(len(candidates), hubsPerDomain)]
	if len(hubs) == 0 {
		return netip.AddrPort{}, false
	}
	return hubs[position(t.self)%uint64(len(hubs))], slices.Contains(hubs, t.self)
}

// failed reports whether no connection to the host came up lately.
func (e *hostEntry) failed(now time.Time) bool {
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) < failureMemory
}

// mute reports whether the host did not answer lately.
func (e *hostEntry) mute(now time.Time) bool {
	return !e.muteAt.IsZero() && now.Sub(e.muteAt) < failureMemory
}

// readers returns the addresses of the hosts of the own failure domain that
// watch the store, this one possibly included.
func (t *hostTable) readers(now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	near := []netip.AddrPort{t.self}
	for _, e := range t.hosts {
		if e.host.GetDomain() == t.domain && now.Sub(e.heardAt) < quietHeartbeatTimeout && !e.failed(now) && !e.mute(now) {
			near = append(near, e.addr)
		}
	}
	slices.SortFunc(near, func(a, b netip.AddrPort) int { return cmp.Compare(position(a), position(b)) })
	if len(near) <= allRead {
		return near
	}
	return near[:readersPerDomain]
}
