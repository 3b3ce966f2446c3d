package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// afterFailedConnections returns a Placer whose connections to all but the first engine
// have failed for ten seconds, until ten seconds ago. The first one answered meanwhile.
func afterFailedConnections(g *WithT, targets []catalog.Target) *placement.Placer {
	placer, clk := newPlacer()
	first, err := placer.Place(promptOf(900), targets)
	g.Expect(err).NotTo(HaveOccurred())
	first.End(placement.Served)
	for range 10 {
		for _, target := range targets[1:] {
			placer.RecordUnconnected(target)
			placer.RecordProbe(targets[0], true)
		}
		clk.Advance(time.Second)
	}
	clk.Advance(10 * time.Second)
	return placer
}

func promptOf(tokens int) placement.Request {
	return placement.Request{Service: "llm", Engine: &engineSpec, PromptTokens: tokens, Objective: 2500 * time.Millisecond}
}

// Nothing is queued at engines whose connections have failed and can be opened again.
// Counting the failures as a wait refused long prompts as hopeless for as long as the
// failures were remembered.
func TestRecentFailuresAreNoPredictedWait(t *testing.T) {
	g := NewWithT(t)
	targets := engineTargets(5)
	placer, _ := newPlacer()
	want, err := placer.Place(promptOf(300_000), targets)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := afterFailedConnections(g, targets).Place(promptOf(300_000), targets)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.PredictedWait).To(Equal(want.PredictedWait))
}

func TestEnginesWithoutRecentFailuresArePreferred(t *testing.T) {
	g := NewWithT(t)
	targets := engineTargets(5)
	placer := afterFailedConnections(g, targets)
	for range 20 {
		p, err := placer.Place(promptOf(900), targets)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Primary.ID).To(Equal(targets[0].ID))
		p.End(placement.Abandoned)
	}
}
