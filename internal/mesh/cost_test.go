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
	domains     = 6
	warmUp      = 12 * time.Second // until links are connected and idle connections have done their first exchange
	callTimeout = 2 * time.Second
	// Limits per host for all control traffic, of which mesh and membership are a part.
	maxBytesOut = 3000     // bytes per second
	maxMemory   = 64 << 20 // bytes
)

// member is one host of the measured fleet.
type member struct {
	mesh   *mesh.Mesh
	table  *membership.Table
	gossip *gossip.Gossip
}

// BenchmarkControlCost runs a fleet in one process, with mutual TLS, and reports the traffic, CPU
// time and memory per host of the mesh and the membership gossip. One iteration is one second of
// real time. With changes, one target of the fleet is restarted each second.
func BenchmarkControlCost(b *testing.B) {
	for _, hosts := range []int{2, 20, 200} {
		for _, targets := range []int{20, 500} {
			for _, changes := range []bool{false, true} {
				name := fmt.Sprintf("hosts=%d/targets=%d/changes=%v", hosts, targets, changes)
				b.Run(name, func(b *testing.B) { measureControlCost(b, hosts, targets, changes) })
			}
		}
	}
}

func measureControlCost(b *testing.B, hosts, targets int, changes bool) {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	fleet := startFleet(ctx, b, hosts, targets)
	time.Sleep(warmUp)
	memory := memoryInUse() - before
	in, out := controlBytes(fleet)
	cpu := cpuTime()
	started := time.Now()
	for i := 0; b.Loop(); i++ {
		if changes {
			m := fleet[i%len(fleet)]
			id := fmt.Sprintf("engine-%d", i%targets)
			m.gossip.Publish(m.table.ObserveTarget(id, fmt.Sprint("start-", i), time.Now(), i%2 == 0))
		}
		time.Sleep(time.Second)
	}
	hostSeconds := time.Since(started).Seconds() * float64(hosts)
	spent := cpuTime() - cpu
	in2, out2 := controlBytes(fleet)
	b.ReportMetric(float64(in2-in)/hostSeconds, "B-in/s/host")
	b.ReportMetric(float64(out2-out)/hostSeconds, "B-out/s/host")
	b.ReportMetric(100*spent.Seconds()/hostSeconds, "%core/host")
	b.ReportMetric(float64(memory)/float64(hosts)/1024, "KiB/host")
	b.ReportMetric(float64(totalLinks(fleet))/float64(hosts), "links/host")
	if sent := float64(out2-out) / hostSeconds; sent > maxBytesOut {
		b.Errorf("%.0f bytes per second sent per host, limit %d", sent, maxBytesOut)
	}
	if memory/int64(hosts) > maxMemory {
		b.Errorf("%d bytes of memory per host, limit %d", memory/int64(hosts), maxMemory)
	}
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
			Self: self, Started: now, Domain: domain, TLS: ca.TLSConfig(b, id, false),
			Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := m.Start(ctx); err != nil {
			b.Fatal(err)
		}
		table := membership.New(clock.System{}, membership.Config{})
		g := gossip.New(gossip.Config{Self: self, Started: now, Table: table, Transport: gossip.NewTransport(m, callTimeout)})
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

func controlBytes(fleet []*member) (in, out uint64) {
	for _, m := range fleet {
		s := m.mesh.Stats()
		in += s.ControlBytesIn()
		out += s.ControlBytesOut()
	}
	return in, out
}

func totalLinks(fleet []*member) int {
	n := 0
	for _, m := range fleet {
		n += m.mesh.Stats().Links
	}
	return n
}

// memoryInUse returns the heap and stack memory in use, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
