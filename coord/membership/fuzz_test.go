package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/membership"
)

const (
	tables     = 3
	members    = 3
	maxListLag = 30 * time.Second
	// trackedProcesses is the number of latest processes of a host among which a table has to
	// recognise all but the newest as gone.
	trackedProcesses = 8
)

// process is the actual state of one process of a host or target.
type process struct {
	name    string
	started time.Time
	leaving bool
}

// publishedList is one revision of the target list.
type publishedList struct {
	leaving [members]bool
	absent  [members]bool
}

// model is the test oracle: the actual state, and the information that each table received.
type model struct {
	clk              *clock.Manual
	tables           [tables]*membership.Table
	hosts            [members][]process // by start, newest last
	targets          [members][]process
	lists            []publishedList // revision n is lists[n-1]
	currentRevision  [tables]int
	inFlight         []membership.Event        // sent events: may arrive late, twice or never
	known            [tables]map[string]bool   // leaving target processes and host processes that the table knows of
	leavingRevisions [tables]map[string]uint64 // newest list known to the table that shows a target as leaving
}

func newModel() *model {
	m := &model{clk: clock.NewManual(time.Unix(1_000_000, 0)), lists: []publishedList{{}}}
	for i := range m.tables {
		m.tables[i] = membership.New(m.clk, membership.Config{MaxListLag: maxListLag})
		m.known[i] = make(map[string]bool)
		m.leavingRevisions[i] = make(map[string]uint64)
	}
	for i := range members {
		m.startHostProcess(i)
		m.startTargetProcess(i)
	}
	return m
}

func hostID(i int) string   { return fmt.Sprintf("host-%d", i) }
func targetID(i int) string { return fmt.Sprintf("target-%d", i) }

func (m *model) startHostProcess(i int) {
	n := len(m.hosts[i])
	inc := identity.Incarnation{Host: hostID(i), Start: uint64(n + 1)}
	m.hosts[i] = append(m.hosts[i], process{name: inc.String(), started: m.clk.Advance(time.Millisecond)})
}

func (m *model) startTargetProcess(i int) {
	name := fmt.Sprintf("%s/%d", targetID(i), 1000-len(m.targets[i])) // names are not ordered by start time
	m.targets[i] = append(m.targets[i], process{name: name, started: m.clk.Advance(time.Millisecond)})
}

func drawIndex(t *rapid.T, n int, name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }

func (m *model) send(events []membership.Event) { m.inFlight = append(m.inFlight, events...) }

// recordEvents records what a table learned from events about leaving targets.
func (m *model) recordEvents(table int, events ...membership.Event) {
	for _, e := range events {
		if e.Kind == membership.KindTarget && e.Type == membership.EventIncarnation && e.State >= membership.Leaving {
			m.known[table][e.Incarnation] = true
		}
		if e.Type == membership.EventListedLeaving {
			m.leavingRevisions[table][e.ID] = max(m.leavingRevisions[table][e.ID], e.Revision)
		}
	}
}

func (m *model) publish(t *rapid.T) {
	next := m.lists[len(m.lists)-1]
	i := drawIndex(t, members, "member")
	next.leaving[i] = rapid.Bool().Draw(t, "leaving")
	next.absent[i] = drawIndex(t, 4, "absent") == 0
	m.lists = append(m.lists, next)
}

func (m *model) applyList(t *rapid.T) {
	table, n := drawIndex(t, tables, "table"), drawIndex(t, len(m.lists), "revision")
	var entries []membership.Entry
	for i := range members {
		if !m.lists[n].absent[i] {
			entries = append(entries, membership.Entry{ID: targetID(i), Domain: "d", Leaving: m.lists[n].leaving[i]})
		}
	}
	events := m.tables[table].SetTargets(uint64(n+1), entries)
	m.currentRevision[table] = max(m.currentRevision[table], n+1)
	m.recordEvents(table, events...)
	m.send(events)
}

// observeTarget applies a report of the running process of a target to one table. The report of a
// leaving process may date from before it was leaving.
func (m *model) observeTarget(t *rapid.T) {
	table, i := drawIndex(t, tables, "table"), drawIndex(t, members, "target")
	p := m.targets[i][len(m.targets[i])-1]
	leaving := p.leaving && rapid.Bool().Draw(t, "report after leaving")
	events := m.tables[table].ObserveTarget(targetID(i), p.name, p.started, leaving)
	if leaving {
		m.known[table][p.name] = true
	}
	m.recordEvents(table, events...)
	m.send(events)
}

// observeHost records in one table direct contact with any process of a host, including an old one
// that was paused and resumed.
func (m *model) observeHost(t *rapid.T) {
	table, i := drawIndex(t, tables, "table"), drawIndex(t, members, "host")
	p := m.hosts[i][drawIndex(t, len(m.hosts[i]), "process")]
	inc, _ := identity.Parse(p.name)
	m.known[table][p.name] = true
	m.send(m.tables[table].ObserveHost(inc, p.started))
}

func (m *model) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	table, e := drawIndex(t, tables, "table"), m.inFlight[drawIndex(t, len(m.inFlight), "event")]
	accepted := m.tables[table].Apply([]membership.Event{e})
	if len(accepted) > 0 {
		m.recordEvents(table, e)
	}
}

func exchangeTables(a, b *membership.Table) {
	da, db := a.Digest(), b.Digest()
	for i := range da {
		if da[i] != db[i] {
			events := a.BucketEvents(i)
			a.Apply(b.BucketEvents(i))
			b.Apply(events)
		}
	}
}

