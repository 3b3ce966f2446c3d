package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/membership"
)

// Size of the largest fleet that a table has to support.
const (
	largeHosts   = 4000
	largeTargets = 10000
	largeDomains = 20
)

func entries(kind string, count int) []membership.Entry {
	list := make([]membership.Entry, 0, count)
	for i := range count {
		list = append(list, membership.Entry{ID: fmt.Sprintf("%s-%d", kind, i), Domain: fmt.Sprintf("domain-%d", i%largeDomains)})
	}
	return list
}

// largeTable returns a table of the largest fleet, and its heap size in bytes.
func largeTable(clk clock.Clock) (*membership.Table, int64) {
	var before, after runtime.MemStats
	hosts, targets := entries("host", largeHosts), entries("engine", largeTargets)
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := membership.New(clk, membership.Config{})
	t.SetHosts(1, hosts)
	t.SetTargets(1, targets)
	for i, h := range hosts {
		t.Apply([]membership.Event{membership.HostEvent(identity.Incarnation{Host: h.ID, Start: uint64(i + 1)}, time.Unix(1, 0), membership.Live)})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return t, int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// BenchmarkLargeTable measures a table of 4,000 hosts and 10,000 targets. The budget of a host for
// the whole control plane is 2.4 % of a core, which is 24 ms per second, and 64 MB of memory.
func BenchmarkLargeTable(b *testing.B) {
	clk := clock.NewManual(time.Unix(1_000_000, 0))
	table, memory := largeTable(clk)
	if limit := int64(64 << 20); memory > limit {
		b.Fatalf("the table uses %d bytes, over the limit of %d for the whole control plane", memory, limit)
	}
	b.Run("memory", func(b *testing.B) {
		for b.Loop() {
			_ = table.Stats()
		}
		b.ReportMetric(float64(memory)/(1<<20), "MiB")
	})
	b.Run("target state", func(b *testing.B) {
		for b.Loop() {
			table.TargetState("engine-77")
		}
	})
	b.Run("sweep and digest", func(b *testing.B) { // every 5 s
		for b.Loop() {
			table.Sweep()
			table.Digest()
		}
	})
	b.Run("digest after one change", func(b *testing.B) { // every 1 s
		for i := 0; b.Loop(); i++ {
			table.ObserveTarget("engine-77", fmt.Sprint("start-", i), time.Unix(int64(i), 0), true)
			table.Digest()
		}
	})
	b.Run("live hosts after a change of one", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			table.ObserveHost(identity.Incarnation{Host: "host-7", Start: uint64(i)}, time.Unix(int64(1000+i), 0))
			table.ResponsibleHost("engine-5")
		}
	})
	b.Run("new list", func(b *testing.B) {
		hosts, revision := entries("host", largeHosts), uint64(1)
		for b.Loop() {
			revision++
			table.SetHosts(revision, hosts)
		}
	})
}
