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
	model    = "assistant"
	interval = 2 * time.Second
	timeout  = time.Second
	settle   = 12 * time.Second
	// observing is the interval of the pause detector.
	observing = 400 * time.Millisecond
)

var bounds = reconcile.Bounds{Interval: interval, Timeout: timeout, SettleDelay: settle, ConfirmationTTL: 10 * time.Second}

// engine is the truth about one target.
type engine struct {
	fleet    *fleet
	id       string
	checks   bool
	loadTime time.Duration
	latency  time.Duration

	spec    reconcile.Spec
	fencing uint64
	loading int // loads not yet done; the last one decides
	dead    bool
}

// load is the start of one load.
type load struct {
	at     time.Time
	target string
}

// fleet is all engines and what happened to them, under one lock.
type fleet struct {
	mu      sync.Mutex
	engines map[string]*engine
	loads   []load
	lowest  map[string]int // least number that served, by model
	newest  uint64         // revision of the newest plan, which alone is confirmed
	back    []string       // checking targets that took an older order
}

func newFleet(size int) *fleet {
	f := &fleet{engines: make(map[string]*engine), lowest: map[string]int{model: size}}
	for i := range size {
		id := engineID(i)
		f.engines[id] = &engine{fleet: f, id: id, checks: true, loadTime: 5 * time.Second, spec: spec("1"), fencing: 1}
	}
	return f
}

func engineID(i int) string { return fmt.Sprintf("engine-%02d", i) }

func spec(version string) reconcile.Spec { return reconcile.Spec{Model: model, Version: version} }

func (f *fleet) plan(revision uint64, version string, minimum int, rate float64) *reconcile.Plan {
	return f.planFor(len(f.engines), revision, version, minimum, rate)
}

// planFor returns a plan that names the first count engines only.
func (f *fleet) planFor(count int, revision uint64, version string, minimum int, rate float64) *reconcile.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = max(f.newest, revision)
	var wants []reconcile.DesiredState
	for i := range count {
		id := engineID(i)
		e := f.engines[id]
		wants = append(wants, reconcile.DesiredState{Target: id, Spec: spec(version), ChecksFencing: e.checks})
	}
	return reconcile.NewPlan(revision, wants, map[string]int{model: minimum}, rate)
}

func (e *engine) serving() bool { return e.loading == 0 && !e.dead }

// note keeps the least number of engines that served at once.
func (f *fleet) note() {
	serving := 0
	for _, e := range f.engines {
		if e.serving() && e.spec.Model == model {
			serving++
		}
	}
	f.lowest[model] = min(f.lowest[model], serving)
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

// wentBack returns the checking targets that took an order of an older plan.
func (f *fleet) wentBack() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.back)
}

// started returns the loads so far.
func (f *fleet) started() []load {
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
	if e.checks {
		o.Fencing = e.fencing
	}
	return o, nil
}

// take is an order's arrival.
func (e *engine) take(fencing uint64, wanted reconcile.Spec) error {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.dead {
		return errors.New("connection refused")
	}
	if e.checks && fencing < e.fencing {
		return reconcile.ErrFenced
	}
	e.fencing = fencing
	if e.spec.Equal(wanted) {
		return nil
	}
	if e.checks && wanted.Version < e.spec.Version {
		f.back = append(f.back, e.id)
	}
	e.spec = wanted
	e.loading++
	f.loads = append(f.loads, load{at: time.Now(), target: e.id})
	f.note()
	time.AfterFunc(e.loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.loading--
	})
	return nil
}

// process is one entry host with its view of the plan.
type process struct {
	fleet      *fleet
	detector   *pause.Detector
	reconciler *reconcile.Reconciler

	mu        sync.Mutex
	current   *reconcile.Plan
	confirmed time.Time
	frozen    bool // sees no news
	// beforeSend runs between the last check and the send, afterRead after each read.
	beforeSend func()
	afterRead  func()
}

func newProcess(f *fleet, plan *reconcile.Plan) *process {
	p := &process{fleet: f, detector: pause.New(clock.System{}, pause.DefaultThreshold), current: plan}
	p.reconciler = reconcile.New(reconcile.Config{
		PauseDetector: p.detector,
		Source:        p,
		Responsible:   func(string) bool { return true }, // each believes so: the worst case
		Usable:        func(string) bool { return true },
		Target:        func(id string) reconcile.Target { return &link{process: p, engine: f.engines[id]} },
		Bounds:        bounds,
	})
	return p
}

// run works until ctx ends. While frozen, neither the detector nor the news gets a turn.
func (p *process) run(ctx context.Context) {
	go p.reconciler.Run(ctx)
	ticker := time.NewTicker(observing)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		if !p.frozen {
			p.detector.Observe()
			p.confirm()
		}
		p.mu.Unlock()
	}
}

// confirm notes that the service has nothing newer, if that is so. The caller holds the lock.
func (p *process) confirm() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.current.Revision() == p.fleet.newest {
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
	if !p.frozen {
		p.current = plan
	}
}

// freeze stops the process for d, seen from its one running goroutine.
func (p *process) freeze(d time.Duration) {
	p.mu.Lock()
	p.frozen = true
	p.mu.Unlock()
	time.Sleep(d)
	p.mu.Lock()
	p.frozen = false
	p.mu.Unlock()
}

// link is a process's way to an engine.
type link struct {
	process *process
	engine  *engine
}

func (l *link) ReadState(context.Context) (reconcile.ObservedState, error) {
	time.Sleep(l.engine.latency)
	o, err := l.engine.state()
	time.Sleep(l.engine.latency)
	if hook := l.process.afterRead; hook != nil {
		hook()
	}
	return o, err
}

func (l *link) SetState(_ context.Context, fencing uint64, wanted reconcile.Spec) error {
	if hook := l.process.beforeSend; hook != nil {
		hook()
	}
	return l.engine.take(fencing, wanted)
}

// start runs processes until the test's bubble ends the context.
func start(t *testing.T, processes ...*process) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() { p.run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * time.Hour) // frozen ones wake up
		wg.Wait()
	})
}
