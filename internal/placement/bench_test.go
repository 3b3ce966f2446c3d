package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

// BenchmarkPlace measures the CPU time of one placement with eight jobs on each
// engine.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{23, 78, 195, 295, 500} {
		for _, wl := range []fleetmodel.Workload{question, handbook} {
			b.Run(fmt.Sprint(wl.Name, "/engines-", engines), func(b *testing.B) {
				placer := placement.NewPlacer(time.Now, 1)
				var targets []catalog.Target
				for i := range engines {
					targets = append(targets, catalog.Target{TargetKey: catalog.TargetKey{ID: fmt.Sprint("e", i)}, Service: "llm", Slots: 16})
				}
				for i := range 8 * engines {
					placer.RemoteStarted("peer", placement.Job{
						ID: placement.JobID(i), Service: "llm", Weight: 1, MaxEventGap: 250 * time.Millisecond, Prefilled: true,
						Shares: []placement.Share{{Target: targets[i%engines].TargetKey, Tokens: 5000, Decodes: true}},
					})
				}
				req := placement.Request{
					Service: "llm", Engine: &engineSpec, PromptTokens: int(wl.MeanPromptTokens), OutputTokens: 1000,
					Objective: wl.Objective, MaxEventGap: wl.MaxEventGap, AbandonAfter: 10 * time.Second,
				}
				for b.Loop() {
					p, err := placer.Place(req, targets)
					if err != nil {
						b.Fatal(err)
					}
					p.End(placement.Abandoned)
				}
			})
		}
	}
}
