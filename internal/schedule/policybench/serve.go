package policybench

import (
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

// engine is one engine with the requests that run on it.
type engine struct {
	index   int
	id      string
	model   *enginemodel.Engine
	running map[string]*attempt // by request id
	wakeAt  time.Time
}

// attempt is one request at one engine.
type attempt struct {
	host    *host
	request *request
	grant   schedule.Grant
	pinned  []*engine // that hold other parts of the prompt
}

func newEngine(i int, lag time.Duration, start time.Time) *engine {
	t := target(i)
	model := enginemodel.New(enginemodel.Config{
		MemoryTokens: t.MemoryTokens, PrefillRate: PrefillRate, DecodeInterval: DecodeInterval,
		MaxBatch: BatchLimit, CacheTokens: cacheTokens, ReportLag: lag, Model: modelName,
	}, start, uint64(i+1))
	return &engine{index: i, id: t.ID, model: model, running: map[string]*attempt{}}
}

// offer gives the request to a host's scheduler.
func (sim *simulation) offer(h *host, r *request) {
	req := schedule.Request{
		ID: r.id, Partner: r.partner, Organisation: r.org, Model: modelName, PromptTokens: r.prompt, MaxTokens: MaxTokens,
		Arrival: r.arrival, Deadline: r.deadline, Exclude: r.excluded,
	}
	_, err := h.local.Offer(sim.now, req, func(g schedule.Grant, err error) {
		if err != nil {
			sim.refuse(r)
			return
		}
		sim.submit(h, r, g)
	})
	if err != nil {
		sim.refused(h, r, err)
	}
	sim.touch(h)
}

// refused tries another failure domain when the own one is full.
func (sim *simulation) refused(h *host, r *request, err error) {
	var full *schedule.DomainFullError
	own := domainName(h.index / HostsPerDomain)
	r.domains = append(r.domains, own)
	if errors.As(err, &full) && len(r.domains) == 1 {
		loads := h.local.DomainLoads()
		if domain, ok := schedule.PickDomain(sim.now, loads, modelName, r.domains, full.Predicted); ok {
			sim.forward(domain, r)
			return
		}
	}
	sim.refuse(r)
}

func (sim *simulation) forward(domain string, r *request) {
	for i := range Domains {
		if domainName(i) == domain {
			h := sim.hostsOf(i)[sim.rng.IntN(HostsPerDomain)]
			sim.after(forwardDelay, func() { sim.offer(h, r) })
		}
	}
}

func (sim *simulation) refuse(r *request) {
	if sim.measured(r) && !r.ended {
		sim.result.Classes[r.class].Refused++
	}
	r.ended = true
}

// submit sends a granted request to its engine.
func (sim *simulation) submit(h *host, r *request, g schedule.Grant) {
	e := sim.engineByID(g.Target().ID)
	a := &attempt{host: h, request: r, grant: g}
	err := sim.place(e, a)
	sim.result.Attempts++
	sim.promised(e)
	if err == nil {
		e.running[r.id] = a
		sim.wake(e)
		return
	}
	if errors.Is(err, enginemodel.ErrNoMemory) {
		sim.result.Rejected++
	}
	if errors.Is(err, enginemodel.ErrDown) {
		h.local.TargetDown(sim.now, e.id, "")
	}
	r.excluded = append(r.excluded, e.id)
	r.tries++
	g.Release(sim.now, outcome.NotRun)
	if r.tries >= mostTries || !h.budget.AllowRetry(r.org) {
		sim.refuse(r)
		return
	}
	sim.offer(h, r)
}

// place takes the memory at all engines that the grant names.
func (sim *simulation) place(e *engine, a *attempt) error {
	r := a.request
	job := enginemodel.Job{
		ID: r.id, Owner: hostName(a.host.index), Deadline: r.deadline, PromptTokens: r.prompt, MaxTokens: MaxTokens,
		OutputTokens: r.output, Priority: a.grant.Priority(),
	}
	if parted, ok := a.grant.(schedule.GroupGrant); ok {
		for _, part := range parted.Parts() {
			if part.Target == e.id {
				job.ReserveTokens = part.Tokens + MaxTokens
				continue
			}
			other := sim.engineByID(part.Target)
			if err := other.model.Pin(sim.now, r.id, job.Owner, r.deadline, part.Tokens); err != nil {
				sim.unpin(a)
				return err
			}
			a.pinned = append(a.pinned, other)
		}
	}
	err := e.model.Submit(sim.now, job)
	if err != nil {
		sim.unpin(a)
	}
	return err
}

func (sim *simulation) unpin(a *attempt) {
	for _, other := range a.pinned {
		other.model.Release(sim.now, a.request.id)
		sim.wake(other)
	}
	a.pinned = nil
}

// promised records how much of an engine's memory all hosts have promised.
func (sim *simulation) promised(e *engine) {
	total := 0
	for _, h := range sim.hostsOf(domainOf(e.index)) {
		total += h.local.Reserved(e.id)
	}
	sim.result.MostPromised = max(sim.result.MostPromised, float64(total)/MemoryTokens)
}

func (sim *simulation) engineByID(id string) *engine {
	for _, e := range sim.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// wake handles the engine's events when they come.
func (sim *simulation) wake(e *engine) {
	at, ok := e.model.NextEvent()
	if !ok {
		e.wakeAt = time.Time{}
		return
	}
	if at.Before(sim.now) {
		at = sim.now
	}
	if e.wakeAt.Equal(at) {
		return
	}
	e.wakeAt = at
	sim.at(at, func() {
		if e.wakeAt.Equal(sim.now) {
			e.wakeAt = time.Time{}
			sim.handle(e)
			sim.wake(e)
		}
	})
}

func (sim *simulation) handle(e *engine) {
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
			sim.end(e, a, outcome.Done, ev.At)
		case enginemodel.Dropped:
			sim.end(e, a, outcome.Failed, ev.At)
		}
	}
}

