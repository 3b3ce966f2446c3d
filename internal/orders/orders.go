// Package orders brings the engines to the state of the published plan: it joins
// the plan and the target list, reaches engines over their HTTP protocol, and leaves the
// decisions to coord/reconcile.
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

// Engines reads and orders the states of engines. *engine.Client does.
type Engines interface {
	State(ctx context.Context, target topology.Target) (engineapi.State, error)
	PutState(ctx context.Context, target topology.Target, order engineapi.State) (engineapi.State, error)
}

// Known is what this host knows of the plan and the targets.
type Known struct {
	Targets         []topology.Target
	TargetsRevision uint64
	Plan            topology.Plan
	PlanRevision    uint64    // 0: no plan is known
	PlanConfirmed   time.Time // when the revision was last confirmed to be the newest
}

// Members tells who is live and who looks after a target. *membership.Table does.
type Members interface {
	Responsible(target string) string
	TargetState(id string) membership.State
}

// Config is what Orders works with. Zero bounds take the defaults of coord/reconcile.
type Config struct {
	Host    string // this host's id
	Engines Engines
	Members Members
	Known   func() Known
	Pauses  *pause.Detector
	Bounds  reconcile.Bounds
}

// Orders is the glue between what a host knows, the reconciler and the engines. It is
// safe for concurrent use.
type Orders struct {
	cfg        Config
	reconciler *reconcile.Reconciler

	mu      sync.Mutex
	plan    *reconcile.Plan
	planOf  uint64 // revision of the plan and of the target list that plan was built from
	listOf  uint64
	targets map[string]topology.Target
}

// New returns Orders that do nothing before Run.
func New(cfg Config) *Orders {
	o := &Orders{cfg: cfg}
	o.reconciler = reconcile.New(reconcile.Config{
		Pauses:      cfg.Pauses,
		Source:      o,
		Responsible: func(id string) bool { return cfg.Members.Responsible(id) == cfg.Host },
		Usable:      func(id string) bool { return cfg.Members.TargetState(id) == membership.Live },
		Target:      o.Target,
		Bounds:      cfg.Bounds,
	})
	return o
}

// Run reads and orders until ctx ends.
func (o *Orders) Run(ctx context.Context) { o.reconciler.Run(ctx) }

// Status returns where the targets of this host stand.
func (o *Orders) Status() []reconcile.Status { return o.reconciler.Status() }

// Stats returns the counters.
func (o *Orders) Stats() reconcile.Stats { return o.reconciler.Stats() }

// Plan implements reconcile.Source.
func (o *Orders) Plan() (*reconcile.Plan, time.Time) {
	known := o.cfg.Known()
	if known.PlanRevision == 0 {
		return nil, time.Time{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if known.PlanRevision < o.planOf || known.TargetsRevision < o.listOf {
		return o.plan, known.PlanConfirmed // read before a newer one was seen
	}
	if o.plan == nil || known.PlanRevision != o.planOf || known.TargetsRevision != o.listOf {
		o.rebuild(known)
	}
	return o.plan, known.PlanConfirmed
}

func (o *Orders) rebuild(known Known) {
	o.targets = make(map[string]topology.Target, len(known.Targets))
	for _, t := range known.Targets {
		o.targets[t.ID] = t
	}
	wants := make([]reconcile.Want, 0, len(known.Plan.Desired))
	for _, w := range known.Plan.Desired {
		wants = append(wants, reconcile.Want{
			Target:        w.Target,
			Spec:          reconcile.Spec{Model: w.Model, Version: w.Version, Adapters: w.Adapters, Role: w.Role},
			ChecksFencing: o.targets[w.Target].ChecksFencing,
		})
	}
	minimums := make(map[string]int, len(known.Plan.Minimums))
	for _, m := range known.Plan.Minimums {
		minimums[m.Model] = m.MinServing
	}
	o.plan = reconcile.NewPlan(known.PlanRevision, wants, minimums, known.Plan.LoadsPerSecond)
	o.planOf, o.listOf = known.PlanRevision, known.TargetsRevision
}

// Target returns the means to reach an engine of the target list, nil for anything else.
func (o *Orders) Target(id string) reconcile.Target {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, ok := o.targets[id]
	if !ok || t.Kind != topology.KindEngine {
		return nil
	}
	return engineTarget{engines: o.cfg.Engines, target: t}
}

// engineTarget reaches one engine.
type engineTarget struct {
	engines Engines
	target  topology.Target
}

// ReadState implements reconcile.Target.
func (e engineTarget) ReadState(ctx context.Context) (reconcile.Observed, error) {
	s, err := e.engines.State(ctx, e.target)
	if err != nil {
		return reconcile.Observed{}, err
	}
	return reconcile.Observed{
		Spec:    reconcile.Spec{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role},
		Fencing: s.Fencing,
		Serving: s.Serving,
	}, nil
}

// Order implements reconcile.Target.
func (e engineTarget) Order(ctx context.Context, fencing uint64, spec reconcile.Spec) error {
	_, err := e.engines.PutState(ctx, e.target, engineapi.State{
		Fencing: fencing, Model: spec.Model, Version: spec.Version, Adapters: spec.Adapters, Role: spec.Role,
	})
	var refused *engine.Error
	if errors.As(err, &refused) && refused.Reason == engineapi.ReasonStaleFencing {
		return fmt.Errorf("%w: %w", reconcile.ErrFenced, err)
	}
	return err
}
