package relay_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// fakeForwarder records what it is asked to forward and answers with outcome.
type fakeForwarder struct {
	calls   []relay.ForwardCall
	outcome func(call relay.ForwardCall) (*relay.Forwarded, error)
}

func (f *fakeForwarder) Forward(_ context.Context, call relay.ForwardCall) (*relay.Forwarded, error) {
	f.calls = append(f.calls, call)
	return f.outcome(call)
}

func refusedWith(reason relay.Reason) func(relay.ForwardCall) (*relay.Forwarded, error) {
	refusal := relay.NewRefusal(reason)
	return func(relay.ForwardCall) (*relay.Forwarded, error) {
		return &relay.Forwarded{Host: "helper", Refusal: &refusal}, nil
	}
}

// forwardHarness is a relay that reaches no target, with a forwarder.
func forwardHarness(t *testing.T, f *fakeForwarder) *harness {
	w := newHarnessWithForwarder(always(behaviour{notSent: true}), f)
	targets := w.views.View().Targets("orders")
	for range 3 {
		p, err := w.placer.Place(placement.Request{Service: "orders", ExcludedTargets: []string{targets[0].ID}}, targets)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		targets = targets[1:]
		p.End(placement.Unconnected)
	}
	return w
}

func TestHostWithoutTargetsAndHelpersRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeForwarder{outcome: func(relay.ForwardCall) (*relay.Forwarded, error) { return nil, relay.ErrNoHost }}
		w := forwardHarness(t, f)
		w.transport.behaviourOf = always(behaviour{unresponsive: true})
		start := time.Now()
		r := w.serve(t.Context(), relay.Request{URI: "/order/1"})
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(r.refusal.Reason).To(Equal(relay.ReasonUnreachable))
		g.Expect(r.refusal.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(r.refusal.RetryAfter).To(BeNumerically(">", 0))
		g.Expect(w.transport.sends).To(BeZero())
		g.Expect(f.calls).To(HaveLen(1))
	})
}

func TestForwardedRequestGoesNoFurther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeForwarder{}
		w := forwardHarness(t, f)
		r := w.serve(t.Context(), relay.Request{URI: "/order/1", Origin: &relay.Origin{Host: "origin", Service: "orders"}})
		g.Expect(r.refusal.Reason).To(Equal(relay.ReasonUnreachable))
		g.Expect(r.refusal.Reason.OnlyHere()).To(BeTrue(), "the origin may ask another host")
		g.Expect(f.calls).To(BeEmpty())
		g.Expect(w.transport.sends).To(BeZero())
	})
}

func TestForwardedRequestIsExecutedOnceByItsHelper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(always(behaviour{responseLost: true}))
		r := w.serve(t.Context(), relay.Request{URI: "/status/1", Origin: &relay.Origin{Host: "origin", Service: "orders"}})
		g.Expect(w.transport.runs).To(Equal(1), "the origin decides on a retry")
		g.Expect(r.refusal.Status).To(Equal(http.StatusBadGateway))
	})
}

func TestForwardedRequestNeedsAConfigurationAsNewAsTheOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(always(success))
		version := w.views.View().Config.Version
		r := w.serve(t.Context(), relay.Request{URI: "/nowhere/1", Origin: &relay.Origin{Host: "origin", ConfigVersion: version + 1}})
		g.Expect(r.refusal.Reason).To(Equal(relay.ReasonConfigUnconfirmed), "the route may be newer than this host's configuration")
		r = w.serve(t.Context(), relay.Request{URI: "/status/1", Origin: &relay.Origin{Host: "origin", ConfigVersion: version}})
		g.Expect(r.status).To(Equal(http.StatusOK))
	})
}

func TestLostHelperCountsAsExecution(t *testing.T) {
	lost := func(relay.ForwardCall) (*relay.Forwarded, error) {
		return nil, &relay.SendError{MaybeSent: true, Cause: errors.New("host lost")}
	}
	for uri, calls := range map[string]int{"/order/1": 1, "/status/1": 2} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakeForwarder{outcome: lost}
			w := forwardHarness(t, f)
			w.budget.left = 1
			r := w.serve(t.Context(), relay.Request{URI: uri})
			g.Expect(f.calls).To(HaveLen(calls), uri)
			g.Expect(w.budget.left).To(Equal(2-calls), "a retry uses the budget")
			g.Expect(r.refusal.Status).To(Equal(http.StatusBadGateway))
		})
	}
}

func TestRefusalOfTheHelperReachesTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeForwarder{outcome: refusedWith(relay.ReasonRateLimited)}
		w := forwardHarness(t, f)
		r := w.serve(t.Context(), relay.Request{URI: "/order/1"})
		g.Expect(r.refusal.Reason).To(Equal(relay.ReasonRateLimited))
		g.Expect(r.refusal.RetryAfter).To(BeNumerically(">", 0))
		g.Expect(f.calls).To(HaveLen(1))
	})
}

// A helper may reach targets that the origin does not, so only those that the request may
// have reached are passed on.
func TestTargetsOutOfReachAreNotExcludedAtTheHelper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeForwarder{outcome: refusedWith(relay.ReasonNoTarget)}
		w := newHarnessWithForwarder(inSequence(behaviour{refused: true, status: http.StatusServiceUnavailable}, behaviour{notSent: true}, behaviour{notSent: true}), f)
		w.serve(t.Context(), relay.Request{URI: "/status/1"})
		g.Expect(f.calls).To(HaveLen(1))
		g.Expect(f.calls[0].TriedTargets).To(Equal(w.transport.targets[:1]))
		g.Expect(f.calls[0].Service).To(Equal("orders"))
	})
}
