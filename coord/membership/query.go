package membership

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// viewMaxAge limits how long an expired fact can still affect a view.
const viewMaxAge = time.Second

// view is a snapshot of the live hosts.
type view struct {
	version uint64
	builtAt time.Time
	live    map[string][]string // by failure domain, sorted
}

// HostState returns the state of a host for new work.
func (t *Table) HostState(id string) State { return t.state(memberKey{KindHost, id}) }

// TargetState returns the state of a target for new work. Only a Live target may get work;
// Unknown means that no list contains the target.
func (t *Table) TargetState(id string) State { return t.state(memberKey{KindTarget, id}) }

func (t *Table) state(k memberKey) State {
	state := Unknown
	t.read(k, func(m *member, ec evalContext) { state = m.effectiveState(ec) })
	return state
}

// HostIncarnation returns the current incarnation of a host, if one is known.
func (t *Table) HostIncarnation(id string) (identity.Incarnation, bool) {
	var text string
	t.read(memberKey{KindHost, id}, func(m *member, _ evalContext) { text = m.incarnation })
	inc, err := identity.Parse(text)
	return inc, err == nil
}

// IncarnationGone reports whether a host's process is known to be gone: it announced so, a later
// process of the same host was seen, or the host has been unlisted and not been seen for at
// least MaxListLag. False means that the process may still be running.
func (t *Table) IncarnationGone(inc identity.Incarnation) bool {
	gone := false
	t.read(memberKey{KindHost, inc.Host}, func(m *member, ec evalContext) { gone = m.isIncarnationGone(inc.String(), ec) })
	return gone
}

// LiveHosts returns the live hosts of a failure domain, sorted. The caller must not modify the
// slice.
func (t *Table) LiveHosts(domain string) []string { return t.currentView().live[domain] }

// ResponsibleHost returns the host that manages a target, chosen by rendezvous hashing over
// the live hosts of the target's failure domain, or "" if there is none. Hosts with different
// views may choose different hosts, so whatever the responsible host does must be idempotent.
func (t *Table) ResponsibleHost(target string) string {
	var domain string
	t.read(memberKey{KindTarget, target}, func(m *member, _ evalContext) { domain = m.domain })
	return rendezvous.Owner(target, t.LiveHosts(domain))
}

// Readers returns up to count live hosts of a failure domain, which watch the published
// values on behalf of the others.
func (t *Table) Readers(domain string, count int) []string {
	return rendezvous.Top("readers", t.LiveHosts(domain), count)
}

// currentView returns the snapshot of live hosts. It builds a new one after a change of a host
// and once the last one is older than viewMaxAge.
func (t *Table) currentView() *view {
	v := t.view.Load()
	now := t.clk.Now()
	if v != nil && v.version == t.version.Load() && now.Sub(v.builtAt) < viewMaxAge && !now.Before(v.builtAt) {
		return v
	}
	fresh := &view{version: t.version.Load(), builtAt: now, live: make(map[string][]string)}
	for i := range t.shards {
		t.collectLive(&t.shards[i], fresh.live)
	}
	for _, hosts := range fresh.live {
		slices.Sort(hosts)
	}
	t.view.Store(fresh)
	return fresh
}

func (t *Table) collectLive(s *shard, live map[string][]string) {
	ec := t.evalContext(KindHost)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, m := range s.members {
		if k.kind == KindHost && m.effectiveState(ec) == Live {
			live[m.domain] = append(live[m.domain], k.id)
		}
	}
}

func (t *Table) read(k memberKey, fn func(*member, evalContext)) {
	s := t.shard(k)
	ec := t.evalContext(k.kind)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if m := s.members[k]; m != nil {
		fn(m, ec)
	}
}

// Stats holds the counters of a table.
type Stats struct {
	Members int
	Applied uint64 // events from peers that were new to the table
	Dropped uint64 // events that were dropped because the table was full
}

// Stats returns the number of members and the event counters.
func (t *Table) Stats() Stats {
	return Stats{Members: int(t.memberCount.Load()), Applied: t.applied.Load(), Dropped: t.dropped.Load()}
}

// String returns a summary of the table for logs and status pages.
func (t *Table) String() string {
	hosts, targets := t.Revisions()
	return fmt.Sprintf("%d members, host list %d, target list %d", t.memberCount.Load(), hosts, targets)
}
