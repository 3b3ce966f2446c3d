package schedule

import (
	"cmp"
	"path"
	"slices"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// routeKey identifies a route by the partner and its name for the model.
type routeKey struct {
	partner string
	model   string
}

// route holds the targets that may serve a model for one partner.
type route struct {
	pool      *pool
	model     string // name at the engines
	targets   []*targetState
	positions []int // index of each target among all that may serve the model, those of other hosts included
	size      int   // number of all targets that may serve the model
	groups    []group
}

// group is a set of engines that can split one prompt among them, sorted by target id.
type group struct {
	name    string
	members []*targetState
}

// memory returns the total memory of all members, in tokens.
func (g *group) memory() int {
	total := 0
	for _, t := range g.members {
		total += t.memory
	}
	return total
}

// maxTokens returns the largest number of prompt and output tokens that a single
// engine can hold, and that an engine or a group can hold.
func (r *route) maxTokens() (single, grouped int) {
	for _, t := range r.targets {
		single = max(single, t.memory)
	}
	grouped = single
	for i := range r.groups {
		grouped = max(grouped, r.groups[i].memory())
	}
	return single, grouped
}

// fit describes how a request fits into engine memory.
type fit struct {
	grouped           bool // split across a group
	needsShortReserve bool // only with the memory reserved for short prompts
}

// fitFor returns how to fit a request of need tokens, preferring first to
// leave the reserve for short prompts free and then a single engine. It returns
// false if the request does not fit.
func (r *route) fitFor(need int, class rules.Class) (fit, bool) {
	single, grouped := r.maxTokens()
	unreserved := 1 - shortReserveFraction
	if class == rules.ClassShort {
		unreserved = 1
	}
	switch {
	case need <= int(unreserved*float64(single)):
		return fit{}, true
	case need <= int(unreserved*float64(grouped)):
		return fit{grouped: true}, true
	case need <= single:
		return fit{needsShortReserve: true}, true
	default:
		return fit{grouped: true, needsShortReserve: true}, need <= grouped
	}
}

// candidate returns a Candidate for target i with the fields that do not change.
func (r *route) candidate(i int) Candidate {
	return Candidate{Target: r.targets[i].info.ID, Position: r.positions[i], RouteSize: r.size}
}

// add adds a target that this host uses.
func (r *route) add(t *targetState, position int) {
	r.targets = append(r.targets, t)
	r.positions = append(r.positions, position)
}

// buildGroups builds the groups of at least two targets from the targets' group
// names.
func (r *route) buildGroups() {
	byName := map[string]*group{}
	var names []string
	for _, t := range r.targets {
		if t.info.Group == "" {
			continue
		}
		g, ok := byName[t.info.Group]
		if !ok {
			g = &group{name: t.info.Group}
			byName[t.info.Group] = g
			names = append(names, t.info.Group)
		}
		g.members = append(g.members, t)
	}
	slices.Sort(names)
	for _, name := range names {
		g := byName[name]
		if len(g.members) < 2 {
			continue
		}
		slices.SortFunc(g.members, func(a, b *targetState) int { return cmp.Compare(a.info.ID, b.info.ID) })
		r.groups = append(r.groups, *g)
	}
}

// matchesAny reports whether a target id matches one of the patterns.
func matchesAny(patterns []string, id string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, id); err == nil && ok {
			return true
		}
	}
	return false
}

// modelRule returns the partner's rule for a model, if there is one.
func modelRule(sets map[string]rules.Set, partner, model string) (rules.Model, bool) {
	for _, m := range sets[partner].Models {
		if m.Name == model {
			return m, true
		}
	}
	return rules.Model{}, false
}

// sharersOf returns the hosts that use a target: all hosts of a small failure
// domain, and in a large one as many as give each host about size targets.
// Members of a group have the same hosts.
func sharersOf(t topology.Target, hosts []string, targets, size int) []string {
	need := max(2, (size*len(hosts)+targets-1)/max(targets, 1))
	if need >= len(hosts) {
		return hosts
	}
	key := t.ID
	if t.Group != "" {
		key = t.Group
	}
	return rendezvous.Top(key, hosts, need)
}
