package placement_test

import (
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
