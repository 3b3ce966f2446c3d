package membership

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// viewMaxAge bounds how long expired facts still count in a view.
const viewMaxAge = time.Second

// view is a snapshot of the live hosts.
type view struct {
	version uint64
	built   time.Time
	live    map[string][]string // by failure domain, sorted
}

// HostState returns the state of a host for new work.
func (t *Table) HostState(id string) State { return t.state(key{KindHost, id}) }

// TargetState returns the state of a target for new work. Only Live may get any; Unknown means
// that no list names the target.
func (t *Table) TargetState(id string) State { return t.state(key{KindTarget, id}) }

func (t *Table) state(k key) State {
	state := Unknown
	t.read(k, func(m *member, at moment) { state = m.effective(at) })
	return state
}

// HostIncarnation returns the current incarnation of a host, if one was heard of.
func (t *Table) HostIncarnation(id string) (identity.Incarnation, bool) {
	var text string
	t.read(key{KindHost, id}, func(m *member, _ moment) { text = m.incarnation })
	inc, err := identity.Parse(text)
	return inc, err == nil
}

// IncarnationGone reports whether a host's process is known to be gone: it said so, a later
// process of the same host was seen, or the host is off the list for longer than lists lag and
// was not seen since. False means that it may still run.
func (t *Table) IncarnationGone(inc identity.Incarnation) bool {
	gone := false
	t.read(key{KindHost, inc.Host}, func(m *member, at moment) { gone = m.isGone(inc.String(), at) })
	return gone
}

// LiveHosts returns the live hosts of a failure domain, sorted. The caller must not change it.
func (t *Table) LiveHosts(domain string) []string { return t.current().live[domain] }

// Responsible returns the host that looks after a target, by rendezvous hashing over
// the live hosts of the target's failure domain; "" if there is none. Two views may
// name two hosts: what the responsible host does must be harmless when done twice.
func (t *Table) ResponsibleHost(target string) string {
	var domain string
	t.read(key{KindTarget, target}, func(m *member, _ moment) { domain = m.domain })
	return rendezvous.Owner(target, t.LiveHosts(domain))
}

// Readers returns the hosts of a failure domain that watch the platform for the others, at
// most count of them.
func (t *Table) Readers(domain string, count int) []string {
	return rendezvous.Top("readers", t.LiveHosts(domain), count)
}

// current returns the snapshot of live hosts, rebuilt after changes.
func (t *Table) current() *view {
	v := t.view.Load()
	now := t.clk.Now()
	if v != nil && v.version == t.version.Load() && now.Sub(v.built) < viewMaxAge && !now.Before(v.built) {
		return v
	}
	fresh := &view{version: t.version.Load(), built: now, live: make(map[string][]string)}
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
	at := t.moment(KindHost)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, m := range s.members {
		if k.kind == KindHost && m.effective(at) == Live {
			live[m.domain] = append(live[m.domain], k.id)
		}
	}
}

func (t *Table) read(k key, look func(*member, moment)) {
	s := t.shard(k)
	at := t.moment(k.kind)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if m := s.members[k]; m != nil {
		look(m, at)
	}
}

// Stats are a table's counters.
type Stats struct {
	Members int
	Applied uint64 // events from peers that were news
	Dropped uint64 // events for which the table had no room
}

// Stats returns the counters.
func (t *Table) Stats() Stats {
	return Stats{Members: int(t.count.Load()), Applied: t.applied.Load(), Dropped: t.dropped.Load()}
}

// String summarises the table for logs and status pages.
func (t *Table) String() string {
	hosts, targets := t.Revisions()
	return fmt.Sprintf("%d members, host list %d, target list %d", t.count.Load(), hosts, targets)
}
