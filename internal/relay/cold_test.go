package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
)

// The users' figures of cold targets: the rate that one accepts, and the bound on what all
// hosts together may send it in any second.
const (
	coldRate   = 14
	coldPeriod = 3 * time.Second
	coldFactor = 1.5
	coldSlack  = 5
	coldWindow = time.Second
	// viewDelay is the longest time until a host has a change of the store.
	viewDelay = 600 * time.Millisecond
)

// coldReturn is a way in which engines come back.
type coldReturn struct {
	name       string
	registered bool // they are registered while they are down
	published  bool // their new registrations say that they are cold
	// perSecond is the load. Without a new registration, a host that did not meet a dark
	// engine cannot know that it is cold, so there the ordinary load of an engine is one that
	// a cold one bears.
	perSecond float64
}

var coldReturns = []coldReturn{
	{name: "removed and registered anew", published: true, perSecond: 140},
	{name: "dark and registered all along", registered: true, perSecond: 110},
	{name: "dark, then published", registered: true, published: true, perSecond: 140},
}

// mostPerSecond returns the largest number of requests that reached a target within any
// second that ends in a period.
func (t *fleetTargets) mostPerSecond(target string, from, to time.Time) int {
	return t.mostWithin(coldWindow, func(a arrival) bool {
		return a.target == target && !a.at.Before(from) && !a.at.After(to)
	})
}

// coldSource serves engines that accept few requests while they are cold.
func coldSource() *fakeSource {
	s := newFakeSource()
	llm, _ := s.config.Service("llm")
	llm.ColdRate, llm.ColdPeriod = coldRate, coldPeriod
	return s
}

// publish gives each host the view after a random delay.
func (f *fleet) publish(view *follow.View) {
	for _, h := range f.all() {
		f.mu.Lock()
		delay := time.Duration(f.random.Int64N(int64(viewDelay)))
		f.mu.Unlock()
		time.AfterFunc(delay, func() { h.views.set(view) })
	}
}

// Two of five engines are down for some seconds and come back cold and empty, so that they
// look best to every host, while hosts start, freeze, wake and are cut off from each other.
func TestColdEnginesGetNoMoreRequestsThanTheyAccept(t *testing.T) {
	for _, hosts := range []int{7, 76, 300} {
		for _, c := range coldReturns {
			t.Run(fmt.Sprintf("hosts=%d/%s", hosts, c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkColdReturn(t, hosts, c) })
			})
		}
	}
}

func checkColdReturn(t *testing.T, hosts int, c coldReturn) {
	g := NewWithT(t)
	source := coldSource()
	targets := newFleetTargets(40 * time.Millisecond)
	f := newFleet(hosts, source, targets)
	cold := []string{"llm-0", "llm-1"}
	start := time.Now()
	const down, back, end = 4 * time.Second, 8 * time.Second, 13 * time.Second
	time.AfterFunc(down, func() {
		for _, id := range cold {
			targets.setDark(id, true)
		}
		if !c.registered {
			f.publish(viewOf(source.without(cold...)))
		}
	})
	time.AfterFunc(back, func() {
		for _, id := range cold {
			targets.setDark(id, false)
		}
		if c.published {
			f.publish(viewOf(source.withCold(coldPeriod, cold...)))
		}
	})
	time.AfterFunc(5*time.Second, func() { f.freeze(f.all()[3], 3500*time.Millisecond) })
	time.AfterFunc(6*time.Second, func() { f.cut(f.all()[:hosts/3], 5*time.Second) })
	time.AfterFunc(8200*time.Millisecond, func() { f.join() })
	f.load(end, c.perSecond, promptRequest)
	for _, id := range cold {
		got := targets.mostPerSecond(id, start.Add(back), start.Add(back+coldPeriod))
		used := targets.count(id, start.Add(back), start.Add(back+coldPeriod))
		t.Logf("%s: %d in the busiest second, %d while cold", id, got, used)
		g.Expect(got).To(BeNumerically("<=", coldFactor*coldRate+coldSlack), id)
		g.Expect(used).To(BeNumerically(">", 0), "a cold engine serves")
	}
}

// without returns the source without some targets.
func (s *fakeSource) without(ids ...string) *fakeSource {
	return s.with(func(t *catalog.Target) bool { return !slices.Contains(ids, t.ID) })
}

// withCold returns the source in which some targets have registered as cold.
func (s *fakeSource) withCold(d time.Duration, ids ...string) *fakeSource {
	return s.with(func(t *catalog.Target) bool {
		if slices.Contains(ids, t.ID) {
			t.ColdFor = d
		}
		return true
	})
}

func (s *fakeSource) with(change func(*catalog.Target) bool) *fakeSource {
	out := *s
	out.targets = nil
	for _, t := range s.targets {
		if change(&t) {
			out.targets = append(out.targets, t)
		}
	}
	return &out
}
