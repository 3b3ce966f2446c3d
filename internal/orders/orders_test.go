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

const waitTimeout = 20 * time.Second // generous: a wait ends as soon as its condition holds

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

func newMembership(target topology.Target) *membership.Table {
	table := membership.New(clock.System{}, membership.Config{})
	table.SetHosts(1, []membership.Entry{{ID: "h1", Domain: target.Domain}})
	table.SetTargets(1, []membership.Entry{{ID: target.ID, Domain: target.Domain}})
	return table
}

// The controller brings an engine to the state of the plan over HTTP, and the engine
// refuses a state change of an older plan by its fencing number.
func TestEngineIsReconciledToPlan(t *testing.T) {
	g := gomega.NewWithT(t)
	_, target := startEngine(t)
	client := engine.New(engine.Options{})
	t.Cleanup(client.Close)
	detector := pause.New(clock.System{}, time.Minute)
	c := orders.New(orders.Config{
		Host: "h1", Engines: client, Members: newMembership(target), PauseDetector: detector,
		Snapshot: func() orders.Snapshot {
			return orders.Snapshot{
				Targets: []topology.Target{target}, TargetsRevision: 1, PlanRevision: 5, PlanConfirmedAt: time.Now(),
				Plan: topology.Plan{Desired: []topology.DesiredEngine{{Target: "e1", Model: "m", Version: "2", Adapters: []string{"b", "a"}}}},
			}
		},
		Timing: reconcile.Timing{
			Interval: 20 * time.Millisecond, Timeout: 2 * time.Second,
			SettleDelay: time.Millisecond, ConfirmationTTL: time.Millisecond,
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	g.Eventually(func() []reconcile.Status { return c.Status() }, waitTimeout).Should(
		gomega.Equal([]reconcile.Status{{Target: "e1", Revision: 5, Phase: reconcile.PhaseInSync}}))
	state, err := client.State(ctx, target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state.Version).To(gomega.Equal("2"))
	g.Expect(state.Fencing).To(gomega.BeEquivalentTo(5))
	g.Expect(c.Stats().Orders).To(gomega.BeEquivalentTo(1))

	plan, _ := c.Plan()
	want, _, _ := plan.DesiredState("e1")
	g.Expect(c.Target("e1").SetState(ctx, 4, want.Spec)).To(gomega.MatchError(reconcile.ErrFenced))
}
