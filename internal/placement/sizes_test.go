package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

// The largest tenth of the long prompts and the fifth below it are served, in time or late,
// about as often as the whole kind. A largest prompt needs many engines at once, so the latest
// of many waits decides for it.
func TestAdmissionServesAllSizesAlike(t *testing.T) {
	const tolerance = 0.1
	for name, load := range fleetmodel.Loads() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			load.Contention = true
			results := playLoad(load)
			served := mean(results, func(r fleetmodel.Result) float64 { return r["long"].ServedShare() })
			largest := mean(results, func(r fleetmodel.Result) float64 { c, _, _ := r["long"].BySize(); return c.Served })
			large := mean(results, func(r fleetmodel.Result) float64 { _, c, _ := r["long"].BySize(); return c.Served })
			t.Logf("long prompts served: %.3f of all, %.3f of the largest tenth, %.3f of the fifth below", served, largest, large)
			g.Expect(largest).To(BeNumerically(">=", served-tolerance))
			g.Expect(large).To(BeNumerically(">=", served-tolerance))
		})
	}
}

// fleetSizes are the sizes at which a burst of long prompts is played, with as many seeds that
// the largest tenth has some forty prompts.
var fleetSizes = []struct {
	hosts, engines int
	seeds          uint64
}{{hosts: 7, engines: 23, seeds: 16}, {hosts: 62, engines: 78, seeds: 5}, {hosts: 195, engines: 195, seeds: 2}, {hosts: 295, engines: 195, seeds: 2}}

// Guards against refusing the largest prompts of a kind in a burst that engines have room for.
func TestBurstOfLongPromptsServesAllSizesAlike(t *testing.T) {
	const tolerance = 0.1
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var results []fleetmodel.Result
			for seed := range size.seeds {
				results = append(results, fleetmodel.Play(fleetmodel.LongPromptBurst(size.hosts, size.engines), seed))
			}
			for _, kind := range []string{"medium", "long"} {
				served := mean(results, func(r fleetmodel.Result) float64 { return r[kind].ServedShare() })
				largest := mean(results, func(r fleetmodel.Result) float64 { c, _, _ := r[kind].BySize(); return c.Served })
				large := mean(results, func(r fleetmodel.Result) float64 { _, c, _ := r[kind].BySize(); return c.Served })
				t.Logf("%s prompts served: %.3f of all, %.3f of the largest tenth, %.3f of the fifth below", kind, served, largest, large)
				g.Expect(largest).To(BeNumerically(">=", served-tolerance), kind)
				g.Expect(large).To(BeNumerically(">=", served-tolerance), kind)
			}
		})
	}
}