func (m *model) exchange(t *rapid.T) {
	a, b := drawIndex(t, tables, "a"), drawIndex(t, tables, "b")
	for i := range membership.Buckets {
		m.recordEvents(a, m.tables[b].BucketEvents(i)...)
		m.recordEvents(b, m.tables[a].BucketEvents(i)...)
	}
	exchangeTables(m.tables[a], m.tables[b])
}

// check compares every table with the model.
func (m *model) check(t *rapid.T) {
	for n, table := range m.tables {
		if _, revision := table.Revisions(); revision != uint64(m.currentRevision[n]) {
			t.Fatalf("table %d: current target list %d, want %d", n, revision, m.currentRevision[n])
		}
		for i := range members {
			m.checkTarget(t, n, i)
			m.checkHost(t, n, i)
		}
	}
}

func (m *model) checkTarget(t *rapid.T, n, i int) {
	state := m.tables[n].TargetState(targetID(i))
	if state != membership.Live {
		return
	}
	running := m.targets[i][len(m.targets[i])-1]
	if m.known[n][running.name] {
		t.Fatalf("table %d: %s is live, but the table knows that its running process is leaving", n, targetID(i))
	}
	if revision := m.leavingRevisions[n][targetID(i)]; revision > uint64(m.currentRevision[n]) {
		t.Fatalf("table %d: %s is live, but the table knows that list %d shows it as leaving", n, targetID(i), revision)
	}
	if m.currentRevision[n] == 0 {
		t.Fatalf("table %d: %s is live, but the table has no list", n, targetID(i))
	}
	if list := m.lists[m.currentRevision[n]-1]; list.leaving[i] || list.absent[i] {
		t.Fatalf("table %d: %s is live, but list %d shows it as leaving or absent", n, targetID(i), m.currentRevision[n])
	}
}

func (m *model) checkHost(t *rapid.T, n, i int) {
	running, _ := identity.Parse(m.hosts[i][len(m.hosts[i])-1].name)
	if m.tables[n].IncarnationGone(running) {
		t.Fatalf("table %d: running process %s is considered gone", n, running)
	}
	if current, _ := m.tables[n].HostIncarnation(hostID(i)); current != running {
		return
	}
	older := m.hosts[i][max(0, len(m.hosts[i])-trackedProcesses) : len(m.hosts[i])-1]
	for _, p := range older {
		inc, _ := identity.Parse(p.name)
		if m.known[n][p.name] && !m.tables[n].IncarnationGone(inc) {
			t.Fatalf("table %d: %s is not considered gone, but its successor is known", n, inc)
		}
	}
}

func TestTablesAgreeWithTheOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"restart target": func(t *rapid.T) { m.startTargetProcess(drawIndex(t, members, "target")) },
			"restart host":   func(t *rapid.T) { m.startHostProcess(drawIndex(t, members, "host")) },
			"leave": func(t *rapid.T) {
				processes := m.targets[drawIndex(t, members, "target")]
				processes[len(processes)-1].leaving = true
			},
			"wait":     func(t *rapid.T) { m.clk.Advance(time.Duration(drawIndex(t, 40, "seconds")) * time.Second) },
			"sweep":    func(t *rapid.T) { m.sweep(drawIndex(t, tables, "table")) },
			"refuse":   m.refuseWork,
			"publish":  m.publish,
			"adopt":    m.applyList,
			"observe":  m.observeTarget,
			"contact":  m.observeHost,
			"deliver":  m.deliver,
			"exchange": m.exchange,
			"":         m.check,
		})
		m.converge(t)
	})
}

// refuseWork records that a target refused work from the host of one table, without naming the
// process.
func (m *model) refuseWork(t *rapid.T) {
	table, i := drawIndex(t, tables, "table"), drawIndex(t, members, "target")
	events := m.tables[table].RecordTargetRefusal(targetID(i))
	m.recordEvents(table, events...)
	m.send(events)
	if state := m.tables[table].TargetState(targetID(i)); state == membership.Live {
		t.Fatalf("table %d: %s is still live after it refused work", table, targetID(i))
	}
}

func (m *model) sweep(table int) {
	events := m.tables[table].Sweep()
	m.recordEvents(table, events...)
	m.send(events)
}

// converge applies a new list to every table, has all tables exchange events, and checks that they
// agree.
func (m *model) converge(t *rapid.T) {
	var entries []membership.Entry
	for i := range members {
		entries = append(entries, membership.Entry{ID: targetID(i), Domain: "d"})
	}
	for n, table := range m.tables {
		m.recordEvents(n, table.SetTargets(uint64(len(m.lists)+1), entries)...)
		table.SetHosts(1, []membership.Entry{{ID: hostID(0)}, {ID: hostID(1)}, {ID: hostID(2)}})
	}
	for range tables {
		for a := range tables {
			exchangeTables(m.tables[a], m.tables[(a+1)%tables])
		}
	}
	first := m.tables[0]
	for n, table := range m.tables[1:] {
		if table.Digest() != first.Digest() {
			t.Fatalf("the digests of tables %d and 0 differ after exchanges", n+1)
		}
		for i := range members {
			if !slices.Equal(table.LiveHosts(""), first.LiveHosts("")) {
				t.Fatalf("live hosts differ: %v and %v", table.LiveHosts(""), first.LiveHosts(""))
			}
			if a, b := table.TargetState(targetID(i)), first.TargetState(targetID(i)); a != b {
				t.Fatalf("states of %s differ after exchanges: %s and %s", targetID(i), a, b)
			}
		}
	}
}
