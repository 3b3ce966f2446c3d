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

// maxLeaveDelay is the longest time for which a leaving target may still receive
// new requests.
const maxLeaveDelay = 5 * time.Second

// An engine starts to leave under load. Streams that run on it complete, and it
// receives no new requests after maxLeaveDelay.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 3, "--decode-interval=5ms")
	b := newBalancer(c.hosts)
	defer b.close()
	streams := startLoad(6, func(caller, round int) string { return streamOnce(b, caller, round, 40) })
	g.Eventually(func() int { return len(engineCounts(t, c.engines[0]).Submitted) }, eventTimeout).Should(gomega.BeNumerically(">", 3))
	leave := true
	setControl(t, c.engines[0], engine.Control{Leave: &leave})
	time.Sleep(maxLeaveDelay)
	before := engineCounts(t, c.engines[0]).Refused
	done := streams.completed()
	g.Eventually(streams.completed, eventTimeout).Should(gomega.BeNumerically(">", done+30))
	g.Expect(engineCounts(t, c.engines[0]).Refused).To(gomega.Equal(before), "leaving engine received new requests after maxLeaveDelay")
	g.Expect(streams.stop()).To(gomega.BeEmpty())
}

// A new model version is rolled out. Every engine loads it, and the number of
// serving engines never falls below the published minimum.
func TestPlanRolloutKeepsMinimumServing(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 3, "--checks-fencing")
	plan := topology.Plan{Minimums: []topology.ModelMinimum{{Model: modelName, MinServing: 2}}, LoadsPerSecond: 2}
	for _, target := range c.targets {
		if target.Kind == topology.KindEngine {
			plan.Desired = append(plan.Desired, topology.DesiredEngine{Target: target.ID, Model: modelName, Version: "2"})
		}
	}
	c.publish(t, "plan", marshal(t, plan))
	minServing := len(c.engines)
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
		minServing = min(minServing, serving)
		return updated
	}, 2*eventTimeout, 20*time.Millisecond).Should(gomega.Equal(len(c.engines)))
	g.Expect(minServing).To(gomega.BeNumerically(">=", 2))
}

// A host is killed while its stream holds memory on an engine that never drops
// streams past their deadline. The other host must release the memory.
func TestMemoryOfKilledHostIsReleased(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 1, "--keep-expired", "--decode-interval=200ms")
	go func() { _, _ = prompt(c.hosts[0], "a long answer", 30, 10*time.Second) }()
	g.Eventually(func() int { return len(allocations(t, c.engines[0])) }, eventTimeout).Should(gomega.Equal(1))
	verySlow := 0.0001
	setControl(t, c.engines[0], engine.Control{Speed: &verySlow})
	c.hosts[0].Kill()
	g.Eventually(func() int { return len(allocations(t, c.engines[0])) }, 2*eventTimeout, 200*time.Millisecond).Should(gomega.BeZero())
}

func allocations(t *testing.T, e process) []engineapi.Allocation {
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

// getJSON decodes the answer of a stand-in. It retries while the stand-in is down
// or does not answer.
func getJSON(t *testing.T, p process, path string, into any) {
	t.Helper()
	gomega.NewWithT(t).Eventually(func() error {
		resp, err := standinClient.Get(fmt.Sprintf("http://%s%s", p.addr, path))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		return json.NewDecoder(resp.Body).Decode(into)
	}, eventTimeout).Should(gomega.Succeed())
}
