package sweep_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
	"github.com/plantainrun/plantainrun/internal/sweep"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	domain      = "north"
	interval    = 10 * time.Second
	grace       = 5 * time.Second
	orphanDelay = 30 * time.Second
	// maxViewLag is how much later than others a host may learn of a membership
	// change.
	maxViewLag = 10 * time.Second
)

var errLost = errors.New("message was lost")

// fleet simulates engines that never drop an expired stream by themselves, and
// hosts that submit, cancel, sweep and crash.
type fleet struct {
	mu             sync.Mutex
	random         *rand.Rand
	lossy          bool
	engines        []*enginemodel.Engine
	hosts          []*host
	gone           map[identity.Incarnation]time.Time // when each incarnation became known to be gone
	violations     []string
	latestDeadline time.Time
	seq            int
}

type host struct {
	id          string
	self        identity.Incarnation
	canceller   *engine.Canceller
	sweeper     *sweep.Sweeper
	stop        context.CancelFunc
	alive       bool
	listedUntil time.Time     // until then the host list shows it as live
	listedFrom  time.Time     // from then on the host list shows its latest process as live
	viewLag     time.Duration // delay with which this host sees the host list
}

func newFleet(engines, hosts int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), gone: make(map[identity.Incarnation]time.Time), latestDeadline: time.Now()}
	for i := range engines {
		cfg := enginemodel.Config{MemoryTokens: 100_000, PrefillRate: 100, DecodeInterval: time.Second, KeepExpired: true}
		f.engines = append(f.engines, enginemodel.New(cfg, time.Now(), uint64(i)))
	}
	for i := range hosts {
		f.hosts = append(f.hosts, &host{id: fmt.Sprint("host-", i), viewLag: time.Duration(i) * maxViewLag / 2})
	}
	for _, h := range f.hosts {
		f.start(h)
	}
	return f
}

func (f *fleet) target(i int) topology.Target {
	return topology.Target{ID: fmt.Sprint(i), Kind: topology.KindEngine, Domain: domain}
}

func (f *fleet) engine(t topology.Target) *enginemodel.Engine {
	var i int
	_, _ = fmt.Sscan(t.ID, &i)
	return f.engines[i]
}

// start starts a new process of the host.
func (f *fleet) start(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	h.self = identity.Incarnation{Host: h.id, Start: uint64(f.seq)}
	h.canceller = engine.NewCanceller(engine.CancelOptions{}, f.CancelStream)
	ctx, stop := context.WithCancel(context.Background())
	h.stop, h.alive, h.listedFrom = stop, true, time.Now()
	opts := sweep.Options{Host: h.id, Domain: domain, Interval: interval, Grace: grace, OrphanDelay: orphanDelay}
	h.sweeper = sweep.New(opts, checkedClient{f}, laggingView{f, h.viewLag})
	go h.sweeper.Run(ctx)
}

// crash kills the host's process; the host list shows it after detectionDelay.
func (f *fleet) crash(h *host, detectionDelay time.Duration) {
	h.stop()
	h.canceller.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	h.alive = false
	h.listedUntil = time.Now().Add(detectionDelay)
	f.gone[h.self] = h.listedUntil
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.alive {
			h.stop()
			h.canceller.Close()
		}
	}
}

// call runs op unless the request is lost; the acknowledgement may be lost too.
func (f *fleet) call(t topology.Target, op func(e *enginemodel.Engine) bool) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lossy && f.random.IntN(3) == 0 {
		return false, errLost
	}
	held := op(f.engine(t))
	if f.lossy && f.random.IntN(2) == 0 {
		return false, errLost
	}
	return held, nil
}

func (f *fleet) CancelStream(_ context.Context, t topology.Target, id string) (bool, error) {
	return f.call(t, func(e *enginemodel.Engine) bool { return e.Cancel(time.Now(), id) })
}

func (f *fleet) ReleaseKV(_ context.Context, t topology.Target, id string) (bool, error) {
	return f.call(t, func(e *enginemodel.Engine) bool { return e.Release(time.Now(), id) })
}

func (f *fleet) ListAllocations(_ context.Context, t topology.Target) ([]engineapi.Allocation, error) {
	var list []engineapi.Allocation
	_, err := f.call(t, func(e *enginemodel.Engine) bool {
		e.Advance(time.Now())
		list = e.Allocations()
		return true
	})
	return list, err
}

// laggingView is one host's view of the membership, in which the host list is
// delayed by lag.
type laggingView struct {
	*fleet
	lag time.Duration
}

func (v laggingView) LiveHosts(string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	viewedAt := time.Now().Add(-v.lag)
	var live []string
	for _, h := range v.hosts {
		if h.alive && !viewedAt.Before(h.listedFrom) || viewedAt.Before(h.listedUntil) {
			live = append(live, h.id)
		}
	}
	return live
}

func (f *fleet) Engines(string) []topology.Target {
	var targets []topology.Target
	for i := range f.engines {
		targets = append(targets, f.target(i))
	}
	return targets
}

func (f *fleet) GoneSince(owner identity.Incarnation) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, gone := f.gone[owner]
	return since, gone && !time.Now().Before(since)
}

// used returns the tokens that are allocated on all engines together.
func (f *fleet) used() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, e := range f.engines {
		e.Advance(time.Now())
		sum += e.ReservedTokens()
	}
	return sum
}

// checkedClient is the engine client of the sweepers. It records a violation when an
// allocation of a live owner is released before its deadline plus grace.
type checkedClient struct{ *fleet }

func (c checkedClient) CancelStream(ctx context.Context, t topology.Target, id string) (bool, error) {
	c.checkReleaseAllowed(t, id)
	return c.fleet.CancelStream(ctx, t, id)
}

func (c checkedClient) ReleaseKV(ctx context.Context, t topology.Target, id string) (bool, error) {
	c.checkReleaseAllowed(t, id)
	return c.fleet.ReleaseKV(ctx, t, id)
}

func (c checkedClient) checkReleaseAllowed(t topology.Target, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.engine(t).Allocations() {
		owner, _ := identity.Parse(a.Owner)
		_, gone := c.gone[owner]
		if a.ID == id && !gone && !time.Now().After(time.UnixMilli(a.DeadlineMS).Add(grace)) {
			c.violations = append(c.violations, fmt.Sprintf("%s of %s was released before its deadline plus grace", id, a.Owner))
		}
	}
}
