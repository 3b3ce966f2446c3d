package schedule

import (
	"cmp"
	"path"
	"slices"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// routeKey names what one partner calls a model.
type routeKey struct {
	partner string
	model   string
}

// route is the targets that may serve one partner's model.
type route struct {
	pool      *pool
	model     string // that the engines serve
	targets   []*targetState
	positions []int // of the targets among all that may serve the model, also those of other hosts
	count     int   // of all these
	groups    []group
}

// group is engines that may hold one prompt in parts, by target id.
type group struct {
	name    string
	members []*targetState
}

// memory is the memory of all members, in tokens.
func (g *group) memory() int {
	total := 0
	for _, t := range g.members {
		total += t.memory
	}
	return total
}

// largest is the largest prompt with its output that one engine and that the
// whole route can ever hold, in tokens.
func (r *route) largest() (single, whole int) {
	for _, t := range r.targets {
		single = max(single, t.memory)
	}
	whole = single
	for i := range r.groups {
		whole = max(whole, r.groups[i].memory())
	}
	return single, whole
}

// fit is how a request can be held.
type fit struct {
	parted bool // in parts by a group
	tight  bool // only with the memory that is otherwise kept for short prompts
}

// fitOf chooses how to hold a request of need tokens. It reports false when
// nothing can.
func (r *route) fitOf(need int, class rules.Class) (fit, bool) {
	single, whole := r.largest()
	usual := 1 - shortPart
	if class == rules.ClassShort {
		usual = 1
	}
	switch {
	case need <= int(usual*float64(single)):
		return fit{}, true
	case need <= int(usual*float64(whole)):
		return fit{parted: true}, true
	case need <= single:
		return fit{tight: true}, true
	default:
		return fit{parted: true, tight: true}, need <= whole
	}
}

// candidate returns what is fixed of target i as a candidate.
func (r *route) candidate(i int) Candidate {
	return Candidate{Target: r.targets[i].info.ID, Position: r.positions[i], RouteSize: r.count}
}

// add adds a target that this host deals with.
func (r *route) add(t *targetState, position int) {
	r.targets = append(r.targets, t)
	r.positions = append(r.positions, position)
}

// findGroups fills the groups from the targets.
func (r *route) findGroups() {
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

// matches reports whether a target id matches one of the patterns.
func matches(patterns []string, id string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, id); err == nil && ok {
			return true
		}
	}
	return false
}

// modelRule returns the partner's rule for a model.
func modelRule(sets map[string]rules.Set, partner, model string) (rules.Model, bool) {
	for _, m := range sets[partner].Models {
		if m.Name == model {
			return m, true
		}
	}
	return rules.Model{}, false
}

// sharersOf returns the hosts that deal with a target: all of a small failure
// domain, and in a large one so many that each host has about size targets.
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
