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

// Bounds of asking engines for their load.
const (
	pollInterval      = 500 * time.Millisecond // between two reports of one engine, at least
	maxPollsPerSecond = 4                      // over all engines
	pollTimeout       = 2 * time.Second
	pollsPerEventRead = 4 // polls between two reads of cache events
	downAfterMisses   = 3 // polls without an answer
)

// targetObserver is told what a target reported of itself, and when its
// process was seen to have ended.
type targetObserver interface {
	targetReported(target, incarnation string, at time.Time, leaving bool)
	targetDied(target, incarnation string)
}

// poller asks engines for their load and cache events. The rate over all
// engines is bounded, so that it does not grow with their number.
type poller struct {
	client    *engine.Client
	scheduler *schedule.Local
	observer  targetObserver
	clk       clock.Clock

	mu      sync.Mutex
	states  map[string]*pollState
	targets []topology.Target
}

// pollState is what the poller remembers of one engine.
type pollState struct {
	inFlight          bool
	consecutiveMisses int
	reports           int
	incarnation       string
	nextEvent         uint64
}

func newPoller(client *engine.Client, scheduler *schedule.Local, observer targetObserver, clk clock.Clock) *poller {
	return &poller{client: client, scheduler: scheduler, observer: observer, clk: clk, states: make(map[string]*pollState)}
}

// incarnation is the target's process as it was last reported. A target that
// was never heard is asked now.
func (p *poller) incarnation(target string) string {
	state, info := p.lookup(target)
	if state == "" && info.ID != "" {
		p.poll(context.Background(), info)
		state, _ = p.lookup(target)
	}
	return state
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
	known := p.states
	p.states = make(map[string]*pollState, len(targets))
	for _, t := range targets {
		if existing, ok := known[t.ID]; ok {
			p.states[t.ID] = existing
		} else {
			p.states[t.ID] = &pollState{}
		}
	}
}

// run polls one engine after the other until ctx ends.
func (p *poller) run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		target, pause, ok := p.nextTarget(next)
		if ok {
			go p.poll(ctx, target)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// turn returns the engine whose turn it is, if it is not still being asked,
// and the pause until the next one's.
func (p *poller) nextTarget(next int) (topology.Target, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.targets) == 0 {
		return topology.Target{}, pollInterval, false
	}
	pause := max(pollInterval/time.Duration(len(p.targets)), time.Second/maxPollsPerSecond)
	target := p.targets[next%len(p.targets)]
	state := p.states[target.ID]
	if state.inFlight {
		return target, pause, false
	}
	state.inFlight = true
	return target, pause, true
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

// missed counts a poll without an answer and reports whether the target is to
// be taken for down now.
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

// heard counts an answer. It returns the incarnation before, and from where
// cache events are wanted now.
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
