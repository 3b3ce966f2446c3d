package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// BenchmarkPlace is the processor time of one decision, with eight jobs at each engine.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{23, 78, 500} {
		for _, k := range []kind{question, handbook} {
			b.Run(fmt.Sprint(k.name, "/engines-", engines), func(b *testing.B) {
				board := placement.NewPlacer(time.Now, 1)
				var targets []catalog.Target
				for i := range engines {
					targets = append(targets, catalog.Target{TargetKey: catalog.TargetKey{ID: fmt.Sprint("e", i)}, Service: "llm", Slots: 16})
				}
				for i := range 8 * engines {
					board.RemoteStarted("peer", placement.Job{
						ID: placement.JobID(i), Service: "llm", Weight: 1, MaxEventGap: 250 * time.Millisecond, Prefilled: true,
						Shares: []placement.Share{{Target: targets[i%engines].TargetKey, Tokens: 5000, Decodes: true}},
					})
				}
				need := placement.Request{
					Service: "llm", Engine: &figures, PromptTokens: int(k.prompt), OutputTokens: 1000,
					Objective: k.objective, MaxEventGap: k.maxPause, AbandonAfter: 10 * time.Second,
				}
				for b.Loop() {
					p, err := board.Place(need, targets)
					if err != nil {
						b.Fatal(err)
					}
					p.End(placement.Abandoned)
				}
			})
		}
	}
}
