package server

import (
	"context"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Bounds of asking engines for their load.
const (
	pollInterval  = 500 * time.Millisecond // between two reports of one engine, at least
	pollsPerSec   = 12                     // over all engines
	pollTimeout   = 2 * time.Second
	eventsEvery   = 4 // polls between two reads of cache events
	downAfterMiss = 3 // polls without an answer
)

// poller asks engines for their load and cache events. The rate over all
// engines is bounded, so that it does not grow with their number.
type poller struct {
	client    *engine.Client
	scheduler *schedule.Local
	clk       clock.Clock

	mu      sync.Mutex
	polled  map[string]*polled
	targets []topology.Target
}

// polled is what the poller remembers of one engine.
type polled struct {
	busy        bool
	misses      int
	rounds      int
	incarnation string
	nextEvent   uint64
}

func newPoller(client *engine.Client, scheduler *schedule.Local, clk clock.Clock) *poller {
	return &poller{client: client, scheduler: scheduler, clk: clk, polled: make(map[string]*polled)}
}

func (p *poller) set(targets []topology.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = targets
	known := p.polled
	p.polled = make(map[string]*polled, len(targets))
	for _, t := range targets {
		if was, ok := known[t.ID]; ok {
			p.polled[t.ID] = was
		} else {
			p.polled[t.ID] = &polled{}
		}
	}
}

// run polls one engine after the other until ctx ends.
func (p *poller) run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		target, pause, ok := p.turn(next)
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
func (p *poller) turn(next int) (topology.Target, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.targets) == 0 {
		return topology.Target{}, pollInterval, false
	}
	pause := max(pollInterval/time.Duration(len(p.targets)), time.Second/pollsPerSec)
	target := p.targets[next%len(p.targets)]
	state := p.polled[target.ID]
	if state.busy {
		return target, pause, false
	}
	state.busy = true
	return target, pause, true
}

func (p *poller) poll(ctx context.Context, target topology.Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := p.client.Load(ctx, target)
	now := p.clk.Now()
	p.mu.Lock()
	state := p.polled[target.ID]
	if state == nil {
		p.mu.Unlock()
		return
	}
	state.busy = false
	if err != nil {
		state.misses++
		down := state.misses == downAfterMiss
		p.mu.Unlock()
		if down {
			p.scheduler.TargetDown(now, target.ID, "")
		}
		return
	}
	state.misses = 0
	state.rounds++
	state.incarnation = report.Incarnation
	wantEvents := state.rounds%eventsEvery == 1
	after := state.nextEvent
	p.mu.Unlock()
	p.scheduler.Report(now, target.ID, report)
	if report.Leaving {
		p.scheduler.TargetLeaving(target.ID, report.Incarnation)
	}
	if wantEvents {
		p.events(ctx, target, after)
	}
}

func (p *poller) events(ctx context.Context, target topology.Target, after uint64) {
	events, err := p.client.CacheEvents(ctx, target, after)
	if err != nil {
		return
	}
	p.scheduler.CacheEvents(target.ID, events)
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.polled[target.ID]; state != nil {
		state.nextEvent = events.Next
	}
}
