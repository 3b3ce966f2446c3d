// Package orders reconciles the engines with the published plan. It joins the plan
// with the target list and reads and changes the state of engines over their HTTP
// protocol; coord/reconcile makes the decisions.
package orders

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/coord/pause"
	"github.com/plantainrun/plantainrun/coord/reconcile"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// EngineClient reads and sets the state of engines. *engine.Client implements it.
type EngineClient interface {
	State(ctx context.Context, target topology.Target) (engineapi.State, error)
	PutState(ctx context.Context, target topology.Target, state engineapi.State) (engineapi.State, error)
}

// Snapshot is this host's current copy of the plan and the target list.
type Snapshot struct {
	Targets         []topology.Target
	TargetsRevision uint64
	Plan            topology.Plan
	PlanRevision    uint64    // 0 if no plan is known
	PlanConfirmedAt time.Time // when PlanRevision was last confirmed to be the latest
}

// Membership reports the state of a target and which host is responsible for it.
// *membership.Table implements it.
type Membership interface {
	ResponsibleHost(target string) string
	TargetState(id string) membership.State
}

// Config configures a Controller. Zero fields of Timing select the defaults of
// coord/reconcile.
type Config struct {
	Host          string // this host's id
	Engines       EngineClient
	Members       Membership
	Snapshot      func() Snapshot
	PauseDetector *pause.Detector
	Timing        reconcile.Timing
}

// Controller connects the reconciler to this host's snapshot of the plan and to the
// engines. It is safe for concurrent use.
type Controller struct {
	cfg        Config
	reconciler *reconcile.Reconciler

	mu              sync.Mutex
	plan            *reconcile.Plan
	planRevision    uint64 // of the published plan from which plan was built
	targetsRevision uint64 // of the target list from which plan was built
	targets         map[string]topology.Target
}

// New returns a Controller; Run starts it.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg}
	c.reconciler = reconcile.New(reconcile.Config{
		PauseDetector: cfg.PauseDetector,
		Source:        c,
		IsResponsible: func(id string) bool { return cfg.Members.ResponsibleHost(id) == cfg.Host },
		IsUsable:      func(id string) bool { return cfg.Members.TargetState(id) == membership.Live },
		Target:        c.Target,
		Timing:        cfg.Timing,
	})
	return c
}

// Run reconciles until ctx is done.
func (c *Controller) Run(ctx context.Context) { c.reconciler.Run(ctx) }

// Status returns the reconciliation status of the targets that this host is
// responsible for.
func (c *Controller) Status() []reconcile.Status { return c.reconciler.Status() }

// Stats returns the counters of the reconciler.
func (c *Controller) Stats() reconcile.Stats { return c.reconciler.Stats() }

// Plan implements reconcile.Source. The plan is rebuilt only when the revision of
// the plan or of the target list has changed.
func (c *Controller) Plan() (*reconcile.Plan, time.Time) {
	snapshot := c.cfg.Snapshot()
	if snapshot.PlanRevision == 0 {
		return nil, time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if snapshot.PlanRevision < c.planRevision || snapshot.TargetsRevision < c.targetsRevision {
		return c.plan, snapshot.PlanConfirmedAt // outdated snapshot: a concurrent call has seen a newer one
	}
	if c.plan == nil || snapshot.PlanRevision != c.planRevision || snapshot.TargetsRevision != c.targetsRevision {
		c.rebuildLocked(snapshot)
	}
	return c.plan, snapshot.PlanConfirmedAt
}

// rebuildLocked builds the plan and the target index from the snapshot.
func (c *Controller) rebuildLocked(snapshot Snapshot) {
	c.targets = make(map[string]topology.Target, len(snapshot.Targets))
	for _, t := range snapshot.Targets {
		c.targets[t.ID] = t
	}
	desired := make([]reconcile.DesiredState, 0, len(snapshot.Plan.Desired))
	for _, d := range snapshot.Plan.Desired {
		desired = append(desired, reconcile.DesiredState{
			Target:        d.Target,
			Spec:          reconcile.Spec{Model: d.Model, Version: d.Version, Adapters: d.Adapters, Role: d.Role},
			ChecksFencing: c.targets[d.Target].ChecksFencing,
		})
	}
	minimums := make(map[string]int, len(snapshot.Plan.Minimums))
	for _, m := range snapshot.Plan.Minimums {
		minimums[m.Model] = m.MinServing
	}
	c.plan = reconcile.NewPlan(snapshot.PlanRevision, desired, minimums, snapshot.Plan.LoadsPerSecond)
	c.planRevision, c.targetsRevision = snapshot.PlanRevision, snapshot.TargetsRevision
}

// Target returns the reconcile.Target for an engine of the target list, or nil if
// the id is not that of a listed engine.
func (c *Controller) Target(id string) reconcile.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.targets[id]
	if !ok || t.Kind != topology.KindEngine {
		return nil
	}
	return engineTarget{client: c.cfg.Engines, target: t}
}

// engineTarget implements reconcile.Target for one engine.
type engineTarget struct {
	client EngineClient
	target topology.Target
}

// ReadState implements reconcile.Target with a read of the engine's state.
func (e engineTarget) ReadState(ctx context.Context) (reconcile.ObservedState, error) {
	s, err := e.client.State(ctx, e.target)
	if err != nil {
		return reconcile.ObservedState{}, err
	}
	return reconcile.ObservedState{
		Spec:    reconcile.Spec{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role},
		Fencing: s.Fencing,
		Serving: s.Serving,
	}, nil
}

// SetState implements reconcile.Target. It sets the engine's state and returns
// reconcile.ErrFenced if the engine has already accepted a newer fencing number.
func (e engineTarget) SetState(ctx context.Context, fencing uint64, spec reconcile.Spec) error {
	_, err := e.client.PutState(ctx, e.target, engineapi.State{
		Fencing: fencing, Model: spec.Model, Version: spec.Version, Adapters: spec.Adapters, Role: spec.Role,
	})
	var engineErr *engine.Error
	if errors.As(err, &engineErr) && engineErr.Reason == engineapi.ReasonStaleFencing {
		return fmt.Errorf("%w: %w", reconcile.ErrFenced, err)
	}
	return err
}
