package e2e_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// leaveBound is the longest time after which a leaving target gets new work.
const leaveBound = 5 * time.Second

// An engine leaves under streams: what runs there goes on to its end, and
// after the bound nobody sends it anything new.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 3, "--decode-interval=5ms")
	b := newBalancer(c.hosts)
	defer b.close()
	streams := startLoad(6, func(caller, round int) string { return streamOnce(b, caller, round, 40) })
	g.Eventually(func() int { return len(engineCounts(t, c.engines[0]).Submitted) }, stateWait).Should(gomega.BeNumerically(">", 3))
	leave := true
	control(t, c.engines[0], engine.Control{Leave: &leave})
	time.Sleep(leaveBound)
	before := engineCounts(t, c.engines[0]).Refused
	done := streams.count()
	g.Eventually(streams.count, stateWait).Should(gomega.BeNumerically(">", done+30))
	g.Expect(engineCounts(t, c.engines[0]).Refused).To(gomega.Equal(before), "new work came after the bound")
	g.Expect(streams.end()).To(gomega.BeEmpty())
}

// A new version is published: every engine gets it, and the published minimum
// serves at every moment.
func TestPlanReachesEnginesAndKeepsTheMinimum(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 3, "--checks-fencing")
	plan := topology.Plan{Minimums: []topology.ModelMinimum{{Model: modelName, MinServing: 2}}, LoadsPerSecond: 2}
	for _, target := range c.targets {
		if target.Kind == topology.KindEngine {
			plan.Desired = append(plan.Desired, topology.DesiredEngine{Target: target.ID, Model: modelName, Version: "2"})
		}
	}
	c.publish(t, "plan", marshal(t, plan))
	least := len(c.engines)
	g.Eventually(func() int {
		serving, updated := 0, 0
		for _, e := range c.engines {
			s := engineState(t, e)
			if s.Serving {
				serving++
			}
			if s.Serving && s.Version == "2" {
				updated++
			}
		}
		least = min(least, serving)
		return updated
	}, 2*stateWait, 20*time.Millisecond).Should(gomega.Equal(len(c.engines)))
	g.Expect(least).To(gomega.BeNumerically(">=", 2))
}

// A host is killed while its stream holds engine memory, on an engine that
// never drops a stream by itself. The other host releases it.
func TestMemoryOfAKilledHostComesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 1, "--keep-expired", "--decode-interval=200ms")
	go func() { _, _ = prompt(c.hosts[0], "a long answer", 30, 10*time.Second) }()
	g.Eventually(func() int { return len(held(t, c.engines[0])) }, stateWait).Should(gomega.Equal(1))
	crawl := 0.0001
	control(t, c.engines[0], engine.Control{Speed: &crawl})
	c.hosts[0].Kill()
	g.Eventually(func() int { return len(held(t, c.engines[0])) }, 2*stateWait, 200*time.Millisecond).Should(gomega.BeZero())
}

func held(t *testing.T, e process) []engineapi.Allocation {
	t.Helper()
	var list engineapi.AllocationList
	getJSON(t, e, engineapi.PathStreams, &list)
	return list.Allocations
}

func engineState(t *testing.T, e process) engineapi.State {
	t.Helper()
	var s engineapi.State
	getJSON(t, e, engineapi.PathState, &s)
	return s
}

func engineCounts(t *testing.T, e process) engine.Counts {
	t.Helper()
	var counts engine.Counts
	getJSON(t, e, engineapi.PathStandinControl, &counts)
	return counts
}

// getJSON asks a stand-in, again while it is down or silent.
func getJSON(t *testing.T, p process, path string, into any) {
	t.Helper()
	gomega.NewWithT(t).Eventually(func() error {
		resp, err := standins.Get(fmt.Sprintf("http://%s%s", p.addr, path))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		return json.NewDecoder(resp.Body).Decode(into)
	}, stateWait).Should(gomega.Succeed())
}
