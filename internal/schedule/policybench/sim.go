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

// drainTime is how long a run goes on after the last arrival.
const drainTime = 6 * time.Minute

// warmUp is the time at the start whose requests are not measured.
const warmUp = 20 * time.Second

type event struct {
	at  time.Time
	seq int
	run func()
}

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

// simulation is one run.
type simulation struct {
	scenario Scenario
	start    time.Time
	clock    *clock.Manual
	now      time.Time
	events   eventQueue
	seq      int
	load     *generator
	rng      *rand.Rand // of faults and forwarding
	hosts    []*host
	engines  []*engine
	result   *Result
}

// host is one entry host.
type host struct {
	index  int
	local  *schedule.Local
	pollAt time.Time
	budget *retry.Budget
}

// Run runs the scenario to its end.
func Run(s Scenario) *Result {
	sim := newSimulation(s)
	sim.arrivals()
	sim.plan()
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
	rate := s.Load * Engines * PrefillRate / meanPrompt()
	sim.load = &generator{rng: rand.New(rand.NewPCG(s.Seed, 3)), rate: rate, burst: s.Fault == FaultBurst}
	lag := reportLag
	if s.Fault == FaultStale {
		lag = staleLag
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

// target is engine i as the platform publishes it; three engines form a group.
func target(i int) topology.Target {
	t := topology.Target{
		ID: fmt.Sprintf("engine-%02d", i), Kind: topology.KindEngine, Domain: domainName(domainOf(i)),
		State: topology.StateLive, Model: modelName, MemoryTokens: MemoryTokens,
	}
	const groupSize = 3
	if g := i / Domains / groupSize; (g+1)*groupSize*Domains <= Engines-Engines%Domains {
		t.Group = fmt.Sprintf("group-%d-%d", domainOf(i), g)
	}
	return t
}

func (sim *simulation) newHost(i int) *host {
	budget, err := retry.New(retry.DefaultConfig())
	if err != nil {
		panic(err)
	}
	h := &host{index: i, budget: budget}
	domain := i / HostsPerDomain
	h.local = schedule.New(schedule.Config{
		Self: hostName(i), Domain: domainName(domain), Clock: sim.clock,
		NewPolicy:       func() schedule.Policy { return sim.scenario.Policy(sim.scenario.Seed + uint64(i)) },
		OnDispatch:      func(hint schedule.PeerDispatch) { sim.tellPeers(h, hint) },
		SendLoanRequest: func(peer string, ask schedule.MemoryLoanRequest) { sim.sendAsk(h, peer, ask) },
		SendLoanReturn:  sim.sendReturn,
	})
	var targets []topology.Target
	for j := range Engines {
		targets = append(targets, target(j))
	}
	var peers []string
	for j := range HostsPerDomain {
		peers = append(peers, hostName(domain*HostsPerDomain+j))
	}
	h.local.SetTargets(targets)
	h.local.SetHosts(peers, nil)
	h.local.SetRules(ruleSets())
	return h
}

func (sim *simulation) at(t time.Time, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: t, seq: sim.seq, run: run})
}

func (sim *simulation) after(d time.Duration, run func()) { sim.at(sim.now.Add(d), run) }

// every runs fn now and then each interval.
func (sim *simulation) every(interval time.Duration, fn func()) {
	var again func()
	again = func() {
		fn()
		sim.after(interval, again)
	}
	again()
}

// arrivals draws the next request and comes back for the one after it.
func (sim *simulation) arrivals() {
	if sim.now.Sub(sim.start) > sim.scenario.Duration {
		return
	}
	sim.after(sim.load.gap(), func() {
		r := sim.load.next(sim.now)
		sim.result.Offered++
		if sim.measured(r) {
			sim.result.Classes[r.class].Offered++
			sim.result.Asked[r.partner+"/"+r.org] += float64(r.prompt)
		}
		h := sim.hosts[r.host]
		h.budget.RecordFirstAttempt(r.org)
		sim.offer(h, r)
		sim.arrivals()
	})
}

func (sim *simulation) measured(r *request) bool { return r.arrival.Sub(sim.start) >= warmUp }

// plan schedules reports, hints and faults.
func (sim *simulation) plan() {
	for _, e := range sim.engines {
		sim.after(time.Duration(e.index)*reportEvery/Engines, func() {
			sim.every(reportEvery, func() { sim.report(e) })
		})
	}
	sim.every(domainHints, sim.hintDomains)
	sim.faults()
}

func (sim *simulation) report(e *engine) {
	load := e.model.Load(sim.now)
	for _, h := range sim.hostsOf(domainOf(e.index)) {
		h.local.Report(sim.now, e.id, load)
		sim.touch(h)
	}
}

func (sim *simulation) hostsOf(domain int) []*host {
	return sim.hosts[domain*HostsPerDomain : (domain+1)*HostsPerDomain]
}

func (sim *simulation) hintDomains() {
	for i := range Domains {
		for _, load := range sim.hosts[i*HostsPerDomain].local.OwnLoads(sim.now) {
			for _, h := range sim.hosts {
				if h.index/HostsPerDomain != i {
					h.local.LearnDomainLoad(load)
				}
			}
		}
	}
}

// touch makes sure that the host is polled when it wants to be.
func (sim *simulation) touch(h *host) {
	at, ok := h.local.NextPoll(sim.now)
	if !ok || (h.pollAt.After(sim.now) && !at.Before(h.pollAt)) {
		return
	}
	if !at.After(sim.now) {
		at = sim.now.Add(time.Millisecond)
	}
	h.pollAt = at
	sim.at(at, func() {
		if h.pollAt.Equal(sim.now) {
			h.local.Poll(sim.now)
			sim.touch(h)
		}
	})
}

func (sim *simulation) tellPeers(from *host, hint schedule.PeerDispatch) {
	for _, h := range sim.hostsOf(from.index / HostsPerDomain) {
		if h != from {
			sim.after(hintDelay, func() { h.local.LearnPeerDispatch(sim.now, hint) })
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

func (sim *simulation) sendAsk(from *host, peer string, ask schedule.MemoryLoanRequest) {
	lender := sim.hostByName(peer)
	sim.after(loanDelay, func() {
		loan, ok := lender.local.Lend(sim.now, ask)
		sim.touch(lender)
		if !ok {
			return
		}
		sim.after(loanDelay, func() {
			from.local.AcceptLoan(sim.now, loan)
			sim.touch(from)
		})
	})
}

// faults schedules the scenario's faults.
func (sim *simulation) faults() {
	switch sim.scenario.Fault {
	case FaultDeath:
		const every, back = 20 * time.Second, 15 * time.Second
		sim.after(every, func() {
			sim.every(every, func() { sim.crash(sim.engines[sim.rng.IntN(Engines)], back) })
		})
	case FaultSlow:
		const slow, factor = 3, 0.1
		sim.after(warmUp, func() {
			for i := range slow {
				e := sim.engines[i*7]
				e.model.Advance(sim.now)
				e.model.SetSpeed(factor)
				sim.wake(e)
			}
		})
	case FaultHalf:
		sim.after(sim.scenario.Duration/2, func() {
			for i := 0; i < Engines; i += 2 {
				sim.crash(sim.engines[i], sim.scenario.Duration+drainTime)
			}
		})
	}
}