func (sim *simulation) firstToken(a *attempt, at time.Time) {
	r := a.request
	a.grant.FirstToken(at)
	sim.touch(a.host)
	if !r.first.IsZero() || !sim.measured(r) {
		return
	}
	r.first = at
	wait := at.Sub(r.arrival)
	sim.result.Classes[r.class].firstToken(wait, r.idealFirst())
	if r.idealFirst() <= shortIdeal {
		sim.result.FirstTokens = append(sim.result.FirstTokens, FirstToken{Arrival: r.arrival.Sub(sim.start), Wait: wait})
	}
}

func (sim *simulation) end(e *engine, a *attempt, result outcome.Outcome, at time.Time) {
	r := a.request
	delete(e.running, r.id)
	sim.unpin(a)
	a.grant.Release(at, result)
	sim.touch(a.host)
	r.ended = true
	if !sim.measured(r) {
		return
	}
	c := sim.result.Classes[r.class]
	if result != outcome.Done {
		c.Late++
		return
	}
	c.finished(at.Sub(r.arrival), r.ideal())
	sim.result.Work[r.partner+"/"+r.org] += float64(r.prompt)
}

// crash stops an engine and starts it again after a while.
func (sim *simulation) crash(e *engine, back time.Duration) {
	if e.model.Down() {
		return
	}
	sim.handle(e)
	ids := e.model.Crash(sim.now)
	sim.wake(e)
	for _, id := range ids {
		if a, ok := e.running[id]; ok {
			delete(e.running, id)
			sim.after(crashNotice, func() { sim.lost(e, a) })
		}
	}
	sim.after(back, func() {
		e.model.Restart(sim.now)
		sim.wake(e)
	})
}

// lost retries a request whose engine died, within the host's budget.
func (sim *simulation) lost(e *engine, a *attempt) {
	r := a.request
	sim.unpin(a)
	a.host.local.TargetDown(sim.now, e.id, "")
	a.grant.Release(sim.now, outcome.Unknown)
	r.excluded = append(r.excluded, e.id)
	r.tries++
	if r.tries >= mostTries || !a.host.budget.AllowRetry(r.org) {
		r.ended = true
		if sim.measured(r) {
			sim.result.Classes[r.class].Lost++
		}
		return
	}
	sim.offer(a.host, r)
}

func (sim *simulation) sendReturn(peer, target string, id share.LoanID) {
	lender := sim.hostByName(peer)
	sim.after(loanDelay, func() {
		lender.local.LoanReturned(sim.now, target, id)
		sim.touch(lender)
	})
}

// shortIdeal is the longest prefill of a short prompt on an idle engine.
const shortIdeal = 200 * time.Millisecond

func (r *request) idealFirst() time.Duration {
	return time.Duration(float64(r.prompt) / PrefillRate * float64(time.Second))
}

func (r *request) ideal() time.Duration {
	return r.idealFirst() + time.Duration(r.output-1)*DecodeInterval
}
