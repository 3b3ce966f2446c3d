package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// watchWait is how long one watch may wait. A watch that returns confirms
	// the view as of when it was sent, so two of them must fit in the time
	// after which keys are no longer trusted.
	watchWait = 1500 * time.Millisecond
	// catchUpWait is the wait of the first watch after a failure: what it tells
	// happened before it was sent.
	catchUpWait = 5 * time.Millisecond
	// responseTimeout is the time for an answer beyond the wait of a watch.
	responseTimeout = 1200 * time.Millisecond
	// minWatchInterval is the shortest time between two watches, so that a series
	// of changes takes few calls.
	minWatchInterval = 120 * time.Millisecond
	listTimeout      = 4 * time.Second

	firstBackoff = 40 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond

	// removalGracePeriod is how long a target is kept whose registration ended while the
	// store was away: it comes back if it only lapsed.
	removalGracePeriod = 2200 * time.Millisecond
	// expiryInterval is how often doubted targets are reviewed.
	expiryInterval = 200 * time.Millisecond
)

// targetState is what is known of one registered target.
type targetState struct {
	target   catalog.Target
	revision Revision
	// removeAt is when a target that is no longer registered is dropped;
	// zero while it is registered.
	removeAt time.Time
}

// Follower keeps a View current. It is safe for concurrent use.
type Follower struct {
	source    Source
	log       *zap.Logger
	sinceBoot func() time.Duration // time since boot

	view        atomic.Pointer[View]
	confirmedAt atomic.Int64 // time since boot in nanoseconds, 0: never
	calls       atomic.Int64
	failures    atomic.Int64

	mu           sync.Mutex
	targets      map[string]*targetState
	config       *catalog.Config
	revision     Revision
	disconnected bool // the last call failed
	onChanged    func(*View)
	history      history
}

// New returns a Follower of source. Run starts it.
func New(source Source, log *zap.Logger) *Follower {
	f := &Follower{source: source, log: log, sinceBoot: clock.SinceBoot, targets: make(map[string]*targetState)}
	f.view.Store(newView(nil, 0, nil))
	f.history.changed = make(chan struct{})
	return f
}

// OnChanged sets a function that is called with each new view. Set it before Run.
func (f *Follower) OnChanged(fn func(*View)) { f.onChanged = fn }

// View returns the newest view.
func (f *Follower) View() *View { return f.view.Load() }

// Age is how long ago the view was certainly current, counting time in which
// the machine was suspended. It is the longest duration before the first answer.
func (f *Follower) Age() time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return f.sinceBoot() - time.Duration(at)
}

// Stats returns the number of calls to the store and of those that failed.
func (f *Follower) Stats() (calls, failures int64) { return f.calls.Load(), f.failures.Load() }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.runExpiry(ctx)
	for ctx.Err() == nil {
		if f.list(ctx) {
			f.watch(ctx)
		}
	}
}

// list reads everything until it succeeds.
func (f *Follower) list(ctx context.Context) bool {
	for backoff := firstBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		sentAt := f.sinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		resp, err := f.source.List(callCtx)
		cancel()
		f.calls.Add(1)
		if err == nil {
			f.apply(resp, sentAt, true)
			return true
		}
		f.recordFailure("list", err)
		sleepJittered(ctx, backoff)
	}
	return false
}

// watch follows changes until the history is gone or ctx ends.
func (f *Follower) watch(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		start := time.Now()
		sentAt := f.sinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, watchWait+responseTimeout)
		after, wait := f.nextWatch()
		resp, err := f.source.Watch(callCtx, after, wait)
		cancel()
		f.calls.Add(1)
		switch {
		case err == nil:
			f.apply(resp, sentAt, false)
			backoff = firstBackoff
			sleep(ctx, minWatchInterval-time.Since(start))
		case errors.Is(err, ErrCompacted):
			f.log.Info("store dropped its history, listing everything", zap.Int64("revision", int64(after)))
			return
		default:
			f.recordFailure("watch", err)
			sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// nextWatch returns where to watch from and for how long.
func (f *Follower) nextWatch() (Revision, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected {
		return f.revision, catchUpWait
	}
	return f.revision, watchWait
}

func (f *Follower) recordFailure(call string, err error) {
	f.failures.Add(1)
	f.mu.Lock()
	firstFailure := !f.disconnected
	f.disconnected = true
	f.mu.Unlock()
	if firstFailure {
		f.log.Warn("store lost", zap.String("call", call), zap.Error(err), zap.Duration("view_age", f.Age()))
	}
}

// sleepJittered waits for about d, so that hosts do not call in step.
func sleepJittered(ctx context.Context, d time.Duration) {
	sleep(ctx, d/2+rand.N(d))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
