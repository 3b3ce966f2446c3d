package orders_test

import (
	"context"
	"flag"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/coord/pause"
	"github.com/plantainrun/plantainrun/coord/reconcile"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/orders"
	standin "github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
	"github.com/plantainrun/plantainrun/internal/topology"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

const settle = 20 * time.Second // generous: waits end as soon as the state is there

func startEngine(t *testing.T) (*standin.Engine, topology.Target) {
	g := gomega.NewWithT(t)
	e := standin.New(standin.Settings{
		ID: "e1", ChecksFencing: true, State: engineapi.State{Fencing: 1, Model: "m", Version: "1", Serving: true},
		Model: enginemodel.Config{MemoryTokens: 1000, PrefillRate: 1e6, DecodeInterval: time.Millisecond, Grace: time.Second},
	})
	g.Expect(e.Start()).To(gomega.Succeed())
	t.Cleanup(e.Close)
	return e, topology.Target{
		ID: "e1", Kind: topology.KindEngine, Domain: "north", ChecksFencing: true,
		Addr: netip.MustParseAddrPort(e.Addr().String()),
	}
}

func members(target topology.Target) *membership.Table {
	table := membership.New(clock.System{}, membership.Bounds{})
	table.SetHosts(1, []membership.Entry{{ID: "h1", Domain: target.Domain}})
	table.SetTargets(1, []membership.Entry{{ID: target.ID, Domain: target.Domain}})
	return table
}

// A host orders a real engine by the plan, and an older plan is refused by the engine's number.
func TestOrdersReachTheEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	_, target := startEngine(t)
	client := engine.New(engine.Options{})
	t.Cleanup(client.Close)
	detector := pause.New(clock.System{}, time.Minute)
	o := orders.New(orders.Config{
		Host: "h1", Engines: client, Members: members(target), Pauses: detector,
		Known: func() orders.Known {
			return orders.Known{
				Targets: []topology.Target{target}, TargetsRevision: 1, PlanRevision: 5, PlanConfirmed: time.Now(),
				Plan: topology.Plan{Desired: []topology.DesiredEngine{{Target: "e1", Model: "m", Version: "2", Adapters: []string{"b", "a"}}}},
			}
		},
		Bounds: reconcile.Bounds{
			Interval: 20 * time.Millisecond, Timeout: 2 * time.Second,
			Settle: time.Millisecond, ConfirmedFor: time.Millisecond,
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); o.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	g.Eventually(func() []reconcile.Status { return o.Status() }, settle).Should(
		gomega.Equal([]reconcile.Status{{Target: "e1", Revision: 5, Phase: reconcile.PhaseInSync}}))
	state, err := client.State(ctx, target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state.Version).To(gomega.Equal("2"))
	g.Expect(state.Fencing).To(gomega.BeEquivalentTo(5))
	g.Expect(o.Stats().Orders).To(gomega.BeEquivalentTo(1))

	late, _ := o.Plan()
	want, _, _ := late.Want("e1")
	g.Expect(o.Target("e1").Order(ctx, 4, want.Spec)).To(gomega.MatchError(reconcile.ErrFenced))
}
