package follow_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
)

func registrationIn(id, domain string) follow.Change {
	c := registration(id, false)
	c.Target.Domain = domain
	return c
}

func evacuated(domain string) follow.Change {
	return follow.Change{Evacuation: &follow.Evacuation{Domain: domain}}
}

func lifted(domain string) follow.Change {
	return follow.Change{Evacuation: &follow.Evacuation{Domain: domain, Lifted: true}}
}

// evacuationTest starts with target a in the domain north and b in south.
func evacuationTest(t *testing.T, test func(g *WithT, s *fakeStore, f *follow.Follower)) {
	runFollower(t, func(g *WithT, s *fakeStore, f *follow.Follower) {
		s.put(registrationIn("a", "north"))
		s.put(registrationIn("b", "south"))
		time.Sleep(200 * time.Millisecond)
		test(g, s, f)
	})
}

func TestEvacuatedDomainHasNoUsableTargetsUntilItIsLifted(t *testing.T) {
	evacuationTest(t, func(g *WithT, s *fakeStore, f *follow.Follower) {
		s.put(evacuated("north"))
		time.Sleep(200 * time.Millisecond)
		g.Expect(targets(f)).To(ConsistOf("b"))
		g.Expect(f.View().Usable(catalog.TargetKey{ID: "a", StartUnixMilli: 1})).To(BeFalse())
		s.put(registrationIn("c", "north"))
		time.Sleep(200 * time.Millisecond)
		g.Expect(targets(f)).To(ConsistOf("b"), "a target that registers in the domain is left out too")
		g.Expect(f.View().AllEvacuated("llm")).To(BeFalse())
		s.put(evacuated("south"))
		time.Sleep(200 * time.Millisecond)
		g.Expect(targets(f)).To(BeEmpty())
		g.Expect(f.View().AllEvacuated("llm")).To(BeTrue())
		g.Expect(f.EvacuatedDomains()).To(Equal(2))
		s.put(lifted("north"))
		s.put(lifted("south"))
		time.Sleep(200 * time.Millisecond)
		g.Expect(targets(f)).To(ConsistOf("a", "b", "c"))
	})
}

func TestEvacuationSurvivesOutageAndCompaction(t *testing.T) {
	evacuationTest(t, func(g *WithT, s *fakeStore, f *follow.Follower) {
		s.put(evacuated("north"))
		time.Sleep(200 * time.Millisecond)
		s.setDown(true)
		time.Sleep(10 * time.Second)
		g.Expect(targets(f)).To(ConsistOf("b"), "during the outage")
		s.compact()
		s.setDown(false)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(targets(f)).To(ConsistOf("b"), "after the outage")
		}
	})
}

// The store has come back from a copy that is older than the evacuation, and the operator
// writes it again a second later: the domain gets no requests in between.
func TestEvacuationThatAnOlderCopyLacksIsKeptForGracePeriod(t *testing.T) {
	evacuationTest(t, func(g *WithT, s *fakeStore, f *follow.Follower) {
		s.put(evacuated("north"))
		time.Sleep(200 * time.Millisecond)
		s.mu.Lock()
		s.changes = s.changes[:len(s.changes)-1]
		s.mu.Unlock()
		s.compact()
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(targets(f)).To(ConsistOf("b"))
		}
		s.put(evacuated("north"))
		time.Sleep(5 * time.Second)
		g.Expect(targets(f)).To(ConsistOf("b"), "it is listed again")
	})
}

// Without the operator's request after the return of the store, the evacuation ends.
func TestEvacuationThatIsNoLongerListedEnds(t *testing.T) {
	evacuationTest(t, func(g *WithT, s *fakeStore, f *follow.Follower) {
		s.put(evacuated("north"))
		time.Sleep(200 * time.Millisecond)
		s.setDown(true)
		time.Sleep(time.Second)
		s.put(lifted("north"))
		s.compact()
		s.setDown(false)
		time.Sleep(4 * time.Second)
		g.Expect(targets(f)).To(ConsistOf("a", "b"))
	})
}
