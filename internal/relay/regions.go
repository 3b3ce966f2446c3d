package relay

import (
	"slices"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
)

// permittedDomains tells in which failure domains a request may run, by the regions of its
// route and of its organisation. If both name regions, both bind.
type permittedDomains struct {
	route, organisation catalog.Regions
	regionOf            map[string]string // by failure domain
}

// permittedDomains returns the rules of the configuration in force, which may have changed
// since the request was admitted.
func (j *job) permittedDomains(view *follow.View) permittedDomains {
	p := permittedDomains{route: j.route.Regions, regionOf: j.relay.cfg.Regions}
	if route, found := view.Config.Route(j.req.Host, j.req.Path); found {
		p.route = route.Regions
	}
	if org, found := view.Config.Organisation(j.req.Key); found && j.authenticated {
		p.organisation = org.Regions
	}
	return p
}

// restricted reports whether the request may not run everywhere.
func (p permittedDomains) restricted() bool { return len(p.route)+len(p.organisation) > 0 }

// permit reports whether the request may run in a failure domain, and whether its body may
// be sent there.
func (p permittedDomains) permit(domain string) bool {
	region := p.regionOf[domain]
	return p.route.Permit(region) && p.organisation.Permit(region)
}

// filter returns the targets in permitted failure domains.
func (p permittedDomains) filter(targets []catalog.Target) []catalog.Target {
	if !p.restricted() {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t catalog.Target) bool { return !p.permit(t.Domain) })
}
