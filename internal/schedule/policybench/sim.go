package policybench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/retry"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// drainTime is how long the simulation continues after the last arrival, so
// that admitted requests can finish.
const drainTime = 6 * time.Minute

// warmUp is the initial part of a run. Requests that arrive in it are excluded
// from the results.
const warmUp = 20 * time.Second

// event is a callback due at a point in virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events by time. Events at the same time run in the
// order in which they were scheduled, which keeps runs deterministic.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// simulation is the state of one discrete-event simulation of a scenario.
type simulation struct {
	scenario  Scenario
	start     time.Time
	clock     *clock.Manual
	now       time.Time
	events    eventQueue
	seq       int
	generator *generator
	rng       *rand.Rand // selects the engines that crash and the hosts that receive forwarded requests
	hosts     []*host
	engines   []*engine
	result    *Result
}

// host is one entry host with its scheduler.
type host struct {
	index       int
	scheduler   *schedule.Local
	nextPollAt  time.Time
	retryBudget *retry.Budget
}

// Run simulates the scenario and returns its measurements.
func Run(s Scenario) *Result {
	sim := newSimulation(s)
	sim.scheduleNextArrival()
	sim.schedulePeriodic()
	end := sim.start.Add(s.Duration + drainTime)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at.After(end) {
			break
		}
		sim.clock.Advance(e.at.Sub(sim.now))
		sim.now = e.at
		e.run()
	}
	return sim.result
}

func newSimulation(s Scenario) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{
		scenario: s, start: start, now: start, clock: clock.NewManual(start),
		rng:    rand.New(rand.NewPCG(s.Seed, 2)),
		result: newResult(s),
	}
	rate := s.Load * Engines * PrefillRate / meanPromptTokens()
	sim.generator = &generator{rng: rand.New(rand.NewPCG(s.Seed, 3)), rate: rate, burst: s.Fault == FaultBurst}
	lag := reportLag
	if s.Fault == FaultStaleReports {
		lag = staleReportLag
	}
	for i := range Engines {
		sim.engines = append(sim.engines, newEngine(i, lag, start))
	}
	for i := range Domains * HostsPerDomain {
		sim.hosts = append(sim.hosts, sim.newHost(i))
	}
	return sim
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// target returns engine i as the platform publishes it. Every three engines of a
// failure domain form a group; engines left over belong to none.
func target(i int) topology.Target {
	t := topology.Target{
		ID: fmt.Sprintf("engine-%02d", i), Kind: topology.KindEngine, Domain: domainName(domainOf(i)),
		State: topology.StateLive, Model: modelName, MemoryTokens: MemoryTokens,
	}
	const groupSize = 3
	if group := i / Domains / groupSize; (group+1)*groupSize*Domains <= Engines-Engines%Domains {
		t.Group = fmt.Sprintf("group-%d-%d", domainOf(i), group)
	}
	return t
}

func (sim *simulation) newHost(i int) *host {
	budgetConfig := retry.DefaultConfig()
	budgetConfig.Clock = sim.clock
	retryBudget, err := retry.New(budgetConfig)
	if err != nil {
		panic(err)
	}
	h := &host{index: i, retryBudget: retryBudget}
	domain := i / HostsPerDomain
	h.scheduler = schedule.New(schedule.Config{
		Self: hostName(i), Domain: domainName(domain), Clock: sim.clock,
		NewPolicy:       func() schedule.Policy { return sim.scenario.Policy(sim.scenario.Seed + uint64(i)) },
		OnDispatch:      func(hint schedule.PeerDispatch) { sim.sendDispatchHint(h, hint) },
		SendLoanRequest: func(peer string, loanRequest schedule.MemoryLoanRequest) { sim.sendLoanRequest(h, peer, loanRequest) },
		SendLoanReturn:  sim.sendLoanReturn,
	})
	var targets []topology.Target
	for j := range Engines {
		targets = append(targets, target(j))
	}
	var peers []string
	for j := range HostsPerDomain {
		peers = append(peers, hostName(domain*HostsPerDomain+j))
	}
	h.scheduler.SetTargets(targets)
	h.scheduler.SetHosts(peers, nil)
	h.scheduler.SetRules(ruleSets())
	return h
}

func (sim *simulation) at(t time.Time, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: t, seq: sim.seq, run: run})
}

func (sim *simulation) after(d time.Duration, run func()) { sim.at(sim.now.Add(d), run) }

// every runs fn immediately and then once per interval.
func (sim *simulation) every(interval time.Duration, fn func()) {
	var tick func()
	tick = func() {
		fn()
		sim.after(interval, tick)
	}
	tick()
}

