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

// Engines is what the sweep asks of the engines' client.
type Engines interface {
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
	// Lag is how long an owner must have been known to be gone.
	Lag     time.Duration
	Timeout time.Duration // of one call to an engine
	Clock   clock.Clock
}

const (
	defaultInterval = 10 * time.Second
	defaultGrace    = 5 * time.Second
	defaultLag      = 30 * time.Second
	defaultTimeout  = 3 * time.Second
	enginesAtOnce   = 8
)

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, defaultInterval)
	setDefault(&o.Grace, defaultGrace)
	setDefault(&o.Lag, defaultLag)
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
	Passes     uint64
	Unanswered uint64 // engines that did not list what they hold
	Listed     uint64 // things that were looked at
	Expired    uint64 // released, past their deadline
	Orphans    uint64 // released, of an owner that is gone
	Failed     uint64 // releases that were not acknowledged; the next pass tries again
}

// Sweeper sweeps the engines that its host is responsible for. It is safe for
// concurrent use.
type Sweeper struct {
	opts    Options
	engines Engines
	members Membership

	mu    sync.Mutex
	stats Stats
}

// New returns a sweeper; Run starts it.
func New(opts Options, engines Engines, members Membership) *Sweeper {
	return &Sweeper{opts: opts.withDefaults(), engines: engines, members: members}
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
	s.add(Stats{Passes: 1})
	var group errgroup.Group
	group.SetLimit(enginesAtOnce)
	for _, target := range s.own() {
		group.Go(func() error {
			s.sweepEngine(ctx, target)
			return nil
		})
	}
	_ = group.Wait()
}

// own lists the engines that this host is responsible for.
func (s *Sweeper) own() []topology.Target {
	hosts := s.members.LiveHosts(s.opts.Domain)
	var own []topology.Target
	for _, target := range s.members.Engines(s.opts.Domain) {
		if rendezvous.Owner(target.ID, hosts) == s.opts.Host {
			own = append(own, target)
		}
	}
	return own
}

// sweepEngine releases what is due at the target. It leaves the rest to the
// next pass when a release fails, so that a silent engine does not hold it up.
func (s *Sweeper) sweepEngine(ctx context.Context, target topology.Target) {
	listCtx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	held, err := s.engines.ListAllocations(listCtx, target)
	cancel()
	if err != nil {
		s.add(Stats{Unanswered: 1})
		return
	}
	s.add(Stats{Listed: uint64(len(held))})
	for _, h := range held {
		why := s.due(h, s.opts.Clock.Now())
		if why == keep {
			continue
		}
		done := s.release(ctx, target, h, why)
		s.add(done)
		if done.Failed > 0 {
			return
		}
	}
}

// ground is why something is released.
type ground uint8

const (
	keep ground = iota
	expired
	orphaned
)

// due tells whether h must be released. An owner of which nothing is known may
// be a host that this one has not heard of yet, so its deadline decides.
func (s *Sweeper) due(h engineapi.Allocation, now time.Time) ground {
	deadline := time.UnixMilli(h.DeadlineMS)
	if h.DeadlineMS > 0 && now.After(deadline.Add(s.opts.Grace)) {
		return expired
	}
	owner, err := identity.Parse(h.Owner)
	if err != nil {
		return keep
	}
	since, gone := s.members.GoneSince(owner)
	if gone && now.Sub(since) > s.opts.Lag {
		return orphaned
	}
	return keep
}

// release tries once; the next pass tries again.
func (s *Sweeper) release(ctx context.Context, target topology.Target, h engineapi.Allocation, why ground) Stats {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	free := s.engines.CancelStream
	if h.Kind == engineapi.AllocationKV {
		free = s.engines.ReleaseKV
	}
	if _, err := free(ctx, target, h.ID); err != nil {
		return Stats{Failed: 1}
	}
	if why == expired {
		return Stats{Expired: 1}
	}
	return Stats{Orphans: 1}
}

func (s *Sweeper) add(d Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Passes += d.Passes
	s.stats.Unanswered += d.Unanswered
	s.stats.Listed += d.Listed
	s.stats.Expired += d.Expired
	s.stats.Orphans += d.Orphans
	s.stats.Failed += d.Failed
}
