package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// regionOf maps the failure domains of the tests to regions.
var regionOf = map[string]string{"north": "arctic", "south": "tropic"}

// regionHarness is a relay whose targets are in two regions and whose configuration names
// the regions of all routes and of the organisation.
func regionHarness(next func(relay.Call) behaviour, route, organisation catalog.Regions) *harness {
	source := spreadTargets(newFakeSource())
	source.confine(route, organisation)
	w := newHarnessOf(source, next, regionOf)
	return w
}

func TestRequestsRunOnlyInPermittedRegions(t *testing.T) {
	arctic, tropic, both := catalog.Regions{"arctic"}, catalog.Regions{"tropic"}, catalog.Regions{"tropic", "arctic"}
	for _, c := range []struct {
		route, organisation catalog.Regions
		want                []string // failure domains in which requests run; none if they are refused
	}{
		{want: []string{"north", "south"}},
		{route: arctic, want: []string{"north"}},
		{organisation: tropic, want: []string{"south"}},
		{route: both, organisation: tropic, want: []string{"south"}},
		{route: arctic, organisation: tropic},
		{route: catalog.Regions{"elsewhere"}},
	} {
		for _, req := range []relay.Request{{URI: "/order/1"}, {URI: "/status/1"}, {URI: "/chat/1", PromptTokens: 900}, {URI: "/patient/1", PromptTokens: 170_000, MaxOutputTokens: 100}} {
			t.Run(fmt.Sprint(c.route, c.organisation, req.URI), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					seen := make(map[string]bool)
					w := regionHarness(func(call relay.Call) behaviour {
						seen[call.Target.Domain] = true
						for _, h := range call.Helpers {
							seen[h.Target.Domain] = true
						}
						if req.PromptTokens > 0 {
							return behaviour{status: http.StatusOK, events: 2}
						}
						return success
					}, c.route, c.organisation)
					start := time.Now()
					for i := range 12 {
						req.ID = fmt.Sprint("r", i)
						r := w.serve(context.Background(), req)
						if len(c.want) > 0 {
							g.Expect(r.refusal).To(BeNil())
							continue
						}
						g.Expect(r.refusal.Reason).To(Equal(relay.ReasonNotPermitted))
						g.Expect(r.refusal.Status).To(Equal(http.StatusServiceUnavailable))
						g.Expect(time.Since(start)).To(BeZero())
					}
					for domain := range seen {
						g.Expect(c.want).To(ContainElement(domain))
					}
					for id := range w.transport.everReserved {
						g.Expect(c.want).To(ContainElement(w.domainOf(id)))
					}
				})
			})
		}
	}
}

// A host that reaches no target passes the body of a request only to hosts in regions where
// the request may run.
func TestRequestsAreForwardedOnlyToPermittedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeForwarder{outcome: func(relay.ForwardCall) (*relay.Forwarded, error) { return nil, relay.ErrNoHost }}
		source := spreadTargets(newFakeSource())
		source.confine(catalog.Regions{"arctic"}, nil)
		w := newHarnessOf(source, always(behaviour{notSent: true}), regionOf, f)
		w.serve(t.Context(), relay.Request{URI: "/order/1"})
		g.Expect(f.calls).NotTo(BeEmpty())
		for _, call := range f.calls {
			g.Expect(call.Permits("north")).To(BeTrue())
			g.Expect(call.Permits("south")).To(BeFalse())
			g.Expect(call.Permits("unknown")).To(BeFalse())
		}
	})
}
