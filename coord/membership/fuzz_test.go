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
	tables  = 3
	members = 3
	listLag = 30 * time.Second
	// remembered is the number of processes of one host within which old ones must be known.
	remembered = 8
)

// process is the true state of one process of a host or target.
type process struct {
	name    string
	started time.Time
	leaving bool
}

// publication is one revision of the target list.
type publication struct {
	leaving [members]bool
	absent  [members]bool
}

// world is the oracle: what is true, and what each table was told.
type world struct {
	clk     *clock.Manual
	tables  [tables]*membership.Table
	hosts   [members][]process // newest last
	targets [members][]process
	lists   []publication // revision n is lists[n-1]
	inForce [tables]int
	wire    []membership.Event        // sent, may arrive late, twice or never
	told    [tables]map[string]bool   // leaving target processes it heard of, host processes it met
	marks   [tables]map[string]uint64 // newest list that a table heard to show a target as leaving
}

func newWorld() *world {
	w := &world{clk: clock.NewManual(time.Unix(1_000_000, 0)), lists: []publication{{}}}
	for i := range w.tables {
		w.tables[i] = membership.New(w.clk, membership.Config{MaxListLag: listLag})
		w.told[i] = make(map[string]bool)
		w.marks[i] = make(map[string]uint64)
	}
	for i := range members {
		w.restartHost(i)
		w.restartTarget(i)
	}
	return w
}

func hostID(i int) string   { return fmt.Sprintf("host-%d", i) }
func targetID(i int) string { return fmt.Sprintf("target-%d", i) }

func (w *world) restartHost(i int) {
	n := len(w.hosts[i])
	inc := identity.Incarnation{Host: hostID(i), Start: uint64(n + 1)}
	w.hosts[i] = append(w.hosts[i], process{name: inc.String(), started: w.clk.Advance(time.Millisecond)})
}

func (w *world) restartTarget(i int) {
	name := fmt.Sprintf("%s/%d", targetID(i), 1000-len(w.targets[i])) // names do not sort by age
	w.targets[i] = append(w.targets[i], process{name: name, started: w.clk.Advance(time.Millisecond)})
}

func pick(t *rapid.T, n int, name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }

func (w *world) send(events []membership.Event) { w.wire = append(w.wire, events...) }

// hear notes what a table learned of leaving target processes.
func (w *world) hear(table int, events ...membership.Event) {
	for _, e := range events {
		if e.Kind == membership.KindTarget && e.Type == membership.EventIncarnation && e.State >= membership.Leaving {
			w.told[table][e.Incarnation] = true
		}
		if e.Type == membership.EventListedLeaving {
			w.marks[table][e.ID] = max(w.marks[table][e.ID], e.Revision)
		}
	}
}

func (w *world) publish(t *rapid.T) {
	next := w.lists[len(w.lists)-1]
	i := pick(t, members, "member")
	next.leaving[i] = rapid.Bool().Draw(t, "leaving")
	next.absent[i] = pick(t, 4, "absent") == 0
	w.lists = append(w.lists, next)
}

func (w *world) adopt(t *rapid.T) {
	table, n := pick(t, tables, "table"), pick(t, len(w.lists), "revision")
	var entries []membership.Entry
	for i := range members {
		if !w.lists[n].absent[i] {
			entries = append(entries, membership.Entry{ID: targetID(i), Domain: "d", Leaving: w.lists[n].leaving[i]})
		}
	}
	events := w.tables[table].SetTargets(uint64(n+1), entries)
	w.inForce[table] = max(w.inForce[table], n+1)
	w.hear(table, events...)
	w.send(events)
}

// observe lets a table see a report of the running process, or a late one of it.
func (w *world) observe(t *rapid.T) {
	table, i := pick(t, tables, "table"), pick(t, members, "target")
	p := w.targets[i][len(w.targets[i])-1]
	leaving := p.leaving && rapid.Bool().Draw(t, "report after leaving")
	events := w.tables[table].ObserveTarget(targetID(i), p.name, p.started, leaving)
	if leaving {
		w.told[table][p.name] = true
	}
	w.hear(table, events...)
	w.send(events)
}

// contact lets a table hear a hello of any process of a host, paused ones included.
func (w *world) contact(t *rapid.T) {
	table, i := pick(t, tables, "table"), pick(t, members, "host")
	p := w.hosts[i][pick(t, len(w.hosts[i]), "process")]
	inc, _ := identity.Parse(p.name)
	w.told[table][p.name] = true
	w.send(w.tables[table].ObserveHost(inc, p.started))
}

func (w *world) deliver(t *rapid.T) {
	if len(w.wire) == 0 {
		return
	}
	table, e := pick(t, tables, "table"), w.wire[pick(t, len(w.wire), "event")]
	news := w.tables[table].Apply([]membership.Event{e})
	if len(news) > 0 {
		w.hear(table, e)
	}
}

func exchange(a, b *membership.Table) {
	da, db := a.Digest(), b.Digest()
	for i := range da {
		if da[i] != db[i] {
			mine := a.BucketEvents(i)
			a.Apply(b.BucketEvents(i))
			b.Apply(mine)
		}
	}
}

