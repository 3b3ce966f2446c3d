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

// firstTokenTarget is the target for 95 in 100 first tokens of short prompts.
const firstTokenTarget = 420 * time.Millisecond

func byName(name string) policybench.Named {
	all := policybench.Policies()
	return all[slices.IndexFunc(all, func(p policybench.Named) bool { return p.Name == name })]
}

// runTogether runs the scenarios at the same time and returns their results.
func runTogether(scenarios ...policybench.Scenario) []*policybench.Result {
	results := make([]*policybench.Result, len(scenarios))
	var wait sync.WaitGroup
	for i, s := range scenarios {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = policybench.Run(s)
		}()
	}
	wait.Wait()
	return results
}

func scenario(name string, load float64, fault policybench.Fault) policybench.Scenario {
	return policybench.Scenario{
		Name: name, Policy: byName(name).New, Load: load, Fault: fault, Duration: 2 * time.Minute, Seed: 1,
	}
}

// The targets at 80 % of capacity: 95 in 100 first tokens of short prompts in
// time, their slowdown at most a quarter of the least-loaded baseline's, and
// every long prompt within its limit.
func TestTargetsAtTheStatedLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	results := runTogether(scenario("final", 0.8, policybench.FaultNone), scenario("least requests", 0.8, policybench.FaultNone))
	final, baseline := results[0].Classes[rules.ClassShort], results[1].Classes[rules.ClassShort]
	g.Expect(final.FirstTokenAt(95)).To(gomega.BeNumerically("<=", firstTokenTarget))
	g.Expect(final.SlowdownAt(95)).To(gomega.BeNumerically("<=", baseline.SlowdownAt(95)/4))
	g.Expect(final.StretchAt(95)).To(gomega.BeNumerically("<=", baseline.StretchAt(95)/4))
	long := results[0].Classes[rules.ClassLong]
	g.Expect(long.Finished).To(gomega.Equal(long.Offered))
	g.Expect(results[0].Rejected).To(gomega.BeZero())
	g.Expect(results[0].MostPromised).To(gomega.BeNumerically("<=", 1))
}

// Faults and overload do not take the first token of short prompts away, and no
// engine's memory is promised twice.
func TestShortPromptsUnderFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	scenarios := []policybench.Scenario{
		scenario("final", 0.8, policybench.FaultDeath), scenario("final", 0.8, policybench.FaultSlow),
		scenario("final", 0.8, policybench.FaultStale), scenario("final", 1.3, policybench.FaultNone),
	}
	for i := range scenarios {
		scenarios[i].Duration = 45 * time.Second
	}
	results := runTogether(scenarios...)
	for _, r := range results {
		short := r.Classes[rules.ClassShort]
		g.Expect(short.FirstTokenAt(95)).To(gomega.BeNumerically("<=", firstTokenTarget), string(r.Scenario.Fault))
		g.Expect(r.MostPromised).To(gomega.BeNumerically("<=", 1))
		g.Expect(r.Rejected).To(gomega.BeZero())
	}
}

// Half of the engines die at once at 40 % load. There is no retry storm, and
// short prompts that come later than the recovery time have their first token in time.
func TestHalfOfTheEnginesLost(t *testing.T) {
	g := gomega.NewWithT(t)
	const recovery = 10 * time.Second
	s := scenario("final", 0.4, policybench.FaultHalf)
	r := runTogether(s)[0]
	g.Expect(float64(r.Attempts) / float64(r.Offered)).To(gomega.BeNumerically("<=", 1.1))
	var later []time.Duration
	for _, f := range r.FirstTokens {
		if f.Arrival > s.Duration/2+recovery {
			later = append(later, f.Wait)
		}
	}
	slices.Sort(later)
	g.Expect(len(later)).To(gomega.BeNumerically(">", 300))
	g.Expect(later[len(later)*95/100]).To(gomega.BeNumerically("<=", firstTokenTarget))
}

// Equal seeds give equal results.
func TestRunsAreRepeatable(t *testing.T) {
	g := gomega.NewWithT(t)
	s := scenario("final", 0.5, policybench.FaultDeath)
	s.Duration = 40 * time.Second
	results := runTogether(s, s)
	g.Expect(results[0].Rows()).To(gomega.Equal(results[1].Rows()))
	g.Expect(results[0].Attempts).To(gomega.Equal(results[1].Attempts))
}
