package catalog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

func streamingRoute(name string, priority int) catalog.Route {
	return catalog.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: catalog.Streaming, Priority: priority, Backends: []catalog.Backend{{Service: "llm"}}}
}

func precedences(routes []catalog.Route, holders ...catalog.KeyHolder) []catalog.Precedence {
	c := catalog.NewConfig(1, catalog.Limits{}, routes, nil, holders)
	var out []catalog.Precedence
	for i := range routes {
		var org *catalog.Organisation
		if len(holders) > 0 {
			org, _ = c.Organisation(holders[i%len(holders)].Keys[0])
		}
		out = append(out, c.Precedence("llm", &routes[i], org))
	}
	return out
}

func TestRequestsOfEqualPriorityHaveNoPrecedence(t *testing.T) {
	g := NewWithT(t)
	order := catalog.Route{Name: "order", Host: "h", PathPrefix: "/o/", Priority: 7, Backends: []catalog.Backend{{Service: "llm"}}}
	g.Expect(precedences([]catalog.Route{streamingRoute("a", 1), streamingRoute("b", 1), order})).To(Equal(make([]catalog.Precedence, 3)))
}

func TestUrgentRoutesCountMore(t *testing.T) {
	g := NewWithT(t)
	got := precedences([]catalog.Route{streamingRoute("a", 0), streamingRoute("b", 1), streamingRoute("c", 2)})
	g.Expect(got).To(Equal([]catalog.Precedence{{Rank: 0, Importance: 4}, {Rank: 1, Importance: 2}, {Rank: 2, Importance: 1}}))
}

func TestPrioritiesOfOrganisationsTakePrecedence(t *testing.T) {
	g := NewWithT(t)
	high := catalog.KeyHolder{Organisation: catalog.Organisation{Name: "high", Priority: 1}, Keys: []string{"k1"}}
	low := catalog.KeyHolder{Organisation: catalog.Organisation{Name: "low", Priority: 2}, Keys: []string{"k2"}}
	got := precedences([]catalog.Route{streamingRoute("a", 2), streamingRoute("b", 0)}, high, low)
	g.Expect(got).To(Equal([]catalog.Precedence{{Rank: 0, Importance: 2}, {Rank: 1, Importance: 1}}))
	same := catalog.KeyHolder{Organisation: catalog.Organisation{Name: "same", Priority: 1}, Keys: []string{"k3"}}
	got = precedences([]catalog.Route{streamingRoute("a", 2), streamingRoute("b", 0)}, high, same)
	g.Expect(got).To(Equal([]catalog.Precedence{{Rank: 2, Importance: 1}, {Rank: 0, Importance: 4}}), "organisations do not differ")
}
