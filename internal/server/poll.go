package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Limits on polling engines for load reports.
const (
	pollInterval      = 500 * time.Millisecond // minimum time between two polls of one engine
	maxPollsPerSecond = 4                      // across all engines
	pollTimeout       = 2 * time.Second
	pollsPerEventRead = 4 // answered polls between two reads of cache events
	downAfterMisses   = 3 // consecutive polls without an answer before an engine counts as down
)

// targetObserver receives what targets report about themselves, and the ends of
// their processes.
type targetObserver interface {
	targetReported(target, incarnation string, at time.Time, leaving bool)
	targetDied(target, incarnation string)
}

// poller polls engines for load reports and cache events. The total rate of polls is
// bounded, so it does not grow with the number of engines.
type poller struct {
	client    *engine.Client
	scheduler *schedule.Local
	observer  targetObserver
	clk       clock.Clock

	mu      sync.Mutex
	states  map[string]*pollState
	targets []topology.Target
}

// pollState is the poller's state of one engine.
type pollState struct {
	inFlight          bool
	consecutiveMisses int
	reports           int    // answered polls
	incarnation       string // from the latest load report
	nextEvent         uint64 // sequence number after which cache events are read next
}

func newPoller(client *engine.Client, scheduler *schedule.Local, observer targetObserver, clk clock.Clock) *poller {
	return &poller{client: client, scheduler: scheduler, observer: observer, clk: clk, states: make(map[string]*pollState)}
}

// incarnation returns the target's process from its latest load report. A target
// without a report is polled first.
func (p *poller) incarnation(target string) string {
	inc, info := p.lookup(target)
	if inc == "" && info.ID != "" {
		p.poll(context.Background(), info)
		inc, _ = p.lookup(target)
	}
	return inc
}

func (p *poller) lookup(id string) (string, topology.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[id]
	i := slices.IndexFunc(p.targets, func(t topology.Target) bool { return t.ID == id })
	if state == nil || i < 0 {
		return "", topology.Target{}
	}
	return state.incarnation, p.targets[i]
}

func (p *poller) setTargets(targets []topology.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = targets
	previous := p.states
	p.states = make(map[string]*pollState, len(targets))
	for _, t := range targets {
		if existing, ok := previous[t.ID]; ok {
			p.states[t.ID] = existing
		} else {
			p.states[t.ID] = &pollState{}
		}
	}
}

// run polls the engines in turn until ctx ends.
func (p *poller) run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		target, delay, ok := p.nextTarget(next)
		if ok {
			go p.poll(ctx, target)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// nextTarget returns the engine to poll next and the delay until the next poll. It
// returns false if there is no engine, or if its previous poll is still in flight.
func (p *poller) nextTarget(next int) (topology.Target, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.targets) == 0 {
		return topology.Target{}, pollInterval, false
	}
	delay := max(pollInterval/time.Duration(len(p.targets)), time.Second/maxPollsPerSecond)
	target := p.targets[next%len(p.targets)]
	state := p.states[target.ID]
	if state.inFlight {
		return target, delay, false
	}
	state.inFlight = true
	return target, delay, true
}

func (p *poller) poll(ctx context.Context, target topology.Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := p.client.Load(ctx, target)
	now := p.clk.Now()
	if err != nil {
		if p.recordMiss(target.ID) {
			p.scheduler.TargetDown(now, target.ID, "")
		}
		return
	}
	previous, wantEvents, after := p.recordReport(target.ID, report.Incarnation)
	if previous != "" && previous != report.Incarnation {
		p.observer.targetDied(target.ID, previous)
	}
	p.observer.targetReported(target.ID, report.Incarnation, time.UnixMilli(report.ObservedMS), report.Leaving)
	p.scheduler.Report(now, target.ID, report)
	if wantEvents {
		p.readCacheEvents(ctx, target, after)
	}
}

// recordMiss records an unanswered poll and reports whether the target has just
// reached downAfterMisses, so that it counts as down.
func (p *poller) recordMiss(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[target]
	if state == nil {
		return false
	}
	state.inFlight = false
	state.consecutiveMisses++
	return state.consecutiveMisses == downAfterMisses
}

// recordReport records an answered poll. It returns the previously reported
// incarnation, whether cache events are to be read now, and the event after which
// to read.
func (p *poller) recordReport(target, incarnation string) (previous string, wantEvents bool, after uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[target]
	if state == nil {
		return "", false, 0
	}
	previous, state.incarnation = state.incarnation, incarnation
	state.inFlight = false
	state.consecutiveMisses = 0
	state.reports++
	return previous, state.reports%pollsPerEventRead == 1, state.nextEvent
}

func (p *poller) readCacheEvents(ctx context.Context, target topology.Target, after uint64) {
	events, err := p.client.CacheEvents(ctx, target, after)
	if err != nil {
		return
	}
	p.scheduler.CacheEvents(target.ID, events)
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.states[target.ID]; state != nil {
		state.nextEvent = events.Next
	}
}
