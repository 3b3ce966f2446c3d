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
	workers       = 4               // runs in parallel
)

type benchCase struct {
	load  float64
	fault policybench.Fault
}

var benchCases = []benchCase{
	{0.5, policybench.FaultNone}, {0.8, policybench.FaultNone}, {0.95, policybench.FaultNone}, {1.3, policybench.FaultNone},
	{0.8, policybench.FaultCrash}, {0.8, policybench.FaultSlow}, {0.8, policybench.FaultStaleReports}, {0.8, policybench.FaultBurst},
}

// BenchmarkPolicy runs all policies at each load and fault and prints a table of
// their results.
func BenchmarkPolicy(b *testing.B) {
	for _, s := range benchCases {
		b.Run(fmt.Sprintf("load=%d%%/%s", int(s.load*100+0.5), s.fault), func(b *testing.B) {
			for range b.N {
				results := runPolicies(s)
				b.StopTimer()
				printResults(b, results)
				b.StartTimer()
			}
		})
	}
}

func runPolicies(s benchCase) []*policybench.Result {
	policies := policybench.Policies()
	results := make([]*policybench.Result, len(policies))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, workers)
	for i, p := range policies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			semaphore <- struct{}{}
			results[i] = policybench.Run(policybench.Scenario{
				Name: p.Name, Policy: p.New, Load: s.load, Fault: s.fault, Duration: benchDuration, Seed: benchSeed,
			})
			<-semaphore
		}()
	}
	wg.Wait()
	return results
}

func printResults(b *testing.B, results []*policybench.Result) {
	fmt.Printf("\n%s\n", policybench.TableHeader())
	for _, r := range results {
		fmt.Print(r.Rows())
	}
	for _, r := range results {
		least, most := r.ServedShareRange()
		fmt.Printf("%s: served per organisation %.0f to %.0f %%, refused by engines %d, most memory promised %.0f %%, attempts per request %.3f\n",
			r.Scenario.Name, 100*least, 100*most, r.Rejected, 100*r.MaxReservedFraction, float64(r.Attempts)/float64(r.Offered))
	}
	last := results[len(results)-1]
	b.ReportMetric(last.Classes["short"].TTFTAt(95).Seconds(), "short-p95-s")
}
