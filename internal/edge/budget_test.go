package edge

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// retryBound is what a service may get in one retryBound: the users' bound.
func retryBound(s Settings, first int) float64 { return s.RetryRatio*float64(first) + s.RetryBurst }

// Every host is full of saved retries, and all are used in the same moment.
func TestRetryBoundAcrossManyHosts(t *testing.T) {
	g := NewWithT(t)
	s := Settings{RetryRatio: 0.2, RetryBurst: 240}
	const fleet, requests = 82, 100
	retries := 0
	for range fleet {
		b, err := newRetryBudget(s, func() int { return fleet })
		g.Expect(err).NotTo(HaveOccurred())
		for range requests {
			b.First("llm")
		}
		for b.Retry("llm") {
			retries++
		}
	}
	g.Expect(float64(retries)).To(BeNumerically("<=", s.RetryBurst))
	g.Expect(retries).To(BeNumerically(">", 0))
}

// The fleet grows and shrinks, some hosts hear of fewer than there are, and
// requests come and fail in bursts. In no window are there more second arrivals
// than the users allow.
func TestFuzzRetryBoundAcrossHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			RetryRatio: rapid.SampledFrom([]float64{0, 0.1, 0.2}).Draw(t, "ratio"),
			RetryBurst: float64(rapid.IntRange(100, 400).Draw(t, "burst")),
		}
		size := rapid.IntRange(1, 90).Draw(t, "size")
		isolated := rapid.IntRange(0, 2).Draw(t, "deaf") // hosts that hear of nobody
		var fleet []*retryBudget
		for i := range size {
			knownHosts := size
			if i < isolated {
				knownHosts = 1
			}
			b, err := newRetryBudget(s, func() int { return knownHosts })
			if err != nil {
				t.Fatal(err)
			}
			fleet = append(fleet, b)
		}
		type counts struct{ first, retries int }
		var history []counts
		const windowSeconds = 10
		for range rapid.IntRange(1, 40).Draw(t, "seconds") {
			var current counts
			load := rapid.IntRange(0, 20).Draw(t, "load")
			failing := rapid.IntRange(0, 20).Draw(t, "failing")
			for _, b := range fleet {
				for range load {
					b.First("llm")
					current.first++
				}
				for range failing {
					if b.Retry("llm") {
						current.retries++
					}
				}
			}
			history = append(history, current)
			first, retries := 0, 0
			for _, past := range history[max(0, len(history)-windowSeconds):] {
				first += past.first
				retries += past.retries
			}
			if bound := math.Ceil(retryBound(s, first)); float64(retries) > bound {
				t.Fatalf("%d second arrivals in a window of %d requests at %d hosts, %v are allowed", retries, first, size, bound)
			}
		}
	})
}
