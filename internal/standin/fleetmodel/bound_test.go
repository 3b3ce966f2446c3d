package fleetmodel_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

// A prompt of 100,000 tokens takes a second of one engine.
func TestUpperBoundOfPromptsThatOneEngineHandlesInTurn(t *testing.T) {
	g := NewWithT(t)
	engine := catalog.Engine{Slots: 4, MemoryTokens: 1e6, PrefillRate: 100_000, StepsPerPass: 10, StepTime: time.Millisecond}
	wl := fleetmodel.Workload{Name: "prompt", PerSecond: 4, MeanPromptTokens: 100_000, MaxPromptTokens: 100_000, MeanEvents: 2, Objective: 2 * time.Second, Payoff: 1}
	s := fleetmodel.Scenario{Engine: engine, Workloads: []fleetmodel.Workload{wl}, Hosts: 1, Duration: 30 * time.Second}
	for engines, want := range map[int]float64{1: 0.25, 2: 0.5, 8: 1} {
		s.Engines = engines
		g.Expect(fleetmodel.UpperBound(s, 1).InTime["prompt"]).To(BeNumerically("~", want, 0.08), "%d engines", engines)
	}
}

func TestNothingPlayedExceedsTheUpperBound(t *testing.T) {
	for name, s := range fleetmodel.Loads() {
		for _, s.Contention = range []bool{false, true} {
			g := NewWithT(t)
			bound, played := fleetmodel.UpperBound(s, 1), fleetmodel.Play(s, 1)
			t.Logf("%s, admission %t: %.3f of at most %.3f", name, s.Contention, played.Worth(), bound.Worth)
			g.Expect(played.Worth()).To(BeNumerically("<=", bound.Worth), name)
		}
	}
}
