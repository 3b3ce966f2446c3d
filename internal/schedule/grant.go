package schedule

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// GroupGrant is a Grant for a prompt whose memory may be split across the
// targets of a group.
type GroupGrant interface {
	Grant
	// Parts returns the engines and the number of prompt tokens that each holds,
	// starting with the engine to call. It is nil if one target holds the whole
	// prompt. Memory for the output is reserved at the first engine.
	Parts() []engineapi.KVPart
}

// grant is the GroupGrant of one request. It holds the reservation until Release.
type grant struct {
	pool          *pool
	waiter        *waiter
	target        topology.Target
	parts         []engineapi.KVPart // reserved memory, one entry for a single engine
	reservationID string             // also the id of the backlog entry

	mu           sync.Mutex
	firstTokenAt time.Time
	released     bool
}

var _ GroupGrant = (*grant)(nil)

// Target returns the engine to call.
func (g *grant) Target() topology.Target { return g.target }

// Priority returns the request's priority at the engine; lower runs first.
func (g *grant) Priority() int { return int(g.waiter.priority) }

// Parts returns the engines of a split prompt without the output's memory, or
// nil if one engine holds it.
func (g *grant) Parts() []engineapi.KVPart {
	if len(g.parts) == 1 {
		return nil
	}
	parts := slices.Clone(g.parts)
	parts[0].Tokens -= g.waiter.req.MaxTokens
	return parts
}

// FirstToken records when the first token arrived. Calls after the first one
// or after Release have no effect.
func (g *grant) FirstToken(at time.Time) {
	g.mu.Lock()
	seen := !g.firstTokenAt.IsZero() || g.released
	if !seen {
		g.firstTokenAt = at
	}
	g.mu.Unlock()
	if !seen {
		g.pool.firstToken(at, g)
	}
}

// Release frees the reserved memory. Further calls have no effect.
func (g *grant) Release(at time.Time, result outcome.Outcome) {
	g.mu.Lock()
	released, first := g.released, g.firstTokenAt
	g.released = true
	g.mu.Unlock()
	if !released {
		g.pool.release(at, g, first, result)
	}
}

// tryGrant reserves memory for w at candidate i and schedules delivery of the
// grant. It returns false if the memory is not available.
func (p *pool) tryGrant(now time.Time, w *waiter, i int) bool {
	chosen := p.placements[i]
	parts := chosen.parts
	if parts == nil {
		parts = []engineapi.KVPart{{Target: chosen.target.info.ID, Tokens: w.need}}
	}
	p.seq++
	id := w.req.ID + "#" + strconv.FormatUint(p.seq, 10)
	if err := p.ledger.Reserve(now, id, parts, w.reservedUntil); err != nil {
		return false
	}
	g := &grant{pool: p, waiter: w, target: chosen.target.info, parts: parts, reservationID: id}
	w.priority = p.policy.Priority(now, &w.req, w.shape)
	for _, part := range parts {
		p.targets[part.Target].countRequest(w, 1)
	}
	p.recordDispatch(now, w, g, chosen.target, now.Add(p.candidates[i].PredictedTTFT))
	p.stats.Granted++
	p.callbacks = append(p.callbacks, func() { w.deliver(g, nil) })
	return true
}

// countRequest adds delta to the counts of requests that hold memory at the
// target; delta is 1 or -1.
func (t *targetState) countRequest(w *waiter, delta int) {
	t.running += delta
	if w.req.Suspect {
		t.suspects += delta
	}
	if w.shape.Class == rules.ClassShort {
		t.shortTokens += delta * w.need
	}
}

// recordDispatch adds the request's prefill to the backlog of its target and
// passes the dispatch to OnDispatch.
func (p *pool) recordDispatch(now time.Time, w *waiter, g *grant, t *targetState, firstTokenDue time.Time) {
	prompt := p.uncachedTokens(w, t)
	t.backlog.add(now, prefillWork{
		id: g.reservationID, priority: w.priority, dispatchedAt: now, tokens: prompt, remaining: prompt,
		firstTokenDue: firstTokenDue, class: w.shape.Class, local: true,
	})
	if p.cfg.OnDispatch == nil {
		return
	}
	hint := PeerDispatch{Target: t.info.ID, ID: g.reservationID, PrefillTokens: int(prompt), Priority: w.priority, DispatchedAt: now}
	p.callbacks = append(p.callbacks, func() { p.cfg.OnDispatch(hint) })
}

func (p *pool) firstToken(at time.Time, g *grant) {
	p.mu.Lock()
	defer p.unlock()
	if t, ok := p.targets[g.target.ID]; ok {
		t.backlog.remove(at, g.reservationID)
	}
	p.calibration.observeTTFT(g.waiter.shape.Class, g.waiter.predictedTTFT, at.Sub(g.waiter.offeredAt))
	p.dispatch(at)
}

func (p *pool) release(at time.Time, g *grant, first time.Time, result outcome.Outcome) {
	p.mu.Lock()
	defer p.unlock()
	p.ledger.Release(g.reservationID)
	for _, part := range g.parts {
		if t, ok := p.targets[part.Target]; ok {
			t.countRequest(g.waiter, -1)
		}
	}
	if t, ok := p.targets[g.target.ID]; ok {
		t.backlog.remove(at, g.reservationID)
		t.recordOutcome(at, result)
		if result == outcome.Done && !first.IsZero() {
			p.calibration.observeOutput(at.Sub(first), t.rates.DecodeTime(float64(g.waiter.req.MaxTokens)))
		}
	}
	p.stats.Released++
	p.returnIdleLoans(at, g.parts)
	p.dispatch(at)
}
