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

// PartedGrant is a Grant of a prompt that several engines hold in parts.
type PartedGrant interface {
	Grant
	// Parts are the engines and the tokens of the prompt that each holds, the one to
	// call first; nil when the target holds the prompt alone. The answer's memory
	// is reserved at the first.
	Parts() []engineapi.KVPart
}

// grant implements PartedGrant.
type grant struct {
	pool     *pool
	waiter   *waiter
	target   topology.Target
	parts    []engineapi.KVPart // reserved memory, also when there is only one engine
	reserved string             // id of the reservation and of the work

	mu       sync.Mutex
	first    time.Time
	released bool
}

var _ PartedGrant = (*grant)(nil)

// Target returns the engine to call.
func (g *grant) Target() topology.Target { return g.target }

// Priority returns the engine's priority.
func (g *grant) Priority() int { return int(g.waiter.priority) }

// Parts returns the engines that hold the prompt in parts.
func (g *grant) Parts() []engineapi.KVPart {
	if len(g.parts) == 1 {
		return nil
	}
	parts := slices.Clone(g.parts)
	parts[0].Tokens -= g.waiter.req.MaxTokens
	return parts
}

// FirstToken records that the first token came.
func (g *grant) FirstToken(at time.Time) {
	g.mu.Lock()
	seen := !g.first.IsZero() || g.released
	if !seen {
		g.first = at
	}
	g.mu.Unlock()
	if !seen {
		g.pool.firstToken(at, g)
	}
}

// Release gives the reservation back. Further calls do nothing.
func (g *grant) Release(at time.Time, result outcome.Outcome) {
	g.mu.Lock()
	released, first := g.released, g.first
	g.released = true
	g.mu.Unlock()
	if !released {
		g.pool.release(at, g, first, result)
	}
}

// grant reserves the memory of candidate i and hands the request over.
func (p *pool) grant(now time.Time, w *waiter, i int) bool {
	at := p.places[i]
	parts := at.parts
	if parts == nil {
		parts = []engineapi.KVPart{{Target: at.target.info.ID, Tokens: w.need}}
	}
	p.seq++
	id := w.req.ID + "#" + strconv.FormatUint(p.seq, 10)
	if err := p.ledger.Reserve(now, id, parts, w.until); err != nil {
		return false
	}
	g := &grant{pool: p, waiter: w, target: at.target.info, parts: parts, reserved: id}
	w.priority = p.policy.Priority(now, &w.req, w.shape)
	for _, part := range parts {
		p.targets[part.Target].occupy(w, 1)
	}
	p.began(now, w, g, at.target, now.Add(p.candidates[i].FirstToken))
	p.stats.Granted++
	p.after = append(p.after, func() { w.deliver(g, nil) })
	return true
}

// occupy counts a request that holds memory at the target.
func (t *targetState) occupy(w *waiter, count int) {
	t.running += count
	if w.req.Alone {
		t.suspects += count
	}
	if w.shape.Class == rules.ClassShort {
		t.shortUsed += count * w.need
	}
}

// began accounts for the work of a request at its target.
func (p *pool) began(now time.Time, w *waiter, g *grant, t *targetState, due time.Time) {
	prompt := p.prefillLeft(w, t)
	t.backlog.add(now, work{
		id: g.reserved, priority: w.priority, at: now, tokens: prompt, left: prompt,
		due: due, class: w.shape.Class, own: true,
	})
	if p.cfg.OnDispatch == nil {
		return
	}
	hint := PeerDispatch{Target: t.info.ID, ID: g.reserved, Prompt: int(prompt), Priority: w.priority, At: now}
	p.after = append(p.after, func() { p.cfg.OnDispatch(hint) })
}

func (p *pool) firstToken(at time.Time, g *grant) {
	p.mu.Lock()
	defer p.unlock()
	if t, ok := p.targets[g.target.ID]; ok {
		t.backlog.remove(at, g.reserved)
	}
	p.learned.cameTrue(g.waiter.shape.Class, g.waiter.predicted, at.Sub(g.waiter.offered))
	p.dispatch(at)
}

func (p *pool) release(at time.Time, g *grant, first time.Time, result outcome.Outcome) {
	p.mu.Lock()
	defer p.unlock()
	p.ledger.Release(g.reserved)
	for _, part := range g.parts {
		if t, ok := p.targets[part.Target]; ok {
			t.occupy(g.waiter, -1)
		}
	}
	if t, ok := p.targets[g.target.ID]; ok {
		t.backlog.remove(at, g.reserved)
		t.ended(at, result)
		if result == outcome.Done && !first.IsZero() {
			p.learned.answered(at.Sub(first), t.rates.DecodeTime(float64(g.waiter.req.MaxTokens)))
		}
	}
	p.stats.Released++
	p.returnLoans(at, g.parts)
	p.dispatch(at)
}
