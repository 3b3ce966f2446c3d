package cost_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// Estimates stay finite, positive and within bounds for any reported values.
func TestEstimatesStayInBoundsForInvalidReports(t *testing.T) {
	anyRate := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300}))
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		e := cost.NewEstimator()
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			rates := e.Observe(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"), engineapi.LoadReport{
				Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"), Model: "m",
				PrefillRate: anyRate.Draw(t, "prefill"), DecodeRate: anyRate.Draw(t, "decode"),
				PromptBytes: rapid.Int64().Draw(t, "bytes"), PromptTokens: rapid.Int64().Draw(t, "tokens"),
			})
			for _, r := range []cost.Rates{rates, e.Rates("m")} {
				g.Expect(r.Prefill).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 1e7)))
				g.Expect(r.Decode).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 1e7)))
				g.Expect(r.PrefillTime(1e6)).To(gomega.BeNumerically(">", 0))
			}
			g.Expect(e.EstimateTokens("m", 1600)).To(gomega.And(gomega.BeNumerically(">=", 100), gomega.BeNumerically("<=", 1600)))
		}
	})
}

func TestLearnsBytesPerTokenAndRates(t *testing.T) {
	g := gomega.NewWithT(t)
	e := cost.NewEstimator()
	g.Expect(e.EstimateTokens("m", 3000)).To(gomega.Equal(1000))
	for i := range int64(200) {
		e.Observe("a", engineapi.LoadReport{
			Incarnation: "1", Model: "m", PrefillRate: 40_000, DecodeRate: 25, PromptBytes: 50_000 * i, PromptTokens: 10_000 * i,
		})
	}
	g.Expect(e.EstimateTokens("m", 5_000)).To(gomega.BeNumerically("~", 1_000, 10))
	g.Expect(e.EstimateTokens("other", 3_000)).To(gomega.Equal(1_000))
	g.Expect(e.Rates("m").PrefillTime(40_000)).To(gomega.Equal(time.Second))
}
