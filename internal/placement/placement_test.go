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

func newBoard() (*placement.Placer, *clock.Manual) {
	clk := clock.NewManual(time.Unix(1e9, 0))
	return placement.NewPlacer(clk.Now, 1), clk
}

var order = placement.Request{Service: "orders"}

func TestAShunnedTargetIsTriedOnlyWithoutOthers(t *testing.T) {
	g := NewWithT(t)
	board, _ := newBoard()
	targets := plainTargets("north", "north")
	first, err := board.Place(order, targets)
	g.Expect(err).NotTo(HaveOccurred())
	first.End(placement.Unreachable)
	for range 20 {
		p, err := board.Place(order, targets)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Primary.ID).NotTo(Equal(first.Primary.ID))
	}
	p, err := board.Place(order, []catalog.Target{first.Primary})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Primary.ID).To(Equal(first.Primary.ID))
}

func TestWithoutTargetsNothingIsPlaced(t *testing.T) {
	g := NewWithT(t)
	board, _ := newBoard()
	need := order
	need.ExcludedTargets = []string{"t0"}
	_, err := board.Place(need, plainTargets("north"))
	g.Expect(err).To(MatchError(placement.ErrNoTarget))
}

// Two unreachable targets of a domain, with no sign of life since, speak for
// all its targets; one answer ends that.
func TestTargetsOfADomainThatIsCutOffAreAvoided(t *testing.T) {
	g := NewWithT(t)
	board, clk := newBoard()
	targets := plainTargets("south", "south", "south", "south", "south", "south", "north")
	fail := func(i int) {
		p, err := board.Place(order, targets[i:i+1])
		g.Expect(err).NotTo(HaveOccurred())
		p.End(placement.Unreachable)
		clk.Advance(time.Millisecond)
	}
	fail(0)
	fail(1)
	for range 30 {
		p, err := board.Place(order, targets)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Primary.Domain).To(Equal("north"))
	}
	clk.Advance(2 * time.Second)
	tried := 0
	for range 30 {
		p, err := board.Place(order, targets)
		g.Expect(err).NotTo(HaveOccurred())
		if p.Primary.Domain == "south" {
			tried++
		}
	}
	g.Expect(tried).To(BeNumerically("<=", 1), "one request tries whether the domain is back")
	p, err := board.Place(order, targets[2:3])
	g.Expect(err).NotTo(HaveOccurred())
	p.End(placement.Served)
	south := 0
	for range 30 {
		p, err := board.Place(order, targets)
		g.Expect(err).NotTo(HaveOccurred())
		if p.Primary.Domain == "south" {
			south++
		}
	}
	g.Expect(south).To(BeNumerically(">", 0))
}

func TestAPeersJobsCountUntilTheyEndOrThePeerIsForgotten(t *testing.T) {
	g := NewWithT(t)
	board, _ := newBoard()
	targets := plainTargets("north", "north")
	busy := func(id placement.JobID) placement.Job {
		return placement.Job{ID: id, Service: "orders", Prefilled: true, Shares: []placement.Share{{Target: targets[0].TargetKey, Decodes: true}}}
	}
	counts := func() (onFirst int) {
		var placed []*placement.Placement
		for range 6 {
			p, err := board.Place(order, targets)
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
		board.RemoteStarted("peer", busy(id))
		board.RemoteStarted("peer", busy(id)) // told twice, counted once
	}
	g.Expect(counts()).To(BeZero())
	board.RemoteEnded("peer", 1)
	board.RemoteEnded("peer", 2)
	g.Expect(counts()).To(Equal(1))
	board.ForgetHost("peer")
	g.Expect(counts()).To(Equal(3))
	g.Expect(board.LocalJobs()).To(BeEmpty())
}
