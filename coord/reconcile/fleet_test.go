package reconcile_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/pause"
	"github.com/plantainrun/plantainrun/coord/reconcile"
)

const (
	model       = "assistant"
	interval    = 2 * time.Second
	timeout     = time.Second
	settleDelay = 12 * time.Second
	// observeInterval is the interval at which a process observes its pause detector.
	observeInterval = 400 * time.Millisecond
)

var timing = reconcile.Timing{Interval: interval, Timeout: timeout, SettleDelay: settleDelay, ConfirmationTTL: 10 * time.Second}

// engine is a simulated target.
type engine struct {
	fleet         *fleet
	id            string
	checksFencing bool
	loadTime      time.Duration
	latency       time.Duration

	spec    reconcile.Spec
	fencing uint64
	loading int // unfinished loads; the engine serves after the last one
	dead    bool
}

// load records the start of a load.
type load struct {
	at     time.Time
	target string
}

// fleet holds all engines and a record of events, under one lock.
type fleet struct {
	mu             sync.Mutex
	engines        map[string]*engine
	loads          []load
	minServing     map[string]int // minimum number of serving engines observed, by model
	newestRevision uint64         // revision of the newest plan, the only one that is confirmed
	regressed      []string       // targets that check fencing and still accepted an order from an older plan
}

func newFleet(size int) *fleet {
	f := &fleet{engines: make(map[string]*engine), minServing: map[string]int{model: size}}
	for i := range size {
		id := engineID(i)
		f.engines[id] = &engine{fleet: f, id: id, checksFencing: true, loadTime: 5 * time.Second, spec: spec("1"), fencing: 1}
	}
	return f
}

func engineID(i int) string { return fmt.Sprintf("engine-%02d", i) }

func spec(version string) reconcile.Spec { return reconcile.Spec{Model: model, Version: version} }

func (f *fleet) plan(revision uint64, version string, minimum int, rate float64) *reconcile.Plan {
	return f.planFor(len(f.engines), revision, version, minimum, rate)
}

// planFor returns a plan that contains only the first count engines.
func (f *fleet) planFor(count int, revision uint64, version string, minimum int, rate float64) *reconcile.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newestRevision = max(f.newestRevision, revision)
	var desired []reconcile.DesiredState
	for i := range count {
		id := engineID(i)
		e := f.engines[id]
		desired = append(desired, reconcile.DesiredState{Target: id, Spec: spec(version), ChecksFencing: e.checksFencing})
	}
	return reconcile.NewPlan(revision, desired, map[string]int{model: minimum}, rate)
}

func (e *engine) serving() bool { return e.loading == 0 && !e.dead }

// recordMinServing updates the minimum number of engines that served at the same time.
func (f *fleet) recordMinServing() {
	serving := 0
	for _, e := range f.engines {
		if e.serving() && e.spec.Model == model {
			serving++
		}
	}
	f.minServing[model] = min(f.minServing[model], serving)
}

func (f *fleet) count(version string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if e.serving() && e.spec.Version == version {
			n++
		}
	}
	return n
}

// regressedTargets returns the targets that check fencing and still accepted an order from an
// older plan.
func (f *fleet) regressedTargets() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.regressed)
}

// startedLoads returns the loads that have started so far.
func (f *fleet) startedLoads() []load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.loads)
}

func (e *engine) state() (reconcile.ObservedState, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.dead {
		return reconcile.ObservedState{}, errors.New("connection refused")
	}
	o := reconcile.ObservedState{Spec: e.spec, Serving: e.serving()}
	if e.checksFencing {
		o.Fencing = e.fencing
	}
	return o, nil
}

// handleOrder applies an order unless its fencing number is old, and starts a load if the spec
// changes.
func (e *engine) handleOrder(fencing uint64, desired reconcile.Spec) error {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.dead {
		return errors.New("connection refused")
	}
	if e.checksFencing && fencing < e.fencing {
		return reconcile.ErrFenced
	}
	e.fencing = fencing
	if e.spec.Equal(desired) {
		return nil
	}
	if e.checksFencing && desired.Version < e.spec.Version {
		f.regressed = append(f.regressed, e.id)
	}
	e.spec = desired
	e.loading++
	f.loads = append(f.loads, load{at: time.Now(), target: e.id})
	f.recordMinServing()
	time.AfterFunc(e.loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.loading--
	})
	return nil
}

// process is a simulated host with its own view of the plan.
type process struct {
	fleet      *fleet
	detector   *pause.Detector
	reconciler *reconcile.Reconciler

	mu        sync.Mutex
	current   *reconcile.Plan
	confirmed time.Time
	paused    bool // receives no plans and no confirmations
	// beforeSend is called between the last check and the send, afterRead after each read.
	beforeSend func()
	afterRead  func()
}

func newProcess(f *fleet, plan *reconcile.Plan) *process {
	p := &process{fleet: f, detector: pause.New(clock.System{}, pause.DefaultThreshold), current: plan}
	p.reconciler = reconcile.New(reconcile.Config{
		PauseDetector: p.detector,
		Source:        p,
		IsResponsible: func(string) bool { return true }, // worst case: all processes consider themselves responsible
		IsUsable:      func(string) bool { return true },
		Target:        func(id string) reconcile.Target { return &engineLink{process: p, engine: f.engines[id]} },
		Timing:        timing,
	})
	return p
}

// run runs the process until ctx is done. While it is paused, its pause detector does not run
// and it receives no confirmations.
func (p *process) run(ctx context.Context) {
	go p.reconciler.Run(ctx)
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		if !p.paused {
			p.detector.Observe()
			p.confirm()
		}
		p.mu.Unlock()
	}
}

// confirm records a confirmation of the current plan if no newer one exists. The caller holds
// p.mu.
func (p *process) confirm() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.current.Revision() == p.fleet.newestRevision {
		p.confirmed = time.Now()
	}
}

// Plan implements reconcile.Source.
func (p *process) Plan() (*reconcile.Plan, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.confirmed
}

func (p *process) adopt(plan *reconcile.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.paused {
		p.current = plan
	}
}

// pauseFor simulates a pause of the process for d. The calling goroutine blocks meanwhile.
func (p *process) pauseFor(d time.Duration) {
	p.mu.Lock()
	p.paused = true
	p.mu.Unlock()
	time.Sleep(d)
	p.mu.Lock()
	p.paused = false
	p.mu.Unlock()
}

// engineLink connects a process to an engine. It implements reconcile.Target.
type engineLink struct {
	process *process
	engine  *engine
}

func (l *engineLink) ReadState(context.Context) (reconcile.ObservedState, error) {
	time.Sleep(l.engine.latency)
	o, err := l.engine.state()
	time.Sleep(l.engine.latency)
	if hook := l.process.afterRead; hook != nil {
		hook()
	}
	return o, err
}

func (l *engineLink) SetState(_ context.Context, fencing uint64, desired reconcile.Spec) error {
	if hook := l.process.beforeSend; hook != nil {
		hook()
	}
	return l.engine.handleOrder(fencing, desired)
}

// start runs the processes until the test ends.
func start(t *testing.T, processes ...*process) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() { p.run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * time.Hour) // until paused processes have resumed
		wg.Wait()
	})
}
