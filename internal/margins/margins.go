// Package margins tells from the structured logs of all hosts how near callers came to being
// served less than the bounds allow. A caller who was refused and came back counts once.
package margins

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/losses"
)

const (
	maxUnserved       = 0.6  // largest fraction of the callers that are refused or fail
	minSizeRatio      = 0.5  // of the service of a kind that its largest prompts get
	minServiceRatio   = 0.25 // of the service of all that a kind or an organisation gets
	minGroupRatio     = 0.05 // of the callers, from which a kind or a domain has a floor of its own
	minGroupCallers   = 20   // from which the service of a group is compared
	minSubjectCallers = 4
	minSubjectPeriod  = 8 * time.Second
	// Subjects that may be never served: a number, a fraction of all, and a multiple of those
	// that are expected by chance.
	allowedSubjects        = 2
	allowedSubjectFraction = 0.04
	allowedChanceFactor    = 3
)

// Terms are the figures of a deployment that logs do not tell. Floors of 0 are unknown.
type Terms struct {
	LatePayoff              float64            // of a late answer, as a fraction of that of a timely one
	Payoffs                 map[string]float64 // of a request of mean size by route; 1 where not given
	Floor                   float64            // of the payoff of all, as a fraction of what is owed
	RouteFloor, DomainFloor float64
}

// Margin is how near the callers of a group came to a bound.
type Margin struct {
	Bound   string
	Group   string // the one that is nearest to the bound
	Callers int
	Value   float64
	Limit   float64
	AtMost  bool // the limit is the largest value allowed, not the smallest
}

// Left returns how far the value is on the allowed side of the limit; negative if it is not.
func (m *Margin) Left() float64 {
	if m.AtMost {
		return m.Limit - m.Value
	}
	return m.Value - m.Limit
}

// Margins returns the margin of each bound for the group that is nearest to it.
func Margins(callers []Caller, terms Terms) []Margin {
	r := &reckoner{callers: callers, terms: terms, meanTokens: meanTokens(callers)}
	byRoute := groupBy(callers, func(c *Caller) string { return c.Route })
	byDomain := groupBy(callers, func(c *Caller) string { return c.Domain })
	byOrganisation := groupBy(callers, func(c *Caller) string { return c.Organisation })
	unserved := Margin{Bound: "refused or failed", Group: "all", Callers: len(callers), Value: 1 - service(callers), Limit: maxUnserved, AtMost: true}
	return slices.Concat(
		[]Margin{r.payoff("payoff", "all", callers, terms.Floor)},
		nearest(r.payoffs("payoff of a route", byRoute, terms.RouteFloor)),
		nearest(r.payoffs("payoff of a domain", byDomain, terms.DomainFloor)),
		[]Margin{unserved},
		nearest(sizes(byRoute)),
		nearest(subjects(byRoute)),
		nearest(r.services("service of a route", byRoute)),
		nearest(r.services("service of an organisation", byOrganisation)),
	)
}

// group is a set of callers with something in common.
type group struct {
	name    string
	callers []Caller
}

// groupBy returns the groups of callers with the same key, by its order, without those that
// have none.
func groupBy(callers []Caller, key func(*Caller) string) []group {
	members := make(map[string][]Caller)
	for i := range callers {
		if k := key(&callers[i]); k != "" {
			members[k] = append(members[k], callers[i])
		}
	}
	var out []group
	for _, name := range slices.Sorted(maps.Keys(members)) {
		out = append(out, group{name, members[name]})
	}
	return out
}

// nearest returns the margin that is smallest, if there is one.
func nearest(margins []Margin) []Margin {
	if len(margins) == 0 {
		return nil
	}
	return []Margin{slices.MinFunc(margins, func(a, b Margin) int { return cmp.Compare(a.Left(), b.Left()) })}
}

// service returns the fraction of the callers that are served.
func service(callers []Caller) float64 {
	served := 0
	for i := range callers {
		if callers[i].Fate.Served() {
			served++
		}
	}
	return float64(served) / float64(max(len(callers), 1))
}

// reckoner reckons what concerns all callers.
type reckoner struct {
	callers    []Caller
	terms      Terms
	meanTokens map[string]float64 // of the prompts, by route
}

func meanTokens(callers []Caller) map[string]float64 {
	mean, count := make(map[string]float64), make(map[string]float64)
	for i := range callers {
		c := &callers[i]
		count[c.Route]++
		mean[c.Route] += (float64(c.PromptTokens) - mean[c.Route]) / count[c.Route]
	}
	return mean
}

