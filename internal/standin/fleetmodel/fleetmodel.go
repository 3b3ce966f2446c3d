package fleetmodel

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/standin/passmodel"
)

const service = "llm"

// Scenario is the configuration of a simulation.
type Scenario struct {
	Engine           catalog.Engine
	Workloads        []Workload
	Hosts            int
	Engines          int
	Duration         time.Duration
	PropagationDelay time.Duration // of job updates; 0: hosts exchange none
	AssumedDelay     time.Duration // that hosts reckon with; 0 for PropagationDelay
	RandomPlacement  bool          // engines are chosen at random
	ImpatientCallers bool          // callers leave when they have waited too long for an event
	// UnknownPrompts is how many prompts of 500,000 tokens are prefilled on the first
	// engines from the start, one on each, of which no host knows.
	UnknownPrompts int
	// LimitedEngines is how many engines name a rate limit of LimitPerSecond.
	LimitedEngines int
	LimitPerSecond float64
	// Policy is the placement policy; nil for the default one.
	Policy *placement.Policy
	// Contention switches on admission under contention.
	Contention bool
}

// scheduledEvent is a function to run at a time of the simulation.
type scheduledEvent struct {
	at  time.Duration
	run func()
}

// simulation is the state of one run of a scenario.
type simulation struct {
	Scenario
	fleet   *passmodel.Fleet
	placers []*placement.Placer
	targets []catalog.Target
	index   map[catalog.TargetKey]int
	queue   []scheduledEvent
	random  *rand.Rand
}

// jobReporter observes one host's jobs and reports them to the other hosts after the
// propagation delay.
type jobReporter struct {
	sim  *simulation
	host int
}

func (r jobReporter) broadcast(apply func(*placement.Placer, string)) {
	if r.sim.PropagationDelay == 0 {
		return
	}
	r.sim.after(r.sim.PropagationDelay, func() {
		for i, pl := range r.sim.placers {
			if i != r.host {
				apply(pl, fmt.Sprint("host-", r.host))
			}
		}
	})
}

// JobStarted implements placement.JobObserver.
func (r jobReporter) JobStarted(j placement.Job) {
	r.broadcast(func(pl *placement.Placer, host string) { pl.RemoteStarted(host, j) })
}

// JobPrefilled implements placement.JobObserver.
func (r jobReporter) JobPrefilled(id placement.JobID) {
	r.broadcast(func(pl *placement.Placer, host string) { pl.RemotePrefilled(host, id) })
}

// JobEnded implements placement.JobObserver.
func (r jobReporter) JobEnded(id placement.JobID) {
	r.broadcast(func(pl *placement.Placer, host string) { pl.RemoteEnded(host, id) })
}

// TargetSuspectedCold implements placement.JobObserver.
func (r jobReporter) TargetSuspectedCold(string, catalog.TargetKey) {}

// PromptRefused implements placement.JobObserver.
func (r jobReporter) PromptRefused(p placement.RefusedPrompt) {
	r.broadcast(func(pl *placement.Placer, host string) { pl.RecordPeerRefused(host, p) })
}

// PromptReturned implements placement.JobObserver.
func (r jobReporter) PromptReturned(service string, key placement.PromptKey) {
	r.broadcast(func(pl *placement.Placer, _ string) { pl.RecordPeerReturned(service, key) })
}

// Play runs a scenario.
func Play(s Scenario, seed uint64) Result {
	sim := newSimulation(s, seed)
	result := make(Result)
	keys := placement.PromptKey(0)
	for i := range s.Workloads {
		wl := &sim.Workloads[i]
		if result[wl.Name] == nil {
			result[wl.Name] = &Stats{}
		}
		for _, r := range wl.arrivals(&s, sim.random) {
			r.stats = result[wl.Name]
			keys++
			r.key = keys
			r.stats.Requests++
			sim.at(r.at, func() { sim.arrive(r) })
		}
	}
	for i := range s.UnknownPrompts {
		sim.fleet.Submit(&passmodel.Request{PromptTokens: 500_000, OutputEvents: 1, OnEvent: func(int, time.Duration) {}}, []int{i})
	}
	sim.run()
	return result
}

