package policybench

import (
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

// engine is a simulated engine and the attempts that run on it.
type engine struct {
	index       int
	id          string
	model       *enginemodel.Engine
	running     map[string]*attempt // by request id
	nextEventAt time.Time           // time of the pending event, or zero
}

// attempt is one submission of a request to an engine.
type attempt struct {
	host    *host
	request *request
	grant   schedule.Grant
	pinned  []*engine // other engines of the group that hold parts of the prompt
}

func newEngine(i int, lag time.Duration, start time.Time) *engine {
	t := target(i)
	model := enginemodel.New(enginemodel.Config{
		MemoryTokens: t.MemoryTokens, PrefillRate: PrefillRate, DecodeInterval: DecodeInterval,
		MaxBatch: MaxBatchSize, CacheTokens: cacheTokens, ReportLag: lag, Model: modelName,
	}, start, uint64(i+1))
	return &engine{index: i, id: t.ID, model: model, running: map[string]*attempt{}}
}

// offer submits the request to a host's scheduler, which grants or rejects it
// immediately or later.
func (sim *simulation) offer(h *host, r *request) {
	req := schedule.Request{
		ID: r.id, Partner: r.partner, Organisation: r.org, Model: modelName, PromptTokens: r.promptTokens, MaxTokens: MaxTokens,
		Arrival: r.arrival, Deadline: r.deadline, Exclude: r.excludedTargets,
	}
	_, err := h.scheduler.Offer(sim.now, req, func(g schedule.Grant, err error) {
		if err != nil {
			sim.recordRefusal(r)
			return
		}
		sim.submit(h, r, g)
	})
	if err != nil {
		sim.forwardOrRefuse(h, r, err)
	}
	sim.schedulePoll(h)
}

// forwardOrRefuse forwards a request to another failure domain if the local one
// is full, at most once, and otherwise records it as refused.
func (sim *simulation) forwardOrRefuse(h *host, r *request, err error) {
	var full *schedule.DomainFullError
	ownDomain := domainName(h.index / HostsPerDomain)
	r.triedDomains = append(r.triedDomains, ownDomain)
	if errors.As(err, &full) && len(r.triedDomains) == 1 {
		loads := h.scheduler.DomainLoads()
		if domain, ok := schedule.PickDomain(sim.now, loads, modelName, r.triedDomains, full.Predicted); ok {
			sim.forward(domain, r)
			return
		}
	}
	sim.recordRefusal(r)
}

// forward offers the request to a random host of the failure domain after a
// network delay.
func (sim *simulation) forward(domain string, r *request) {
	for i := range Domains {
		if domainName(i) == domain {
			h := sim.hostsInDomain(i)[sim.rng.IntN(HostsPerDomain)]
			sim.after(forwardDelay, func() { sim.offer(h, r) })
		}
	}
}

// recordRefusal ends a request for which no further attempt follows.
func (sim *simulation) recordRefusal(r *request) {
	if sim.measured(r) && !r.ended {
		sim.result.Classes[r.class].Refused++
	}
	r.ended = true
}

// submit sends a granted request to its engine. A request that the engine rejects
// is retried on another engine within the limit on attempts and the host's retry
// budget.
func (sim *simulation) submit(h *host, r *request, g schedule.Grant) {
	e := sim.engineByID(g.Target().ID)
	a := &attempt{host: h, request: r, grant: g}
	err := sim.reserveAndSubmit(e, a)
	sim.result.Attempts++
	sim.recordReservations(e)
	if err == nil {
		e.running[r.id] = a
		sim.scheduleEngineEvent(e)
		return
	}
	if errors.Is(err, enginemodel.ErrNoMemory) {
		sim.result.Rejected++
	}
	if errors.Is(err, enginemodel.ErrDown) {
		h.scheduler.TargetDown(sim.now, e.id, "")
	}
	r.excludedTargets = append(r.excludedTargets, e.id)
	r.failedAttempts++
	g.Release(sim.now, outcome.NotRun)
	if r.failedAttempts >= maxAttempts || !h.retryBudget.AllowRetry(r.org) {
		sim.recordRefusal(r)
		return
	}
	sim.offer(h, r)
}

// reserveAndSubmit pins memory on the other engines of a group grant and submits
// the request to e. If one of them refuses, it releases what it has pinned.
func (sim *simulation) reserveAndSubmit(e *engine, a *attempt) error {
	r := a.request
	job := enginemodel.Job{
		ID: r.id, Owner: hostName(a.host.index), Deadline: r.deadline, PromptTokens: r.promptTokens, MaxTokens: MaxTokens,
		OutputTokens: r.outputTokens, Priority: a.grant.Priority(),
	}
	if groupGrant, ok := a.grant.(schedule.GroupGrant); ok {
		for _, part := range groupGrant.Parts() {
			if part.Target == e.id {
				job.ReserveTokens = part.Tokens + MaxTokens
				continue
			}
			member := sim.engineByID(part.Target)
			if err := member.model.Pin(sim.now, r.id, job.Owner, r.deadline, part.Tokens); err != nil {
				sim.unpin(a)
				return err
			}
			a.pinned = append(a.pinned, member)
		}
	}
	err := e.model.Submit(sim.now, job)
	if err != nil {
		sim.unpin(a)
	}
	return err
}

// unpin releases the memory that the attempt holds on other engines of the group.
func (sim *simulation) unpin(a *attempt) {
	for _, member := range a.pinned {
		member.model.Release(sim.now, a.request.id)
		sim.scheduleEngineEvent(member)
	}
	a.pinned = nil
}

// recordReservations updates MaxReservedFraction with the memory of the engine
// that the hosts of its failure domain have reserved in total.
func (sim *simulation) recordReservations(e *engine) {
	total := 0
	for _, h := range sim.hostsInDomain(domainOf(e.index)) {
		total += h.scheduler.Reserved(e.id)
	}
	sim.result.MaxReservedFraction = max(sim.result.MaxReservedFraction, float64(total)/MemoryTokens)
}

func (sim *simulation) engineByID(id string) *engine {
	for _, e := range sim.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// scheduleEngineEvent schedules the handling of the engine's next event, unless
// it is scheduled already. A change of the engine's state may move its next event,
// so it must be called after each.
func (sim *simulation) scheduleEngineEvent(e *engine) {
	at, ok := e.model.NextEvent()
	if !ok {
		e.nextEventAt = time.Time{}
		return
	}
	if at.Before(sim.now) {
		at = sim.now
	}
	if e.nextEventAt.Equal(at) {
		return
	}
	e.nextEventAt = at
	sim.at(at, func() {
		if e.nextEventAt.Equal(sim.now) {
			e.nextEventAt = time.Time{}
			sim.handleEvents(e)
			sim.scheduleEngineEvent(e)
		}
	})
}

// handleEvents advances the engine to the current time and handles its events.
func (sim *simulation) handleEvents(e *engine) {
	events := append([]enginemodel.Event(nil), e.model.Advance(sim.now)...)
	for _, ev := range events {
		a, ok := e.running[ev.ID]
		if !ok {
			continue
		}
		switch ev.Kind {
		case enginemodel.FirstToken:
			sim.firstToken(a, ev.At)
		case enginemodel.Finished:
			sim.finishAttempt(e, a, outcome.Done, ev.At)
		case enginemodel.Dropped:
			sim.finishAttempt(e, a, outcome.Failed, ev.At)
		}
	}
}

func (sim *simulation) firstToken(a *attempt, at time.Time) {
	r := a.request
	a.grant.FirstToken(at)
	sim.schedulePoll(a.host)
	if !r.firstTokenAt.IsZero() || !sim.measured(r) {
		return
	}
	r.firstTokenAt = at
	ttft := at.Sub(r.arrival)
	sim.result.Classes[r.class].recordFirstToken(ttft, r.idealTTFT())
	if r.idealTTFT() <= maxShortPrefill {
		sim.result.ShortTTFTs = append(sim.result.ShortTTFTs, TTFTSample{Arrival: r.arrival.Sub(sim.start), TTFT: ttft})
	}
}

// finishAttempt releases the grant of an attempt that completed or that the
// engine dropped at its deadline, and records the result.
func (sim *simulation) finishAttempt(e *engine, a *attempt, result outcome.Outcome, at time.Time) {
	r := a.request
	delete(e.running, r.id)
	sim.unpin(a)
	a.grant.Release(at, result)
	sim.schedulePoll(a.host)
	r.ended = true
	if !sim.measured(r) {
		return
	}
	c := sim.result.Classes[r.class]
	if result != outcome.Done {
		c.DeadlineExceeded++
		return
	}
	c.recordFinished(at.Sub(r.arrival), r.idealDuration())
	sim.result.FinishedTokens[r.partner+"/"+r.org] += float64(r.promptTokens)
}

// crash stops an engine and restarts it after the downtime. Hosts notice the loss
// of its requests after crashDetectionDelay.
func (sim *simulation) crash(e *engine, downtime time.Duration) {
	if e.model.Down() {
		return
	}
	sim.handleEvents(e)
	ids := e.model.Crash(sim.now)
	sim.scheduleEngineEvent(e)
	for _, id := range ids {
		if a, ok := e.running[id]; ok {
			delete(e.running, id)
			sim.after(crashDetectionDelay, func() { sim.retryAfterCrash(e, a) })
		}
	}
	sim.after(downtime, func() {
		e.model.Restart(sim.now)
		sim.scheduleEngineEvent(e)
	})
}

// retryAfterCrash retries a request whose engine crashed, within the limit on
// attempts and the host's retry budget.
func (sim *simulation) retryAfterCrash(e *engine, a *attempt) {
	r := a.request
	sim.unpin(a)
	a.host.scheduler.TargetDown(sim.now, e.id, "")
	a.grant.Release(sim.now, outcome.Unknown)
	r.excludedTargets = append(r.excludedTargets, e.id)
	r.failedAttempts++
	if r.failedAttempts >= maxAttempts || !a.host.retryBudget.AllowRetry(r.org) {
		r.ended = true
		if sim.measured(r) {
			sim.result.Classes[r.class].Lost++
		}
		return
	}
	sim.offer(a.host, r)
}

// sendLoanReturn returns a memory loan to the peer that lent it.
func (sim *simulation) sendLoanReturn(peer, target string, id share.LoanID) {
	lender := sim.hostByName(peer)
	sim.after(loanDelay, func() {
		lender.scheduler.LoanReturned(sim.now, target, id)
		sim.schedulePoll(lender)
	})
}

// maxShortPrefill is the prefill time of the longest short prompt on an idle
// engine. Only prompts up to it are sampled in Result.ShortTTFTs.
const maxShortPrefill = 200 * time.Millisecond

// idealTTFT returns the time to first token on an idle engine.
func (r *request) idealTTFT() time.Duration {
	return time.Duration(float64(r.promptTokens) / PrefillRate * float64(time.Second))
}

// idealDuration returns the duration of the whole request on an idle engine.
func (r *request) idealDuration() time.Duration {
	return r.idealTTFT() + time.Duration(r.outputTokens-1)*DecodeInterval
}
