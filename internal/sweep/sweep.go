// Package sweep reclaims leaked engine memory: streams and KV blocks that are past
// their deadline or whose owner no longer exists.
//
// Each engine is swept by the host that is responsible for it, chosen by rendezvous
// hashing over the live hosts of the failure domain. It is safe if two hosts
// consider themselves responsible, or if a paused host resumes with an outdated
// view: a release is idempotent, and both reasons for it, a deadline that has
// passed and an incarnation that is gone, remain true once they are.
package sweep

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/rendezvous"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// EngineClient lists and releases the memory allocations of engines.
type EngineClient interface {
	// ListAllocations lists the streams and KV blocks that hold the target's memory.
	ListAllocations(ctx context.Context, target topology.Target) ([]engineapi.Allocation, error)
	// CancelStream and ReleaseKV release a stream or a KV block and report whether
	// the target held it.
	CancelStream(ctx context.Context, target topology.Target, id string) (bool, error)
	ReleaseKV(ctx context.Context, target topology.Target, id string) (bool, error)
}

// Membership provides this host's view of hosts and targets. Implementations must
// be safe for concurrent use.
type Membership interface {
	// LiveHosts lists the ids of the failure domain's live hosts.
	LiveHosts(domain string) []string
	// Engines lists the failure domain's engines, leaving ones included.
	Engines(domain string) []topology.Target
	// GoneSince returns when this host learned that an incarnation is gone. A host
	// that does not respond does not count as gone: it must have been replaced by
	// another incarnation or removed from the host list. False means that the
	// incarnation is alive or unknown.
	GoneSince(owner identity.Incarnation) (time.Time, bool)
}

// Options configures a Sweeper. Durations that are not positive select the defaults.
type Options struct {
	Host     string        // this host's id
	Domain   string        // its failure domain
	Interval time.Duration // maximum wait between two passes
	// Grace is how long after its deadline an allocation is kept; it covers the
	// clock skew between hosts and engines.
	Grace time.Duration
	// OrphanDelay is how long an owner must have been known to be gone before its
	// allocations are released.
	OrphanDelay time.Duration
	Timeout     time.Duration // of one call to an engine
	Clock       clock.Clock
}

const (
	defaultInterval      = 10 * time.Second
	defaultGrace         = 5 * time.Second
	defaultOrphanDelay   = 30 * time.Second
	defaultTimeout       = 3 * time.Second
	maxConcurrentEngines = 8
)

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, defaultInterval)
	setDefault(&o.Grace, defaultGrace)
	setDefault(&o.OrphanDelay, defaultOrphanDelay)
	setDefault(&o.Timeout, defaultTimeout)
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Stats are cumulative counters since the start of the sweeper.
type Stats struct {
	Passes        uint64
	ListErrors    uint64 // listings of an engine's allocations that failed
	Listed        uint64 // allocations inspected
	Expired       uint64 // allocations released because their deadline had passed
	Orphans       uint64 // allocations released because their owner was gone
	ReleaseErrors uint64 // releases that were not acknowledged; the next pass retries them
}

// Sweeper periodically releases leaked memory of the engines that its host is
// responsible for. It is safe for concurrent use.
type Sweeper struct {
	opts       Options
	client     EngineClient
	membership Membership

	mu    sync.Mutex
	stats Stats
}

// New returns a Sweeper; Run starts it.
func New(opts Options, client EngineClient, membership Membership) *Sweeper {
	return &Sweeper{opts: opts.withDefaults(), client: client, membership: membership}
}

// Stats returns a copy of the counters.
func (s *Sweeper) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Run makes passes until ctx is done. The wait between two passes is at most one
// interval; jitter shortens it by up to a quarter.
func (s *Sweeper) Run(ctx context.Context) {
	for {
		wait := s.opts.Interval - rand.N(s.opts.Interval/4+1)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		s.Sweep(ctx)
	}
}

// Sweep makes one pass over the engines that this host is responsible for, several
// of them in parallel.
func (s *Sweeper) Sweep(ctx context.Context) {
	s.addStats(Stats{Passes: 1})
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngines)
	for _, target := range s.responsibleEngines() {
		group.Go(func() error {
			s.sweepEngine(ctx, target)
			return nil
		})
	}
	_ = group.Wait()
}

// responsibleEngines returns the engines that this host is responsible for.
func (s *Sweeper) responsibleEngines() []topology.Target {
	hosts := s.membership.LiveHosts(s.opts.Domain)
	var responsible []topology.Target
	for _, target := range s.membership.Engines(s.opts.Domain) {
		if rendezvous.Owner(target.ID, hosts) == s.opts.Host {
			responsible = append(responsible, target)
		}
	}
	return responsible
}

// sweepEngine releases the leaked allocations of the target. If a release fails, it
// leaves the rest to the next pass, so that an unresponsive engine does not delay
// this one.
func (s *Sweeper) sweepEngine(ctx context.Context, target topology.Target) {
	listCtx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	allocations, err := s.client.ListAllocations(listCtx, target)
	cancel()
	if err != nil {
		s.addStats(Stats{ListErrors: 1})
		return
	}
	s.addStats(Stats{Listed: uint64(len(allocations))})
	for _, a := range allocations {
		reason := s.classify(a, s.opts.Clock.Now())
		if reason == notDue {
			continue
		}
		result := s.release(ctx, target, a, reason)
		s.addStats(result)
		if result.ReleaseErrors > 0 {
			return
		}
	}
}

// releaseReason is why an allocation is released, if it is.
type releaseReason uint8

const (
	notDue releaseReason = iota
	expired
	orphaned
)

// classify decides whether an allocation must be released and why. An unknown owner
// may be a host that this one has not learned of yet, so only the deadline counts.
func (s *Sweeper) classify(a engineapi.Allocation, now time.Time) releaseReason {
	deadline := time.UnixMilli(a.DeadlineMS)
	if a.DeadlineMS > 0 && now.After(deadline.Add(s.opts.Grace)) {
		return expired
	}
	owner, err := identity.Parse(a.Owner)
	if err != nil {
		return notDue
	}
	since, gone := s.membership.GoneSince(owner)
	if gone && now.Sub(since) > s.opts.OrphanDelay {
		return orphaned
	}
	return notDue
}

// release makes one attempt to release the allocation and returns the counters to
// add. The next pass retries a failed release.
func (s *Sweeper) release(ctx context.Context, target topology.Target, a engineapi.Allocation, reason releaseReason) Stats {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	release := s.client.CancelStream
	if a.Kind == engineapi.AllocationKV {
		release = s.client.ReleaseKV
	}
	if _, err := release(ctx, target, a.ID); err != nil {
		return Stats{ReleaseErrors: 1}
	}
	if reason == expired {
		return Stats{Expired: 1}
	}
	return Stats{Orphans: 1}
}

func (s *Sweeper) addStats(delta Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Passes += delta.Passes
	s.stats.ListErrors += delta.ListErrors
	s.stats.Listed += delta.Listed
	s.stats.Expired += delta.Expired
	s.stats.Orphans += delta.Orphans
	s.stats.ReleaseErrors += delta.ReleaseErrors
}
