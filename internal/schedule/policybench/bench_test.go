package policybench_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/internal/schedule/policybench"
)

const (
	benchSeed     = 1
	benchDuration = 5 * time.Minute // of virtual arrivals
	workers       = 4
)

type setting struct {
	load  float64
	fault policybench.Fault
}

var settings = []setting{
	{0.5, policybench.FaultNone}, {0.8, policybench.FaultNone}, {0.95, policybench.FaultNone}, {1.3, policybench.FaultNone},
	{0.8, policybench.FaultDeath}, {0.8, policybench.FaultSlow}, {0.8, policybench.FaultStale}, {0.8, policybench.FaultBurst},
}

// BenchmarkPolicy prints one table for each load and fault with all policies.
func BenchmarkPolicy(b *testing.B) {
	for _, s := range settings {
		b.Run(fmt.Sprintf("load=%d%%/%s", int(s.load*100+0.5), s.fault), func(b *testing.B) {
			for range b.N {
				results := runAll(s)
				b.StopTimer()
				report(b, results)
				b.StartTimer()
			}
		})
	}
}

func runAll(s setting) []*policybench.Result {
	policies := policybench.Policies()
	results := make([]*policybench.Result, len(policies))
	var wait sync.WaitGroup
	slots := make(chan struct{}, workers)
	for i, p := range policies {
		wait.Add(1)
		go func() {
			defer wait.Done()
			slots <- struct{}{}
			results[i] = policybench.Run(policybench.Scenario{
				Name: p.Name, Policy: p.New, Load: s.load, Fault: s.fault, Duration: benchDuration, Seed: benchSeed,
			})
			<-slots
		}()
	}
	wait.Wait()
	return results
}

func report(b *testing.B, results []*policybench.Result) {
	fmt.Printf("\n%s\n", policybench.Header())
	for _, r := range results {
		fmt.Print(r.Rows())
	}
	for _, r := range results {
		least, most := r.LeastShare()
		fmt.Printf("%s: served per organisation %.0f to %.0f %%, refused by engines %d, most memory promised %.0f %%, attempts per request %.3f\n",
			r.Scenario.Name, 100*least, 100*most, r.Rejected, 100*r.MostPromised, float64(r.Attempts)/float64(r.Offered))
	}
	last := results[len(results)-1]
	b.ReportMetric(last.Classes["short"].FirstTokenAt(95).Seconds(), "short-p95-s")
}
