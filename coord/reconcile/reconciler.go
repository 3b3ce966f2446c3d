package reconcile

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/pause"
)

// ErrFenced is returned by Target.Order when the target refused an old fencing number.
var ErrFenced = errors.New("the target has taken an order of a newer plan")

// Target reads and orders one target. Each call must use a fresh connection, so that a silent
// one delays nothing.
type Target interface {
	ReadState(ctx context.Context) (ObservedState, error)
	SetState(ctx context.Context, fencing uint64, spec Spec) error
}

// Source tells the plan in force and when it was last confirmed to be the newest one, by this
// process's clock. A nil plan means that none is known.
type Source interface {
	Plan() (plan *Plan, confirmed time.Time)
}

// Defaults of Bounds.
const (
	DefaultInterval     = 5 * time.Second
	DefaultTimeout      = 2 * time.Second
	DefaultSettle       = DefaultConfirmedFor + DefaultTimeout
	DefaultConfirmedFor = 10 * time.Second
	// slotLead is how long before its slot a change is prepared.
	slotLead = 3 * time.Second
)

// Bounds are a reconciler's times. Zero values take the defaults.
type Bounds struct {
	Interval        time.Duration // between two reads of a target
	Timeout         time.Duration // of one read or order
	SettleDelay     time.Duration // after a new plan, until its first order; at least ConfirmedFor + Timeout
	ConfirmationTTL time.Duration // how long a confirmation of the plan counts
}

// Config is what a Reconciler works with.
type Config struct {
	Clock         clock.Clock // nil: the machine's
	PauseDetector *pause.Detector
	Source        Source
	// Responsible reports whether this process looks after a target now.
	Responsible func(target string) bool
	// Usable reports whether a target may get orders and counts as serving; leaving
	// targets do not.
	Usable func(target string) bool
	// Target returns the means to reach a target, nil if it has no address.
	Target func(target string) Target
	Bounds Bounds
}

// Reconciler brings the targets for which this process is responsible to the plan's state. It
// is safe for concurrent use.
type Reconciler struct {
	cfg   Config
	stats counters

	mu        sync.Mutex
	revision  uint64
	adoptedAt time.Time
	status    map[string]Status
}

// New returns a reconciler. Run or Reconcile make it work.
func New(cfg Config) *Reconciler {
	setDefault(&cfg.Bounds.Interval, DefaultInterval)
	setDefault(&cfg.Bounds.Timeout, DefaultTimeout)
	setDefault(&cfg.Bounds.SettleDelay, DefaultSettle)
	setDefault(&cfg.Bounds.ConfirmationTTL, DefaultConfirmedFor)
	b := &cfg.Bounds
	b.SettleDelay = max(b.SettleDelay, b.ConfirmationTTL+b.Timeout)
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	return &Reconciler{cfg: cfg, status: make(map[string]Status)}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Run looks after all targets of the plan for which this process is responsible, each in its
// own goroutine, until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	watched := make(map[string]bool)
	var mu sync.Mutex
	for {
		for _, target := range r.responsibleTargets() {
			mu.Lock()
			started := watched[target]
			watched[target] = true
			mu.Unlock()
			if started {
				continue
			}
			wg.Go(func() {
				r.watch(ctx, target)
				mu.Lock()
				defer mu.Unlock()
				delete(watched, target)
			})
		}
		if !sleep(ctx, r.cfg.Bounds.Interval) {
			return
		}
	}
}

func (r *Reconciler) responsibleTargets() []string {
	plan, _ := r.plan()
	if plan == nil {
		return nil
	}
	var targets []string
	for _, target := range plan.Targets() {
		if r.cfg.Responsible(target) {
			targets = append(targets, target)
		}
	}
	return targets
}

// watch reconciles one target for as long as this process is responsible for it.
func (r *Reconciler) watch(ctx context.Context, target string) {
	for {
		if plan, _ := r.plan(); plan == nil || !r.cfg.Responsible(target) {
			r.forget(target)
			return
		}
		wait := r.Reconcile(ctx, target)
		if !sleep(ctx, wait) {
			return
		}
	}
}

// sleep waits for d and reports whether ctx still goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// plan returns the plan in force and when it was last confirmed, and notes when it changes.
func (r *Reconciler) plan() (*Plan, time.Time) {
	plan, confirmed := r.cfg.Source.Plan()
	if plan == nil {
		return nil, confirmed
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if plan.Revision() < r.revision {
		return nil, confirmed // a source must not go back
	}
	if plan.Revision() > r.revision {
		r.revision, r.adoptedAt = plan.Revision(), r.cfg.Clock.Now()
	}
	return plan, confirmed
}

func (r *Reconciler) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Clock.Now().Sub(r.adoptedAt) >= r.cfg.Bounds.SettleDelay
}

// Reconcile reads a target once and orders what differs, if it may now. It returns how
// long to wait before the next call.
func (r *Reconciler) Reconcile(ctx context.Context, target string) time.Duration {
	plan, _ := r.plan()
	if plan == nil {
		return r.cfg.Bounds.Interval
	}
	want, _, found := plan.DesiredState(target)
	if !found || !r.cfg.Usable(target) {
		return r.cfg.Bounds.Interval
	}
	a := attempt{r: r, plan: plan, want: want, mark: r.cfg.PauseDetector.Mark()}
	phase, wait := a.run(ctx)
	r.note(target, plan.Revision(), phase)
	return wait
}
