package mesh_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/internal/gossip"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	domains  = 6
	warmUp   = 12 * time.Second // until links are up and idle connections have had their exchange
	callTime = 2 * time.Second
)

// member is one host of the measured fleet.
type member struct {
	mesh   *mesh.Mesh
	table  *membership.Table
	gossip *gossip.Gossip
}

// BenchmarkControlCost runs a fleet in this process, with mutual TLS, and reports what the mesh and
// the exchange of membership cost each host. One iteration is one second of real time. With
// changes, one target of the fleet changes its process each second.
func BenchmarkControlCost(b *testing.B) {
	for _, hosts := range []int{2, 20, 200} {
		for _, targets := range []int{20, 500} {
			for _, changes := range []bool{false, true} {
				name := fmt.Sprintf("hosts=%d/targets=%d/changes=%v", hosts, targets, changes)
				b.Run(name, func(b *testing.B) { measure(b, hosts, targets, changes) })
			}
		}
	}
}

func measure(b *testing.B, hosts, targets int, changes bool) {
	before := heap()
	ctx, cancel := context.WithCancel(context.Background())
	fleet := startFleet(ctx, b, hosts, targets)
	time.Sleep(warmUp)
	memory := heap() - before
	in, out := traffic(fleet)
	cpu := processorTime()
	started := time.Now()
	for i := 0; b.Loop(); i++ {
		if changes {
			m := fleet[i%len(fleet)]
			id := fmt.Sprintf("engine-%d", i%targets)
			m.gossip.Publish(m.table.ObserveTarget(id, fmt.Sprint("start-", i), time.Now(), i%2 == 0))
		}
		time.Sleep(time.Second)
	}
	per := time.Since(started).Seconds() * float64(hosts)
	spent := processorTime() - cpu
	in2, out2 := traffic(fleet)
	b.ReportMetric(float64(in2-in)/per, "B-in/s/host")
	b.ReportMetric(float64(out2-out)/per, "B-out/s/host")
	b.ReportMetric(100*spent.Seconds()/per, "%core/host")
	b.ReportMetric(float64(memory)/float64(hosts)/1024, "KiB/host")
	b.ReportMetric(float64(links(fleet))/float64(hosts), "links/host")
	cancel()
	for _, m := range fleet {
		m.mesh.Close()
	}
}

func startFleet(ctx context.Context, b *testing.B, hosts, targets int) []*member {
	ca := mesh.NewTestCA(b)
	var fleet []*member
	var list []topology.Host
	var entries, engines []membership.Entry
	for i := range hosts {
		id, domain := fmt.Sprintf("host-%d", i), fmt.Sprintf("domain-%d", i%domains)
		self := identity.Incarnation{Host: id, Start: uint64(i + 1)}
		now := time.Now()
		m, err := mesh.New(mesh.Config{
			Self: self, Started: now, Domain: domain, TLS: ca.Config(b, id, false),
			Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := m.Start(ctx); err != nil {
			b.Fatal(err)
		}
		table := membership.New(clock.System{}, membership.Bounds{})
		g := gossip.New(gossip.Config{Self: self, Started: now, Table: table, Transport: gossip.NewTransport(m, callTime)})
		fleet = append(fleet, &member{mesh: m, table: table, gossip: g})
		list = append(list, topology.Host{ID: id, Domain: domain, PeerAddr: m.Addr(), State: topology.StateLive})
		entries = append(entries, membership.Entry{ID: id, Domain: domain})
	}
	for i := range targets {
		engines = append(engines, membership.Entry{ID: fmt.Sprintf("engine-%d", i), Domain: fmt.Sprintf("domain-%d", i%domains)})
	}
	for _, m := range fleet {
		m.mesh.SetHosts(list)
		m.table.SetHosts(1, entries)
		m.table.SetTargets(1, engines)
		go m.gossip.Run(ctx)
	}
	return fleet
}

func traffic(fleet []*member) (in, out uint64) {
	for _, m := range fleet {
		s := m.mesh.Stats()
		in += s.ControlBytesIn()
		out += s.ControlBytesOut()
	}
	return in, out
}

func links(fleet []*member) int {
	n := 0
	for _, m := range fleet {
		n += m.mesh.Stats().Links
	}
	return n
}

// heap is the memory in use, stacks included, in bytes.
func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
