package placement_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

var plainTarget = catalog.Target{TargetKey: catalog.TargetKey{ID: "plain"}, Service: "orders", Slots: 4}

// manualClock is a clock that the test moves.
type manualClock struct{ now time.Time }

func newManualClock() *manualClock                   { return &manualClock{now: time.Unix(1000, 0)} }
func (c *manualClock) Now() time.Time                { return c.now }
func (c *manualClock) advance(d time.Duration)       { c.now = c.now.Add(d) }
func (c *manualClock) ago(d time.Duration) time.Time { return c.now.Add(-d) }

func TestAnswerToAnEarlierRequestDoesNotRemoveARateLimit(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	placer := placement.NewPlacer(clock.Now, 1)
	p, err := placer.Place(placement.Request{Service: "orders"}, []catalog.Target{plainTarget})
	g.Expect(err).NotTo(HaveOccurred())
	p.End(placement.Served)
	limit := placement.RateLimit{PerSecond: 2, Named: true}

	g.Expect(placer.RecordRateLimit(plainTarget, limit, clock.ago(time.Second))).To(BeTrue())
	g.Expect(placer.RecordRateLimit(plainTarget, limit, clock.ago(time.Second))).To(BeFalse(), "known already")
	g.Expect(placer.RecordRateLimit(plainTarget, placement.RateLimit{}, clock.ago(time.Millisecond))).To(BeFalse())
	g.Expect(placer.RateLimits()).To(HaveLen(1))

	clock.advance(time.Second)
	g.Expect(placer.RecordRateLimit(plainTarget, placement.RateLimit{}, clock.ago(time.Millisecond))).To(BeTrue())
	g.Expect(placer.RateLimits()).To(BeEmpty())
}

// An engine at its rate limit decodes nothing new but helps to prefill long prompts.
func TestEnginesAtTheirRateLimitOnlyHelpWithThePrefill(t *testing.T) {
	const atLimit = 3
	engines := engineTargets(4)
	clock := newManualClock()
	placer := placement.NewPlacer(clock.Now, 1)
	place := func(promptTokens int) (*placement.Placement, error) {
		return placer.Place(placement.Request{Service: "llm", Engine: &engineSpec, PromptTokens: promptTokens, OutputTokens: 200, Objective: 2500 * time.Millisecond}, engines)
	}
	g := NewWithT(t)
	p, err := place(2000)
	g.Expect(err).NotTo(HaveOccurred())
	p.End(placement.Served)
	for _, e := range engines[:atLimit] {
		placer.RecordPeerRateLimit(placement.TargetRateLimit{Service: "llm", Target: e.TargetKey, Limit: placement.RateLimit{PerSecond: 1, Named: true}})
	}
	for _, tokens := range []int{2000, 150000, 300000} {
		p, err := place(tokens)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Primary.ID).To(Equal(engines[atLimit].ID))
		if tokens > 2000 {
			g.Expect(len(p.Parts)).To(BeNumerically(">", 1))
		}
		p.End(placement.Served)
	}
	placer.RecordPeerRateLimit(placement.TargetRateLimit{Service: "llm", Target: engines[atLimit].TargetKey, Limit: placement.RateLimit{PerSecond: 1, Named: true}})
	var limited *placement.DeferredError
	for _, tokens := range []int{2000, 300000} {
		_, err := place(tokens)
		g.Expect(errors.As(err, &limited)).To(BeTrue())
	}
}

func engineTargets(n int) []catalog.Target {
	var out []catalog.Target
	for i := range n {
		out = append(out, catalog.Target{TargetKey: catalog.TargetKey{ID: fmt.Sprint("engine-", i)}, Service: "llm", Slots: engineSpec.Slots})
	}
	return out
}