func (w *world) sync(t *rapid.T) {
	a, b := pick(t, tables, "a"), pick(t, tables, "b")
	for i := range membership.Buckets {
		w.hear(a, w.tables[b].BucketEvents(i)...)
		w.hear(b, w.tables[a].BucketEvents(i)...)
	}
	exchange(w.tables[a], w.tables[b])
}

// check compares every table with the oracle.
func (w *world) check(t *rapid.T) {
	for n, table := range w.tables {
		if _, revision := table.Revisions(); revision != uint64(w.inForce[n]) {
			t.Fatalf("table %d: target list %d in force, want %d", n, revision, w.inForce[n])
		}
		for i := range members {
			w.checkTarget(t, n, i)
			w.checkHost(t, n, i)
		}
	}
}

func (w *world) checkTarget(t *rapid.T, n, i int) {
	state := w.tables[n].TargetState(targetID(i))
	if state != membership.Live {
		return
	}
	running := w.targets[i][len(w.targets[i])-1]
	if w.told[n][running.name] {
		t.Fatalf("table %d: %s is live, though it was told that the running process leaves", n, targetID(i))
	}
	if mark := w.marks[n][targetID(i)]; mark > uint64(w.inForce[n]) {
		t.Fatalf("table %d: %s is live against list %d, of which it heard", n, targetID(i), mark)
	}
	if w.inForce[n] == 0 {
		t.Fatalf("table %d: %s is live without any list", n, targetID(i))
	}
	if list := w.lists[w.inForce[n]-1]; list.leaving[i] || list.absent[i] {
		t.Fatalf("table %d: %s is live against list %d", n, targetID(i), w.inForce[n])
	}
}

func (w *world) checkHost(t *rapid.T, n, i int) {
	running, _ := identity.Parse(w.hosts[i][len(w.hosts[i])-1].name)
	if w.tables[n].IncarnationGone(running) {
		t.Fatalf("table %d: running process %s is taken for gone", n, running)
	}
	if current, _ := w.tables[n].HostIncarnation(hostID(i)); current != running {
		return
	}
	older := w.hosts[i][max(0, len(w.hosts[i])-remembered) : len(w.hosts[i])-1]
	for _, p := range older {
		inc, _ := identity.Parse(p.name)
		if w.told[n][p.name] && !w.tables[n].IncarnationGone(inc) {
			t.Fatalf("table %d met %s and its successor, and does not take it for gone", n, inc)
		}
	}
}

func TestTablesAgreeWithTheOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"restart target": func(t *rapid.T) { w.restartTarget(pick(t, members, "target")) },
			"restart host":   func(t *rapid.T) { w.restartHost(pick(t, members, "host")) },
			"leave": func(t *rapid.T) {
				processes := w.targets[pick(t, members, "target")]
				processes[len(processes)-1].leaving = true
			},
			"wait":     func(t *rapid.T) { w.clk.Advance(time.Duration(pick(t, 40, "seconds")) * time.Second) },
			"sweep":    func(t *rapid.T) { w.sweep(pick(t, tables, "table")) },
			"refuse":   w.refuse,
			"publish":  w.publish,
			"adopt":    w.adopt,
			"observe":  w.observe,
			"contact":  w.contact,
			"deliver":  w.deliver,
			"exchange": w.sync,
			"":         w.check,
		})
		w.converge(t)
	})
}

// refuse lets a target refuse work of one table's host without naming its process.
func (w *world) refuse(t *rapid.T) {
	table, i := pick(t, tables, "table"), pick(t, members, "target")
	events := w.tables[table].RecordTargetRefusal(targetID(i))
	w.hear(table, events...)
	w.send(events)
	if state := w.tables[table].TargetState(targetID(i)); state == membership.Live {
		t.Fatalf("table %d: %s is live right after it refused work", table, targetID(i))
	}
}

func (w *world) sweep(table int) {
	events := w.tables[table].Sweep()
	w.hear(table, events...)
	w.send(events)
}

// converge hands every table the newest list and lets all exchange: then they agree.
func (w *world) converge(t *rapid.T) {
	var entries []membership.Entry
	for i := range members {
		entries = append(entries, membership.Entry{ID: targetID(i), Domain: "d"})
	}
	for n, table := range w.tables {
		w.hear(n, table.SetTargets(uint64(len(w.lists)+1), entries)...)
		table.SetHosts(1, []membership.Entry{{ID: hostID(0)}, {ID: hostID(1)}, {ID: hostID(2)}})
	}
	for range tables {
		for a := range tables {
			exchange(w.tables[a], w.tables[(a+1)%tables])
		}
	}
	first := w.tables[0]
	for n, table := range w.tables[1:] {
		if table.Digest() != first.Digest() {
			t.Fatalf("table %d differs from table 0 after exchanges", n+1)
		}
		for i := range members {
			if !slices.Equal(table.LiveHosts(""), first.LiveHosts("")) {
				t.Fatalf("live hosts differ: %v and %v", table.LiveHosts(""), first.LiveHosts(""))
			}
			if a, b := table.TargetState(targetID(i)), first.TargetState(targetID(i)); a != b {
				t.Fatalf("%s is %s and %s after exchanges", targetID(i), a, b)
			}
		}
	}
}
