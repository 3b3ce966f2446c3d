package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/placement"
)

func TestServiceIsUnreachableAfterFailuresAtTwoTargetsWithoutAnAnswer(t *testing.T) {
	g := NewWithT(t)
	placer, clk := newPlacer()
	var changes []placement.ReachabilityChange
	placer.OnReachabilityChanged(func(c placement.ReachabilityChange) { changes = append(changes, c) })
	targets := plainTargets("north", "north", "south")
	end := func(i int, result placement.Result) {
		p, err := placer.Place(orderRequest, targets)
		g.Expect(err).NotTo(HaveOccurred())
		for p.Primary.ID != targets[i].ID {
			p.End(placement.Abandoned)
			p, err = placer.Place(placement.Request{Service: "orders"}, targets[i:i+1])
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err = placer.Place(orderRequest, targets)
		g.Expect(err).NotTo(HaveOccurred())
		clk.Advance(time.Second)
		p.End(result)
	}
	end(0, placement.Unconnected)
	end(0, placement.Unconnected)
	g.Expect(changes).To(BeEmpty(), "one silent target is no cut")
	end(1, placement.Unreachable)
	g.Expect(changes).To(BeEmpty(), "a request may have brought about a lost response")
	end(1, placement.Served)
	end(2, placement.Unconnected)
	g.Expect(changes).To(BeEmpty(), "an answer in between")
	end(1, placement.Abandoned)
	end(0, placement.Unconnected)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Reachable).To(BeFalse())
	g.Expect(changes[0].FailedTargets).To(Equal(2))
	g.Expect(placer.UnreachableServices()).To(Equal(1))
	end(1, placement.Unconnected)
	g.Expect(changes).To(HaveLen(1))
	end(1, placement.Shed)
	g.Expect(changes).To(HaveLen(2))
	g.Expect(changes[1].Reachable).To(BeTrue())
	g.Expect(changes[1].Since).To(Equal(changes[0].Since))
	g.Expect(placer.UnreachableServices()).To(BeZero())
}

func TestFailuresLongAgoDoNotMakeAServiceUnreachable(t *testing.T) {
	g := NewWithT(t)
	placer, clk := newPlacer()
	targets := plainTargets("north", "north")
	for range 3 {
		p, err := placer.Place(orderRequest, targets)
		g.Expect(err).NotTo(HaveOccurred())
		p.End(placement.Unconnected)
		clk.Advance(time.Minute)
	}
	g.Expect(placer.UnreachableServices()).To(BeZero())
}