// payoff returns the margin of what callers earned of what is owed.
func (r *reckoner) payoff(bound, name string, callers []Caller, floor float64) Margin {
	earned, owed := 0.0, 0.0
	for i := range callers {
		c := &callers[i]
		payoff := r.payoffOf(c)
		owed += payoff
		switch {
		case c.Fate == losses.InTime:
			earned += payoff
		case c.Fate.Served():
			earned += payoff * r.terms.LatePayoff
		}
	}
	return Margin{Bound: bound, Group: name, Callers: len(callers), Value: earned / max(owed, math.SmallestNonzeroFloat64), Limit: floor}
}

// payoffOf returns the payoff of a timely answer: a fixed part and one by the size of the prompt
// against the mean of its route, up to a multiple.
func (r *reckoner) payoffOf(c *Caller) float64 {
	const fixed, largest = 0.3, 4
	payoff, known := r.terms.Payoffs[c.Route]
	if !known {
		payoff = 1
	}
	if c.PromptTokens == 0 {
		return payoff
	}
	return payoff * min(largest, fixed+(1-fixed)*float64(c.PromptTokens)/r.meanTokens[c.Route])
}

// payoffs returns the margins of the payoffs of groups that are large enough.
func (r *reckoner) payoffs(bound string, groups []group, floor float64) []Margin {
	var out []Margin
	for _, g := range groups {
		if float64(len(g.callers)) >= minGroupRatio*float64(len(r.callers)) {
			out = append(out, r.payoff(bound, g.name, g.callers, floor))
		}
	}
	return out
}

// services returns how often groups are served against all callers. Those to whom a target itself
// answered with a failure are left out.
func (r *reckoner) services(bound string, groups []group) []Margin {
	all := service(withoutTargetFailures(r.callers))
	var out []Margin
	for _, g := range groups {
		callers := withoutTargetFailures(g.callers)
		if len(callers) >= minGroupCallers && all > 0 {
			out = append(out, Margin{Bound: bound, Group: g.name, Callers: len(callers), Value: service(callers) / all, Limit: minServiceRatio})
		}
	}
	return out
}

func withoutTargetFailures(callers []Caller) []Caller {
	return slices.DeleteFunc(slices.Clone(callers), func(c Caller) bool { return c.Cause == losses.CauseTarget })
}

// sizes returns how often the largest tenth of the prompts of a route, and the fifth below it,
// are served against all of the route. Answers that broke off are left out.
func sizes(routes []group) []Margin {
	var out []Margin
	for _, g := range routes {
		prompts := slices.DeleteFunc(slices.Clone(g.callers), func(c Caller) bool { return c.PromptTokens == 0 || c.Fate == losses.Broken })
		all := service(prompts)
		if len(prompts) < minGroupCallers || all == 0 {
			continue
		}
		slices.SortStableFunc(prompts, func(a, b Caller) int { return cmp.Compare(b.PromptTokens, a.PromptTokens) })
		tenth, third := len(prompts)/10, 3*len(prompts)/10
		for _, part := range []group{{"largest tenth", prompts[:tenth]}, {"fifth below", prompts[tenth:third]}} {
			out = append(out, Margin{
				Bound: "service of the largest", Group: g.name + ", " + part.name, Callers: len(part.callers), Value: service(part.callers) / all, Limit: minSizeRatio,
			})
		}
	}
	return out
}

// subjects returns how many subjects of a route are never served, of those that are asked for
// often enough.
func subjects(routes []group) []Margin {
	var out []Margin
	for _, g := range routes {
		unserved := 1 - service(g.callers)
		asked, never, byChance := 0, 0, 0.0
		for _, s := range groupBy(g.callers, func(c *Caller) string { return c.Subject }) {
			if len(s.callers) < minSubjectCallers || s.callers[len(s.callers)-1].Start.Sub(s.callers[0].Start) < minSubjectPeriod {
				continue
			}
			asked++
			byChance += math.Pow(unserved, float64(len(s.callers)))
			if service(s.callers) == 0 {
				never++
			}
		}
		if asked > 0 {
			out = append(out, Margin{
				Bound: "subjects never served", Group: g.name, Callers: asked, Value: float64(never),
				Limit: allowedSubjects + allowedSubjectFraction*float64(asked) + allowedChanceFactor*byChance, AtMost: true,
			})
		}
	}
	return out
}
