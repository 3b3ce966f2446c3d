package reconcile

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/pause"
)

// ErrFenced is returned by Target.SetState if the target refused the order because of its old
// fencing number.
var ErrFenced = errors.New("the target has accepted an order from a newer plan")

// Target reads and sets the state of one target. Each call must use a new connection, so that
// an unresponsive connection delays no later call.
type Target interface {
	ReadState(ctx context.Context) (ObservedState, error)
	SetState(ctx context.Context, fencing uint64, spec Spec) error
}

// Source provides the current plan and the time, on this process's clock, at which it was last
// confirmed to be the newest one. The plan is nil if none is known.
type Source interface {
	Plan() (plan *Plan, confirmed time.Time)
}

// Defaults of the fields of Timing, and the lead time of an attempt.
const (
	DefaultInterval        = 5 * time.Second
	DefaultTimeout         = 2 * time.Second
	DefaultSettleDelay     = DefaultConfirmationTTL + DefaultTimeout
	DefaultConfirmationTTL = 10 * time.Second
	// slotLeadTime is how long before a target's slot an attempt checks the minimum and then
	// waits for the slot.
	slotLeadTime = 3 * time.Second
)

// Timing holds the intervals and time limits of a Reconciler. A zero field selects its default.
type Timing struct {
	Interval        time.Duration // between reads of a target
	Timeout         time.Duration // of one read or order
	SettleDelay     time.Duration // from a new plan to its first order; at least ConfirmationTTL + Timeout
	ConfirmationTTL time.Duration // how long a confirmation of the plan is valid
}

// Config configures a Reconciler.
type Config struct {
	Clock         clock.Clock // nil: clock.System
	PauseDetector *pause.Detector
	Source        Source
	// IsResponsible reports whether this process currently reconciles a target.
	IsResponsible func(target string) bool
	// IsUsable reports whether a target receives orders and may count as serving. Targets that
	// are leaving do neither.
	IsUsable func(target string) bool
	// Target returns the Target with the given id, or nil if its address is not known.
	Target func(target string) Target
	Timing Timing
}

// Reconciler brings the targets for which this process is responsible to their desired state.
// It is safe for concurrent use.
type Reconciler struct {
	cfg   Config
	stats counters

	mu        sync.Mutex
	revision  uint64
	adoptedAt time.Time
	status    map[string]Status
}

// New returns a Reconciler. Call Run to reconcile continuously, or Reconcile for one attempt.
func New(cfg Config) *Reconciler {
	setDefault(&cfg.Timing.Interval, DefaultInterval)
	setDefault(&cfg.Timing.Timeout, DefaultTimeout)
	setDefault(&cfg.Timing.SettleDelay, DefaultSettleDelay)
	setDefault(&cfg.Timing.ConfirmationTTL, DefaultConfirmationTTL)
	timing := &cfg.Timing
	timing.SettleDelay = max(timing.SettleDelay, timing.ConfirmationTTL+timing.Timeout)
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

// Run reconciles all targets of the plan for which this process is responsible, each in its
// own goroutine, until ctx is done.
func (r *Reconciler) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	running := make(map[string]bool)
	var mu sync.Mutex
	for {
		for _, target := range r.responsibleTargets() {
			mu.Lock()
			alreadyRunning := running[target]
			running[target] = true
			mu.Unlock()
			if alreadyRunning {
				continue
			}
			wg.Go(func() {
				r.reconcileLoop(ctx, target)
				mu.Lock()
				defer mu.Unlock()
				delete(running, target)
			})
		}
		if !sleep(ctx, r.cfg.Timing.Interval) {
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
		if r.cfg.IsResponsible(target) {
			targets = append(targets, target)
		}
	}
	return targets
}

// reconcileLoop reconciles one target for as long as this process is responsible for it.
func (r *Reconciler) reconcileLoop(ctx context.Context, target string) {
	for {
		if plan, _ := r.plan(); plan == nil || !r.cfg.IsResponsible(target) {
			r.removeStatus(target)
			return
		}
		wait := r.Reconcile(ctx, target)
		if !sleep(ctx, wait) {
			return
		}
	}
}

// sleep waits for d. It returns false early if ctx is done.
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

// plan returns the current plan and the time of its last confirmation, and records when the
// revision increases.
func (r *Reconciler) plan() (*Plan, time.Time) {
	plan, confirmed := r.cfg.Source.Plan()
	if plan == nil {
		return nil, confirmed
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if plan.Revision() < r.revision {
		return nil, confirmed // a source must not return an older plan after a newer one
	}
	if plan.Revision() > r.revision {
		r.revision, r.adoptedAt = plan.Revision(), r.cfg.Clock.Now()
	}
	return plan, confirmed
}

func (r *Reconciler) settleDelayElapsed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Clock.Now().Sub(r.adoptedAt) >= r.cfg.Timing.SettleDelay
}

// Reconcile makes one attempt to bring a target to its desired state: it reads the target and
// sends an order if one is needed and currently allowed. It returns the time to wait before the
// next call.
func (r *Reconciler) Reconcile(ctx context.Context, target string) time.Duration {
	plan, _ := r.plan()
	if plan == nil {
		return r.cfg.Timing.Interval
	}
	desired, _, found := plan.DesiredState(target)
	if !found || !r.cfg.IsUsable(target) {
		return r.cfg.Timing.Interval
	}
	a := attempt{r: r, plan: plan, desired: desired, mark: r.cfg.PauseDetector.Mark()}
	phase, wait := a.run(ctx)
	r.setStatus(target, plan.Revision(), phase)
	return wait
}
