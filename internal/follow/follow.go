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
	// watchWait is how long one watch may wait for a change. A watch that returns
	// confirms the view as of the time the watch was sent, so two watches must
	// fit into the view age beyond which API keys are no longer trusted.
	watchWait = 1500 * time.Millisecond
	// catchUpWait is the wait of the first watch after a failure. It is short, so
	// that its response holds only changes made before it was sent; removals in it
	// are treated as possible expiries during the outage.
	catchUpWait = 5 * time.Millisecond
	// responseTimeout is the time allowed for the response to a watch beyond its
	// wait.
	responseTimeout = 1200 * time.Millisecond
	// minWatchInterval is the shortest time between the starts of two watches. It
	// batches a burst of changes into few calls.
	minWatchInterval = 120 * time.Millisecond
	listTimeout      = 4 * time.Second

	firstBackoff = 40 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond

	// removalGracePeriod is how long a target is kept whose registration ended
	// while the store was unreachable. If it only expired because it could not be
	// renewed, the target registers again within this time.
	removalGracePeriod = 2200 * time.Millisecond
	// expiryInterval is how often targets are checked for the end of their grace
	// period.
	expiryInterval = 200 * time.Millisecond
)

// targetState is a target with the revision of its last change.
type targetState struct {
	target   catalog.Target
	revision Revision
	// removeAt is when the grace period of a target that is no longer registered
	// ends; zero while it is registered.
	removeAt time.Time
}

// Follower watches a Source and maintains a View of it. It is safe for
// concurrent use.
type Follower struct {
	source    Source
	log       *zap.Logger
	sinceBoot func() time.Duration // includes time in which the machine is suspended

	view        atomic.Pointer[View]
	confirmedAt atomic.Int64 // time since boot in nanoseconds; 0 if never confirmed
	calls       atomic.Int64
	failures    atomic.Int64

	mu           sync.Mutex
	targets      map[string]*targetState
	evacuations  evacuations
	config       *catalog.Config
	revision     Revision
	era          Era                             // of revision
	gone         map[catalog.TargetKey]time.Time // when targets left that a copy may list again
	disconnected bool                            // the last call failed
	onChanged    func(*View)
	history      history
}

// New returns a Follower of source. It does nothing until Run is called.
func New(source Source, log *zap.Logger) *Follower {
	f := &Follower{source: source, log: log, sinceBoot: clock.SinceBoot, targets: make(map[string]*targetState), evacuations: make(evacuations), gone: make(map[catalog.TargetKey]time.Time)}
	f.view.Store(newView(nil, 0, nil, nil))
	f.history.changed = make(chan struct{})
	return f
}

// OnChanged sets a function that is called with each new view while the
// Follower's lock is held, so it must not call methods that take the lock. Call
// OnChanged before Run.
func (f *Follower) OnChanged(fn func(*View)) { f.onChanged = fn }

// View returns the current view, which is empty before the first response.
func (f *Follower) View() *View { return f.view.Load() }

// Age returns how long ago the view was last confirmed to be current, including
// time in which the machine was suspended. Before the first response it returns
// the longest possible duration.
func (f *Follower) Age() time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return f.sinceBoot() - time.Duration(at)
}

// Stats returns the number of calls to the source and how many of them failed.
func (f *Follower) Stats() (calls, failures int64) { return f.calls.Load(), f.failures.Load() }

// Run lists and watches the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.runExpiry(ctx)
	for ctx.Err() == nil {
		if f.list(ctx) {
			f.watch(ctx)
		}
	}
}

// list retries a full listing with exponential backoff until one succeeds. It
// returns false if ctx ends first.
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

// watch applies changes until the source has compacted the history it needs or
// ctx ends.
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
		case err == nil && f.isOtherEra(resp.Era):
			f.log.Warn("store came back from a copy; listing everything", zap.Int64("revision", int64(after)), zap.Int64("era", int64(resp.Era)))
			return
		case err == nil:
			f.apply(resp, sentAt, false)
			backoff = firstBackoff
			sleep(ctx, minWatchInterval-time.Since(start))
		case errors.Is(err, ErrCompacted):
			f.log.Info("store compacted the watched history; listing everything", zap.Int64("revision", int64(after)))
			return
		default:
			f.recordFailure("watch", err)
			sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// nextWatch returns the revision to watch from and how long to wait.
func (f *Follower) nextWatch() (Revision, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected {
		return f.revision, catchUpWait
	}
	return f.revision, watchWait
}

// recordFailure counts a failed call and logs the first of a series.
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

// sleepJittered waits between 0.5 and 1.5 times d, so that hosts do not retry in
// lockstep.
func sleepJittered(ctx context.Context, d time.Duration) {
	sleep(ctx, d/2+rand.N(d))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