// scheduleNextArrival schedules the arrival of the next request, which in turn
// schedules the one after it, until the scenario's duration has passed.
func (sim *simulation) scheduleNextArrival() {
	if sim.now.Sub(sim.start) > sim.scenario.Duration {
		return
	}
	sim.after(sim.generator.interarrival(), func() {
		r := sim.generator.next(sim.now)
		sim.result.Offered++
		if sim.measured(r) {
			sim.result.Classes[r.class].Offered++
			sim.result.OfferedTokens[r.partner+"/"+r.org] += float64(r.promptTokens)
		}
		h := sim.hosts[r.entryHost]
		h.retryBudget.RecordFirstAttempt(r.org)
		sim.offer(h, r)
		sim.scheduleNextArrival()
	})
}

// measured reports whether the request arrived after the warm-up.
func (sim *simulation) measured(r *request) bool { return r.arrival.Sub(sim.start) >= warmUp }

// schedulePeriodic schedules the load reports of the engines, the exchange of
// domain loads, and the faults. The reports are spread evenly over the interval.
func (sim *simulation) schedulePeriodic() {
	for _, e := range sim.engines {
		sim.after(time.Duration(e.index)*reportInterval/Engines, func() {
			sim.every(reportInterval, func() { sim.deliverReport(e) })
		})
	}
	sim.every(domainLoadInterval, sim.exchangeDomainLoads)
	sim.scheduleFaults()
}

// deliverReport sends the engine's load to the hosts of its failure domain.
func (sim *simulation) deliverReport(e *engine) {
	load := e.model.Load(sim.now)
	for _, h := range sim.hostsInDomain(domainOf(e.index)) {
		h.scheduler.Report(sim.now, e.id, load)
		sim.schedulePoll(h)
	}
}

func (sim *simulation) hostsInDomain(domain int) []*host {
	return sim.hosts[domain*HostsPerDomain : (domain+1)*HostsPerDomain]
}

// exchangeDomainLoads sends the load of each failure domain, as its first host
// sees it, to all hosts of the other domains.
func (sim *simulation) exchangeDomainLoads() {
	for i := range Domains {
		for _, load := range sim.hosts[i*HostsPerDomain].scheduler.OwnLoads(sim.now) {
			for _, h := range sim.hosts {
				if h.index/HostsPerDomain != i {
					h.scheduler.LearnDomainLoad(load)
				}
			}
		}
	}
}

// schedulePoll schedules the next poll of the host's scheduler unless an earlier
// one is pending. A poll that is due already runs one millisecond later.
func (sim *simulation) schedulePoll(h *host) {
	at, ok := h.scheduler.NextPoll(sim.now)
	if !ok || (h.nextPollAt.After(sim.now) && !at.Before(h.nextPollAt)) {
		return
	}
	if !at.After(sim.now) {
		at = sim.now.Add(time.Millisecond)
	}
	h.nextPollAt = at
	sim.at(at, func() {
		if h.nextPollAt.Equal(sim.now) {
			h.scheduler.Poll(sim.now)
			sim.schedulePoll(h)
		}
	})
}

// sendDispatchHint tells the other hosts of the failure domain about a dispatch.
func (sim *simulation) sendDispatchHint(from *host, hint schedule.PeerDispatch) {
	for _, h := range sim.hostsInDomain(from.index / HostsPerDomain) {
		if h != from {
			sim.after(peerHintDelay, func() { h.scheduler.LearnPeerDispatch(sim.now, hint) })
		}
	}
}

func (sim *simulation) hostByName(name string) *host {
	for _, h := range sim.hosts {
		if hostName(h.index) == name {
			return h
		}
	}
	return nil
}

// sendLoanRequest asks a peer to lend part of its share of an engine's memory. A
// loan that the peer grants reaches the borrower after another loanDelay.
func (sim *simulation) sendLoanRequest(from *host, peer string, loanRequest schedule.MemoryLoanRequest) {
	lender := sim.hostByName(peer)
	sim.after(loanDelay, func() {
		loan, ok := lender.scheduler.Lend(sim.now, loanRequest)
		sim.schedulePoll(lender)
		if !ok {
			return
		}
		sim.after(loanDelay, func() {
			from.scheduler.AcceptLoan(sim.now, loan)
			sim.schedulePoll(from)
		})
	})
}

// scheduleFaults schedules the crashes or the slowdown of engines that the
// scenario asks for. Stale reports and bursts are set up by newSimulation.
func (sim *simulation) scheduleFaults() {
	switch sim.scenario.Fault {
	case FaultCrash:
		const interval, downtime = 20 * time.Second, 15 * time.Second
		sim.after(interval, func() {
			sim.every(interval, func() { sim.crash(sim.engines[sim.rng.IntN(Engines)], downtime) })
		})
	case FaultSlow:
		const slowEngines, speedFactor = 3, 0.1
		sim.after(warmUp, func() {
			for i := range slowEngines {
				e := sim.engines[i*7]
				e.model.Advance(sim.now)
				e.model.SetSpeed(speedFactor)
				sim.scheduleEngineEvent(e)
			}
		})
	case FaultHalfDown:
		sim.after(sim.scenario.Duration/2, func() {
			for i := 0; i < Engines; i += 2 {
				sim.crash(sim.engines[i], sim.scenario.Duration+drainTime)
			}
		})
	}
}