func newSimulation(s Scenario, seed uint64) *simulation {
	sim := &simulation{
		Scenario: s, fleet: passmodel.NewFleet(s.Engine, s.Engines), index: make(map[catalog.TargetKey]int), random: rand.New(rand.NewPCG(seed, 1)),
	}
	sim.Workloads = slices.Clone(s.Workloads)
	start := time.Unix(1e9, 0)
	for i := range s.Engines {
		t := catalog.Target{TargetKey: catalog.TargetKey{ID: fmt.Sprint("engine-", i)}, Service: service, Slots: s.Engine.Slots,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 80)}
		sim.targets = append(sim.targets, t)
		sim.index[t.TargetKey] = i
	}
	for i := range s.Hosts {
		pl := placement.NewPlacer(func() time.Time { return start.Add(sim.fleet.Now()) }, seed+uint64(i))
		pl.SetObserver(jobReporter{sim, i})
		pl.SetPropagationDelay(cmp.Or(s.AssumedDelay, s.PropagationDelay))
		if s.Policy != nil {
			pl.SetPolicy(*s.Policy)
		}
		pl.SetPeers(s.Hosts, s.Hosts)
		for _, t := range sim.targets[:s.LimitedEngines] {
			pl.RecordPeerRateLimit(placement.TargetRateLimit{Service: service, Target: t.TargetKey, Limit: placement.RateLimit{PerSecond: s.LimitPerSecond, Named: true}})
		}
		sim.placers = append(sim.placers, pl)
	}
	return sim
}

func (sim *simulation) at(t time.Duration, run func()) {
	i, _ := slices.BinarySearchFunc(sim.queue, t, func(a scheduledEvent, t time.Duration) int {
		if a.at <= t {
			return -1
		}
		return cmp.Compare(a.at, t)
	})
	sim.queue = slices.Insert(sim.queue, i, scheduledEvent{t, run})
}

func (sim *simulation) after(d time.Duration, run func()) { sim.at(sim.fleet.Now()+d, run) }

// run processes scheduled events and ends of passes in the order of time until
// none are left.
func (sim *simulation) run() {
	for {
		end, busy := sim.fleet.NextPassEnd()
		switch {
		case len(sim.queue) > 0 && (!busy || sim.queue[0].at <= end):
			next := sim.queue[0]
			sim.queue = sim.queue[1:]
			sim.fleet.Advance(next.at)
			next.run()
		case busy:
			sim.fleet.Advance(end)
		default:
			return
		}
	}
}

// maxWaitRatio is the ratio of the predicted wait to the time after which a caller
// leaves from which a request is refused, as relay does.
const maxWaitRatio = 1.0

// arrive places a request, or refuses it.
func (sim *simulation) arrive(r request) {
	placed, engines, err := sim.place(r)
	var limited *placement.DeferredError
	var backlogged *placement.BacklogError
	switch {
	case errors.As(err, &backlogged):
		promised := r.promised
		r.promised = backlogged.Promised
		sim.refuse(r, backlogged.RetryAfter, promised)
		return
	case errors.As(err, &limited) && sim.fleet.Now()+limited.RetryAfter <= r.at+r.Objective:
		sim.after(limited.RetryAfter, func() { sim.arrive(r) })
		return
	case errors.As(err, &limited):
		sim.refuse(r, limited.RetryAfter, r.promised)
		return
	case err != nil:
		panic(err) // there are always targets
	}
	if sim.ImpatientCallers && float64(placed.PredictedWait) > maxWaitRatio*float64(r.AbandonAfter()) {
		placed.End(placement.Abandoned)
		sim.refuse(r, refusedRetryAfter, r.promised)
		return
	}
	sim.serve(r, placed, engines)
}

const (
	// refusedRetryAfter is when a caller comes back whose predicted wait was too long.
	refusedRetryAfter = 500 * time.Millisecond
	// maxRetryAfterFraction is the largest fraction of the time left that callers wait
	// before they come back.
	maxRetryAfterFraction = 3
)

// refuse ends a request, whose caller comes back once if it has a timeout. promised tells
// whether the caller had been promised room when it was refused before.
func (sim *simulation) refuse(r request, retryAfter time.Duration, promised bool) {
	left := r.Timeout - (sim.fleet.Now() - r.at)
	if r.retried {
		r.stats.RefusedAgain++
		if promised {
			r.stats.PromisesBroken++
		}
	}
	if r.retried || r.Timeout == 0 || retryAfter > left/maxRetryAfterFraction {
		r.stats.Refused++
		r.end(0, notLate, false)
		return
	}
	r.retried = true
	r.stats.Returned++
	if r.promised {
		r.stats.Promised++
	}
	sim.after(retryAfter, func() {
		r.host = sim.random.IntN(sim.Hosts)
		r.arrived = sim.fleet.Now()
		sim.arrive(r)
	})
}

