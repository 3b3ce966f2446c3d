package follow

import (
	"github.com/plantainrun/plantainrun/internal/catalog"
)

// View is an immutable, consistent snapshot of the published configuration and
// targets.
type View struct {
	Config    *catalog.Config // nil before the first configuration
	Revision  Revision
	byService map[string][]catalog.Target
	byKey     map[catalog.TargetKey]struct{}
	evacuated map[string]int // targets in evacuated failure domains, by service
}

// Targets returns the targets of a service that accept new requests.
func (v *View) Targets(service string) []catalog.Target { return v.byService[service] }

// AllEvacuated reports whether a service has targets that accept requests, but all of them
// in evacuated failure domains.
func (v *View) AllEvacuated(service string) bool {
	return len(v.byService[service]) == 0 && v.evacuated[service] > 0
}

// Usable reports whether this incarnation of a target accepts new requests.
func (v *View) Usable(key catalog.TargetKey) bool {
	_, ok := v.byKey[key]
	return ok
}

// Services calls fn for each service that has usable targets.
func (v *View) Services(fn func(service string, targets []catalog.Target)) {
	for name, targets := range v.byService {
		fn(name, targets)
	}
}

// newView returns a view that leaves out targets that are leaving and those in evacuated
// failure domains.
func newView(config *catalog.Config, revision Revision, targets map[string]*targetState, evacuated evacuations) *View {
	v := &View{
		Config:    config,
		Revision:  revision,
		byService: make(map[string][]catalog.Target),
		byKey:     make(map[catalog.TargetKey]struct{}, len(targets)),
		evacuated: make(map[string]int),
	}
	for _, state := range targets {
		if state.target.Leaving {
			continue
		}
		if evacuated.active(state.target.Domain) {
			v.evacuated[state.target.Service]++
			continue
		}
		v.byService[state.target.Service] = append(v.byService[state.target.Service], state.target)
		v.byKey[state.target.TargetKey] = struct{}{}
	}
	return v
}
