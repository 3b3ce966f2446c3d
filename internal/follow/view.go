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
}

// Targets returns the targets of a service that accept new requests.
func (v *View) Targets(service string) []catalog.Target { return v.byService[service] }

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

// newView returns a view that leaves out targets that are leaving.
func newView(config *catalog.Config, revision Revision, targets map[string]*targetState) *View {
	v := &View{
		Config:    config,
		Revision:  revision,
		byService: make(map[string][]catalog.Target),
		byKey:     make(map[catalog.TargetKey]struct{}, len(targets)),
	}
	for _, state := range targets {
		if state.target.Leaving {
			continue
		}
		v.byService[state.target.Service] = append(v.byService[state.target.Service], state.target)
		v.byKey[state.target.TargetKey] = struct{}{}
	}
	return v
}