// end records what the caller got.
func (r *request) end(got float64, late lateness, served bool) {
	payoff := r.payoff(r.Payoff)
	if r.Payoff == 0 {
		payoff = 1
	}
	o := outcome{size: float64(r.tokens) / r.MeanPromptTokens, payoff: payoff, got: got, served: served, inTime: served && late == notLate, late: late}
	r.stats.outcomes = append(r.stats.outcomes, o)
}

// payoff returns a payoff by the size of the request.
func (r *request) payoff(mean float64) float64 {
	const fixed, largest = 0.3, 4
	return mean * min(fixed+(1-fixed)*float64(r.tokens)/r.MeanPromptTokens, largest)
}

// serve runs a request that has been placed.
func (sim *simulation) serve(r request, placed *placement.Placement, engines []int) {
	req := &passmodel.Request{PromptTokens: r.tokens, OutputEvents: r.events}
	if placed.Late {
		req.Priority = 1
	}
	last, late, ended := time.Duration(0), notLate, false
	leave := func() {
		ended = true
		sim.after(0, func() { sim.fleet.Cancel(req) }) // not within a pass
		placed.End(placement.Abandoned)
		r.stats.Left++
		r.end(0, notLate, false)
	}
	req.OnEvent = func(n int, now time.Duration) {
		switch {
		case ended:
			return
		case n == 1:
			placed.FirstEvent()
			r.stats.FirstEventTimes = append(r.stats.FirstEventTimes, now-r.at)
			if now-r.at > r.Objective {
				late = lateFirstEvent
			}
		case now-last > r.MaxEventGap && late == notLate:
			late = lateEventGap
		}
		if sim.ImpatientCallers && n > 1 && now-last > r.AbandonAfter() {
			leave()
			return
		}
		last = now
		if n < r.events {
			return
		}
		ended = true
		placed.End(placement.Served)
		r.stats.Served++
		if late == notLate {
			r.stats.InTime++
			r.end(max(r.payoff(r.Payoff), 0), late, true)
			return
		}
		r.end(r.payoff(r.LatePayoff), late, true)
	}
	sim.fleet.Submit(req, engines)
	if !sim.ImpatientCallers {
		return
	}
	patience := r.AbandonAfter()
	if r.Timeout > 0 {
		patience = min(patience, r.at+r.Timeout-sim.fleet.Now())
	}
	sim.after(patience, func() {
		if last == 0 && !ended {
			leave()
		}
	})
}

func (sim *simulation) place(r request) (*placement.Placement, []int, error) {
	req := placement.Request{
		Service: service, Engine: &sim.Engine, PromptTokens: r.tokens, OutputTokens: r.outputHint,
		Objective: r.Objective, MaxEventGap: r.MaxEventGap, AbandonAfter: r.AbandonAfter(), Importance: r.Importance, Contended: sim.Contention,
		Waited: sim.fleet.Now() - r.arrived, Key: r.key, Patience: r.Timeout - (sim.fleet.Now() - r.at),
	}
	if req.Contended {
		earlier := sim.placers[r.host].RecogniseReturn(service, r.key)
		req.Waited, req.Returned, req.Promised = req.Waited+earlier.Waited, earlier.Returned, earlier.Promised
	}
	targets := sim.targets
	if sim.RandomPlacement {
		targets = sim.pickRandomTargets(&req)
	}
	placed, err := sim.placers[r.host].Place(req, targets)
	if err != nil {
		return nil, nil, err
	}
	engines := []int{sim.index[placed.Primary.TargetKey]}
	for _, part := range placed.Parts {
		if i := sim.index[part.Target.TargetKey]; i != engines[0] {
			engines = append(engines, i)
		}
	}
	return placed, engines, nil
}

// pickRandomTargets picks one engine at random, or eight for a prompt that is too large
// for one.
func (sim *simulation) pickRandomTargets(req *placement.Request) []catalog.Target {
	count := 1
	if placement.NeedsReservations(req) {
		count = 8
	}
	shuffled := slices.Clone(sim.targets)
	sim.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:count]
}
