// Package sweep gives engine memory back that nobody will give back any more:
// streams and KV blocks that are past their deadline, and those of an owner
// that is gone.
//
// The host responsible for an engine, by rendezvous hashing over the live hosts
// of its failure domain, sweeps it. Two hosts that both think they are
// responsible do no harm, and neither does a host that wakes up late: a release
// has no effect the second time, and both grounds for it, a deadline that has
// passed and an incarnation that is gone, never become untrue again.
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

// EngineClient is what the sweep asks of the engines' client.
type EngineClient interface {
	// ListAllocations lists what pins the target's memory.
	ListAllocations(ctx context.Context, target topology.Target) ([]engineapi.Allocation, error)
	// CancelStream and ReleaseKV report whether the target held it.
	CancelStream(ctx context.Context, target topology.Target, id string) (bool, error)
	ReleaseKV(ctx context.Context, target topology.Target, id string) (bool, error)
}

// Membership is what the sweep knows of hosts and targets. Implementations are
// safe for concurrent use.
type Membership interface {
	// LiveHosts lists the ids of the failure domain's live hosts.
	LiveHosts(domain string) []string
	// Engines lists the failure domain's engines, leaving ones included.
	Engines(domain string) []topology.Target
	// GoneSince returns since when an incarnation has been known to be gone.
	// That a host does not answer is not enough: it must have been replaced by
	// another incarnation or taken off the host list. False means that it
	// lives or that nothing is known of it.
	GoneSince(owner identity.Incarnation) (time.Time, bool)
}

// Options configures a Sweeper. Zero durations take the defaults.
type Options struct {
	Host     string // this host's id
	Domain   string // its failure domain
	Interval time.Duration
	// Grace is how long after its deadline something is left alone; it covers
	// the difference between the clocks of hosts and engines.
	Grace time.Duration
	// OrphanDelay is how long an owner must have been known to be gone.
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

// Stats counts since the sweeper's start.
type Stats struct {
	Passes        uint64
	ListErrors    uint64 // engines that did not list what they hold
	Listed        uint64 // things that were looked at
	Expired       uint64 // released, past their deadline
	Orphans       uint64 // released, of an owner that is gone
	ReleaseErrors uint64 // releases that were not acknowledged; the next pass tries again
}

// Sweeper sweeps the engines that its host is responsible for. It is safe for
// concurrent use.
type Sweeper struct {
	opts       Options
	client     EngineClient
	membership Membership

	mu    sync.Mutex
	stats Stats
}

// New returns a sweeper; Run starts it.
func New(opts Options, client EngineClient, membership Membership) *Sweeper {
	return &Sweeper{opts: opts.withDefaults(), client: client, membership: membership}
}

// Stats returns the counters.
func (s *Sweeper) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Run sweeps until ctx ends. Two passes are at most one interval apart, with
// jitter, beside the time that a pass takes.
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

// Sweep makes one pass over the engines that this host is responsible for.
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

// responsibleEngines lists the engines that this host is responsible for.
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

// sweepEngine releases what is due at the target. It leaves the rest to the
// next pass when a release fails, so that a silent engine does not hold it up.
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

// releaseReason is why something is released.
type releaseReason uint8

const (
	notDue releaseReason = iota
	expired
	orphaned
)

// classify tells whether h must be released. An owner of which nothing is known may
// be a host that this one has not heard of yet, so its deadline decides.
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

// release tries once; the next pass tries again.
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
