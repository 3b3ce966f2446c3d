package policybench_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/schedule/policybench"
)

// maxShortTTFT is the objective for the 95th percentile of the time to first
// token of short prompts.
const maxShortTTFT = 420 * time.Millisecond

func policyByName(name string) policybench.NamedPolicy {
	all := policybench.Policies()
	return all[slices.IndexFunc(all, func(p policybench.NamedPolicy) bool { return p.Name == name })]
}

// runConcurrently runs the scenarios in parallel and returns their results in the
// same order.
func runConcurrently(scenarios ...policybench.Scenario) []*policybench.Result {
	results := make([]*policybench.Result, len(scenarios))
	var wg sync.WaitGroup
	for i, s := range scenarios {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = policybench.Run(s)
		}()
	}
	wg.Wait()
	return results
}

func scenario(name string, load float64, fault policybench.Fault) policybench.Scenario {
	return policybench.Scenario{
		Name: name, Policy: policyByName(name).New, Load: load, Fault: fault, Duration: 2 * time.Minute, Seed: 1,
	}
}

// At 80 % of the prefill capacity, the 95th percentile of the time to first token
// of short prompts meets its objective, their slowdown is at most a quarter of the
// one with the "least requests" policy, and every long prompt finishes in time.
func TestLatencyObjectivesAt80PercentLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	results := runConcurrently(scenario("final", 0.8, policybench.FaultNone), scenario("least requests", 0.8, policybench.FaultNone))
	final, baseline := results[0].Classes[rules.ClassShort], results[1].Classes[rules.ClassShort]
	g.Expect(final.TTFTAt(95)).To(gomega.BeNumerically("<=", maxShortTTFT))
	g.Expect(final.SlowdownAt(95)).To(gomega.BeNumerically("<=", baseline.SlowdownAt(95)/4))
	g.Expect(final.TTFTSlowdownAt(95)).To(gomega.BeNumerically("<=", baseline.TTFTSlowdownAt(95)/4))
	long := results[0].Classes[rules.ClassLong]
	g.Expect(long.Finished).To(gomega.Equal(long.Offered))
	g.Expect(results[0].Rejected).To(gomega.BeZero())
	g.Expect(results[0].MaxReservedFraction).To(gomega.BeNumerically("<=", 1))
}

// Under engine crashes, slow engines, stale load reports and overload, short
// prompts keep their objective for the time to first token, and the hosts never
// reserve more memory than an engine has.
func TestShortPromptTTFTUnderFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	scenarios := []policybench.Scenario{
		scenario("final", 0.8, policybench.FaultCrash), scenario("final", 0.8, policybench.FaultSlow),
		scenario("final", 0.8, policybench.FaultStaleReports), scenario("final", 1.3, policybench.FaultNone),
	}
	for i := range scenarios {
		scenarios[i].Duration = 45 * time.Second
	}
	results := runConcurrently(scenarios...)
	for _, r := range results {
		short := r.Classes[rules.ClassShort]
		g.Expect(short.TTFTAt(95)).To(gomega.BeNumerically("<=", maxShortTTFT), string(r.Scenario.Fault))
		g.Expect(r.MaxReservedFraction).To(gomega.BeNumerically("<=", 1))
		g.Expect(r.Rejected).To(gomega.BeZero())
	}
}

// Half of the engines crash at the same time at 40 % load. Retries add at most
// 10 % of attempts, so there is no retry storm, and short prompts that arrive
// after the recovery time meet the objective for the time to first token.
func TestRecoveryAfterHalfOfEnginesCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	const recovery = 10 * time.Second
	s := scenario("final", 0.4, policybench.FaultHalfDown)
	r := runConcurrently(s)[0]
	g.Expect(float64(r.Attempts) / float64(r.Offered)).To(gomega.BeNumerically("<=", 1.1))
	var afterRecovery []time.Duration
	for _, f := range r.ShortTTFTs {
		if f.Arrival > s.Duration/2+recovery {
			afterRecovery = append(afterRecovery, f.TTFT)
		}
	}
	slices.Sort(afterRecovery)
	g.Expect(len(afterRecovery)).To(gomega.BeNumerically(">", 300))
	g.Expect(afterRecovery[len(afterRecovery)*95/100]).To(gomega.BeNumerically("<=", maxShortTTFT))
}

// Runs with the same seed give the same results.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	g := gomega.NewWithT(t)
	s := scenario("final", 0.5, policybench.FaultCrash)
	s.Duration = 40 * time.Second
	results := runConcurrently(s, s)
	g.Expect(results[0].Rows()).To(gomega.Equal(results[1].Rows()))
	g.Expect(results[0].Attempts).To(gomega.Equal(results[1].Attempts))
}
