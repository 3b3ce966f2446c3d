package margins_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/losses"
	"github.com/plantainrun/plantainrun/internal/margins"
)

var start = time.Unix(1e9, 0)

// request returns one of a caller, at a second.
func request(key string, second int, fate losses.Fate) losses.Request {
	return losses.Request{Route: "chat", Organisation: "school", Domain: "north", CallerKey: key, PromptTokens: 1000, Start: start.Add(time.Duration(second) * time.Second), Fate: fate}
}

func TestCallerWhoComesBackAfterRefusalsCountsOnce(t *testing.T) {
	g := NewWithT(t)
	callers := margins.Callers([]losses.Request{
		request("a", 0, losses.Refused), request("b", 0, losses.Refused), request("a", 1, losses.Refused), request("c", 1, losses.InTime), request("a", 2, losses.InTime),
		request("", 3, losses.Refused), request("", 4, losses.InTime), request("c", 5, losses.Denied), request("c", 6, losses.Unfinished), request("c", 7, losses.InTime), request("b", 40, losses.InTime),
	})
	var got []string
	for _, c := range callers {
		got = append(got, fmt.Sprintf("%s %s %d", c.CallerKey, c.Fate, c.Tries))
	}
	g.Expect(got).To(Equal([]string{"a in time 3", "b refused 1", "c in time 1", " refused 1", " in time 1", "c in time 1", "b in time 1"}))
}

// marginOf returns the margin of a bound.
func marginOf(g *WithT, found []margins.Margin, bound string) margins.Margin {
	for _, m := range found {
		if m.Bound == bound {
			return m
		}
	}
	g.Expect(found).To(ContainElement(HaveField("Bound", bound)))
	return margins.Margin{}
}

// day returns 200 callers of two routes, of whom change may alter each.
func day(change func(i int, r *losses.Request)) []margins.Caller {
	var requests []losses.Request
	for i := range 200 {
		r := request(fmt.Sprint(i), i/10, losses.InTime)
		r.Route, r.Domain, r.Organisation, r.Subject = fmt.Sprint("route-", i%2), fmt.Sprint("domain-", i%4), fmt.Sprint("org-", i%5), fmt.Sprint("subject-", i%20)
		r.PromptTokens = 1000 + i
		change(i, &r)
		requests = append(requests, r)
	}
	return margins.Callers(requests)
}

func TestEachBoundNamesTheGroupThatIsNearest(t *testing.T) {
	terms := margins.Terms{LatePayoff: 0.25, Floor: 0.5, RouteFloor: 0.4, DomainFloor: 0.4}
	refuse := func(when func(i int) bool) func(int, *losses.Request) {
		return func(i int, r *losses.Request) {
			if when(i) {
				r.Fate = losses.Refused
			}
		}
	}
	for bound, c := range map[string]struct {
		change func(int, *losses.Request)
		group  string
		value  float64
	}{
		"payoff":                     {func(_ int, r *losses.Request) { r.Fate = losses.LateFirstEvent }, "all", 0.25},
		"payoff of a route":          {func(i int, r *losses.Request) { r.Fate = []losses.Fate{losses.InTime, losses.LatePause}[i%2] }, "route-1", 0.25},
		"payoff of a domain":         {refuse(func(i int) bool { return i%4 == 3 }), "domain-3", 0},
		"refused or failed":          {refuse(func(i int) bool { return i%10 < 7 }), "all", 0.7},
		"service of the largest":     {refuse(func(i int) bool { return i >= 180 && i%2 == 0 }), "route-0, largest tenth", 0},
		"subjects never served":      {refuse(func(i int) bool { return i%20 < 8 && i%2 == 0 }), "route-0", 4},
		"service of a route":         {refuse(func(i int) bool { return i%2 == 0 }), "route-0", 0},
		"service of an organisation": {refuse(func(i int) bool { return i%5 == 4 }), "org-4", 0},
	} {
		t.Run(bound, func(t *testing.T) {
			g := NewWithT(t)
			m := marginOf(g, margins.Margins(day(c.change), terms), bound)
			g.Expect(m.Group).To(Equal(c.group))
			g.Expect(m.Value).To(BeNumerically("~", c.value, 1e-9))
			g.Expect(m.Left()).To(BeNumerically("<", 0), "the bound is broken")
			calm := marginOf(g, margins.Margins(day(func(int, *losses.Request) {}), terms), bound)
			g.Expect(calm.Left()).To(BeNumerically(">", 0), "all are served")
		})
	}
}

func TestAnswersThatBrokeOffDoNotCountAgainstSizes(t *testing.T) {
	g := NewWithT(t)
	callers := day(func(i int, r *losses.Request) {
		if i >= 180 {
			r.Fate = losses.Broken
		}
	})
	g.Expect(marginOf(g, margins.Margins(callers, margins.Terms{}), "service of the largest").Value).To(Equal(1.0))
}

func TestFailuresOfTargetsDoNotCountAgainstTheServiceOfARoute(t *testing.T) {
	g := NewWithT(t)
	callers := day(func(i int, r *losses.Request) {
		if i%2 == 0 && i > 60 {
			r.Fate, r.Cause = losses.Broken, losses.CauseTarget
		}
	})
	g.Expect(marginOf(g, margins.Margins(callers, margins.Terms{}), "service of a route").Value).To(Equal(1.0))
}

func TestUnknownFloorsAreSaidToBeUnknown(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	g.Expect(margins.Write(&text, margins.Margins(day(func(int, *losses.Request) {}), margins.Terms{}))).To(Succeed())
	unknown := 0
	for line := range strings.Lines(text.String()) {
		if strings.HasSuffix(strings.Join(strings.Fields(line), " "), "unknown unknown") {
			unknown++
		}
	}
	g.Expect(unknown).To(Equal(3))
}
