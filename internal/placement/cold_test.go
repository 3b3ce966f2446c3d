package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/placement"
)

// One host reports a target. If it answers other hosts meanwhile, the links of that host have
// failed; if it answers nobody for a while, it was dark, and is cold once it answers again.
func TestReportOfOneHostIsJudgedByTheSignsOfLife(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration // from the report to the target's next answer
		cold    bool
	}{
		"the reporter's links failed": {silence: 50 * time.Millisecond},
		"the target was dark":         {silence: 2500 * time.Millisecond, cold: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock := newManualClock()
			placer := placement.NewPlacer(clock.Now, 1)
			placer.SetPeers(3, 3)
			targets := engineTargets(2)
			limited := func() bool {
				p, err := placer.Place(placement.Request{
					Service: "llm", Engine: &engineSpec, PromptTokens: 1000, Objective: time.Second, ColdRate: 1000, ColdPeriod: 3 * time.Second,
				}, targets)
				g.Expect(err).NotTo(HaveOccurred())
				p.End(placement.Abandoned)
				return placer.ColdTargets() > 0
			}
			g.Expect(limited()).To(BeFalse())
			placer.RemoteStarted("sound", placement.Job{ID: 1, Service: "llm", Weight: 1, Objective: time.Second,
				Shares: []placement.Share{{Target: targets[0].TargetKey, PrefillTime: time.Millisecond, Decodes: true}}})
			placer.RecordPeerSuspectedCold("reporter", "llm", targets[0].TargetKey)
			clock.advance(c.silence)
			g.Expect(limited()).To(BeTrue(), "no sign of life since the report")
			placer.RemotePrefilled("sound", 1)
			g.Expect(limited()).To(Equal(c.cold))
			clock.advance(3500 * time.Millisecond)
			g.Expect(limited()).To(BeFalse())
		})
	}
}
