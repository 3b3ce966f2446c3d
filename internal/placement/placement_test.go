package placement_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

func plainTargets(domains ...string) []catalog.Target {
	var out []catalog.Target
	for i, domain := range domains {
		out = append(out, catalog.Target{
			TargetKey: catalog.TargetKey{ID: fmt.Sprint("t", i)}, Service: "orders", Domain: domain, Slots: 6,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 80),
		})
	}
	return out
}

func newPlacer() (*placement.Placer, *clock.Manual) {
	clk := clock.NewManual(time.Unix(1e9, 0))
	return placement.NewPlacer(clk.Now, 1), clk
}

var orderRequest = placement.Request{Service: "orders"}

func TestEjectedTargetIsUsedOnlyAsLastResort(t *testing.T) {
	g := NewWithT(t)
	placer, _ := newPlacer()
	targets := plainTargets("north", "north")
	first, err := placer.Place(orderRequest, targets)
	g.Expect(err).NotTo(HaveOccurred())
	first.End(placement.Unreachable)
	for range 20 {
		p, err := placer.Place(orderRequest, targets)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Primary.ID).NotTo(Equal(first.Primary.ID))
	}
	p, err := placer.Place(orderRequest, []catalog.Target{first.Primary})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Primary.ID).To(Equal(first.Primary.ID))
}

func TestPlaceFailsWithoutEligibleTargets(t *testing.T) {
	g := NewWithT(t)
	placer, _ := newPlacer()
	req := orderRequest
	req.ExcludedTargets = []string{"t0"}
	_, err := placer.Place(req, plainTargets("north"))
	g.Expect(err).To(MatchError(placement.ErrNoTarget))
}

// After two unreachable targets of a failure domain without an answer from the
// domain since, all its targets are avoided, except by probes. One answer ends this.
func TestTargetsOfUnreachableDomainAreAvoided(t *testing.T) {
	g := NewWithT(t)
	placer, clk := newPlacer()
	targets := plainTargets("south", "south", "south", "south", "south", "south", "north")
	failAttempt := func(i int) {
		p, err := placer.Place(orderRequest, targets[i:i+1])
		g.Expect(err).NotTo(HaveOccurred())
		p.End(placement.Unreachable)
		clk.Advance(time.Millisecond)
	}
	failAttempt(0)
	failAttempt(1)
	for range 30 {
		p, err := placer.Place(orderRequest, targets)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Primary.Domain).To(Equal("north"))
	}
	clk.Advance(2 * time.Second)
	probes := 0
	for range 30 {
		p, err := placer.Place(orderRequest, targets)
		g.Expect(err).NotTo(HaveOccurred())
		if p.Primary.Domain == "south" {
			probes++
		}
	}
	g.Expect(probes).To(BeNumerically("<=", 1), "one request probes the domain")
	p, err := placer.Place(orderRequest, targets[2:3])
	g.Expect(err).NotTo(HaveOccurred())
	p.End(placement.Served)
	onSouth := 0
	for range 30 {
		p, err := placer.Place(orderRequest, targets)
		g.Expect(err).NotTo(HaveOccurred())
		if p.Primary.Domain == "south" {
			onSouth++
		}
	}
	g.Expect(onSouth).To(BeNumerically(">", 0))
}

func TestRemoteJobsCountUntilEndOrForgetHost(t *testing.T) {
	g := NewWithT(t)
	placer, _ := newPlacer()
	targets := plainTargets("north", "north")
	runningJob := func(id placement.JobID) placement.Job {
		return placement.Job{ID: id, Service: "orders", Prefilled: true, Shares: []placement.Share{{Target: targets[0].TargetKey, Decodes: true}}}
	}
	countOnFirst := func() (onFirst int) {
		var placed []*placement.Placement
		for range 6 {
			p, err := placer.Place(orderRequest, targets)
			g.Expect(err).NotTo(HaveOccurred())
			if p.Primary.ID == targets[0].ID {
				onFirst++
			}
			placed = append(placed, p)
		}
		for _, p := range placed {
			p.End(placement.Served)
		}
		return onFirst
	}
	for id := placement.JobID(1); id <= 6; id++ {
		placer.RemoteStarted("peer", runningJob(id))
		placer.RemoteStarted("peer", runningJob(id)) // a repeated report is ignored
	}
	g.Expect(countOnFirst()).To(BeZero())
	placer.RemoteEnded("peer", 1)
	placer.RemoteEnded("peer", 2)
	g.Expect(countOnFirst()).To(Equal(1))
	placer.ForgetHost("peer")
	g.Expect(countOnFirst()).To(Equal(3))
	g.Expect(placer.LocalJobs()).To(BeEmpty())
}

// Streams whose next event will be late in any case are still not to be held up until
// their callers leave: a long prompt that has the time goes to the engine with the longer
// backlog.
func TestLongPromptDoesNotBreakLateStreams(t *testing.T) {
	g := NewWithT(t)
	placer, _ := newPlacer()
	targets := plainTargets("north", "north")
	remoteJob := func(id placement.JobID, target int, prefillTime time.Duration, prefilled bool) {
		placer.RemoteStarted("peer", placement.Job{
			ID: id, Service: "llm", Weight: 1, MaxEventGap: 250 * time.Millisecond, Prefilled: prefilled,
			Shares: []placement.Share{{Target: targets[target].TargetKey, Decodes: true, PrefillTime: prefillTime}},
		})
	}
	for id := placement.JobID(1); id <= 12; id++ {
		remoteJob(id, 0, 0, true)
	}
	remoteJob(20, 0, 400*time.Millisecond, false)
	remoteJob(21, 1, 900*time.Millisecond, false)
	req := placement.Request{Service: "llm", Engine: &engineSpec, PromptTokens: 150_000, Objective: 8 * time.Second, MaxEventGap: time.Second}
	placed, err := placer.Place(req, targets)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(placed.Primary.ID).To(Equal(targets[1].ID))
	g.Expect(placed.Parts).To(BeEmpty())
}
