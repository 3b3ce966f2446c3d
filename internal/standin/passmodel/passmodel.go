// Package passmodel simulates, in virtual time, a fleet of model engines that
// schedule in passes, from the engine figures that a service publishes. A pass
// runs a fixed number of token steps for the decoding streams; each step
// prefills at most one chunk of a prompt, and output becomes visible at the end
// of the pass. Several engines may prefill one prompt together. The package does
// no I/O and reads no clock, so the same calls produce the same events.
//
// Memory, preemption, reservations and faults are not modelled.
//
// A Fleet is not safe for concurrent use.
package passmodel

import (
	"container/heap"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// chunkTokens is the maximum number of prompt tokens prefilled in one step.
const chunkTokens = 2048

// Request is one prompt to prefill and decode.
type Request struct {
	PromptTokens int
	OutputEvents int // output events; each carries the tokens of one pass
	Priority     int // lower values are admitted first
	// OnEvent is called for each output event with its 1-based number and the
	// virtual time.
	OnEvent func(n int, now time.Duration)

	primary      *engine // engine that decodes the request
	pendingParts int     // parts not fully prefilled yet
	emitted      int     // output events delivered so far
	seq          int     // order of submission
	cancelled    bool
}

// part is the share of a prompt that one engine prefills.
type part struct {
	req         *Request
	remote      bool // the request decodes on another engine
	remaining   int  // tokens
	meanContext int  // mean number of prompt tokens that precede the next chunk
	contextStep int  // added to meanContext after each chunk
}

// engine is one engine of the fleet.
type engine struct {
	index      int
	waiting    []*Request // requests without a slot
	prefilling []*part    // remote parts first
	decoding   []*Request
	running    int
	busy       bool
	prefilled  []*part // completed in the current pass
	passEnd    time.Duration
}

// Fleet is a set of identical engines that share one virtual clock.
type Fleet struct {
	spec      catalog.Engine
	engines   []*engine
	now       time.Duration
	passes    passEndHeap
	submitted int
}

// NewFleet returns a fleet of idle engines at virtual time 0.
func NewFleet(spec catalog.Engine, engines int) *Fleet {
	f := &Fleet{spec: spec}
	for i := range engines {
		f.engines = append(f.engines, &engine{index: i})
	}
	return f
}

// Now returns the current virtual time.
func (f *Fleet) Now() time.Duration { return f.now }

// Submit splits the prefill of a request evenly over the given engines. The
// first of them also decodes it.
func (f *Fleet) Submit(req *Request, engines []int) {
	f.submitted++
	req.seq = f.submitted
	req.pendingParts = len(engines)
	partTokens := req.PromptTokens / len(engines)
	for i, index := range engines {
		p := &part{req: req, remote: i > 0, remaining: partTokens, meanContext: req.PromptTokens / 2}
		if len(engines) == 1 {
			p.meanContext, p.contextStep = 0, chunkTokens
		}
		e := f.engines[index]
		if i == 0 {
			req.primary = e
			e.waiting = append(e.waiting, req)
			e.prefilling = append(e.prefilling, p)
		} else {
			e.enqueueRemote(p)
		}
		f.startIfIdle(e)
	}
}

// Cancel removes a request, as when its caller disconnects. Its part of the current
// passes is still computed.
func (f *Fleet) Cancel(req *Request) {
	req.cancelled = true
	for _, e := range f.engines {
		e.prefilling = slices.DeleteFunc(e.prefilling, func(p *part) bool { return p.req == req })
	}
	primary := req.primary
	if i := slices.Index(primary.waiting, req); i >= 0 {
		primary.waiting = slices.Delete(primary.waiting, i, i+1)
		return
	}
	primary.decoding = slices.DeleteFunc(primary.decoding, func(r *Request) bool { return r == req })
	primary.running--
}

// enqueueRemote queues a part of another engine's request ahead of the local
// parts.
func (e *engine) enqueueRemote(p *part) {
	at := 0
	for at < len(e.prefilling) && e.prefilling[at].remote {
		at++
	}
	e.prefilling = slices.Insert(e.prefilling, at, p)
}

// Advance runs the simulation up to the given time.
func (f *Fleet) Advance(until time.Duration) {
	for len(f.passes) > 0 && f.passes[0].passEnd <= until {
		e := heap.Pop(&f.passes).(*engine)
		f.now = e.passEnd
		f.endPass(e)
		f.startPass(e)
	}
	f.now = until
}

// NextPassEnd returns the time at which the next pass ends, or false if all
// engines are idle.
func (f *Fleet) NextPassEnd() (time.Duration, bool) {
	if len(f.passes) == 0 {
		return 0, false
	}
	return f.passes[0].passEnd, true
}

func (f *Fleet) startIfIdle(e *engine) {
	if !e.busy {
		f.startPass(e)
	}
}

// admit assigns free slots to waiting requests by priority, then by order of
// submission.
func (f *Fleet) admit(e *engine) {
	slices.SortStableFunc(e.waiting, func(a, b *Request) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.seq - b.seq
	})
	free := f.spec.Slots - e.running
	n := min(max(free, 0), len(e.waiting))
	e.running += n
	e.waiting = e.waiting[n:]
}

// eligible reports whether a part may be prefilled: remote parts need no slot.
func (e *engine) eligible(p *part) bool { return p.remote || !slices.Contains(e.waiting, p.req) }

func (f *Fleet) startPass(e *engine) {
	f.admit(e)
	steps := 1
	if len(e.decoding) > 0 {
		steps = max(f.spec.StepsPerPass, 1)
	}
	step := f.stepTime(e)
	var duration time.Duration
	computed := false
	for range steps {
		duration += step
		if elapsed, ok := f.prefillChunk(e); ok {
			duration += elapsed
			computed = true
		}
	}
	e.busy = computed || len(e.decoding) > 0
	if !e.busy {
		return
	}
	e.passEnd = f.now + duration
	heap.Push(&f.passes, e)
}

func (f *Fleet) stepTime(e *engine) time.Duration {
	contextTokens := 0
	for _, r := range e.decoding {
		contextTokens += r.PromptTokens
	}
	return f.spec.StepTime + time.Duration(len(e.decoding))*f.spec.StepTimePerSeq +
		time.Duration(float64(contextTokens)/1000*float64(f.spec.StepTimePerKiloToken))
}

// prefillChunk prefills one chunk of the first eligible part and returns the
// time that it takes. It reports false if no part is eligible.
func (f *Fleet) prefillChunk(e *engine) (time.Duration, bool) {
	for i, p := range e.prefilling {
		if !e.eligible(p) {
			continue
		}
		tokens := min(p.remaining, chunkTokens)
		p.remaining -= tokens
		pairs := float64(tokens) * (float64(p.meanContext) + float64(p.contextStep)/2)
		p.meanContext += p.contextStep
		elapsed := time.Duration(float64(tokens)/f.spec.PrefillRate*float64(time.Second) + pairs/1e6*float64(f.spec.AttentionTimePerMPairs))
		if p.remaining == 0 {
			e.prefilling = slices.Delete(e.prefilling, i, i+1)
			e.prefilled = append(e.prefilled, p)
		}
		return elapsed, true
	}
	return 0, false
}

// endPass delivers the output events of a pass and moves requests whose prompt
// is fully prefilled to decoding.
func (f *Fleet) endPass(e *engine) {
	decoding := e.decoding
	for _, r := range decoding {
		r.emitted++
		r.OnEvent(r.emitted, f.now)
		if r.emitted >= r.OutputEvents {
			e.running--
		}
	}
	e.decoding = slices.DeleteFunc(decoding, func(r *Request) bool { return r.emitted >= r.OutputEvents })
	prefilled := e.prefilled
	e.prefilled = nil
	for _, p := range prefilled {
		p.req.pendingParts--
		if p.req.pendingParts > 0 || p.req.cancelled {
			continue
		}
		primary := p.req.primary
		primary.decoding = append(primary.decoding, p.req)
		if primary != e {
			f.startIfIdle(primary)
		}
	}
}

// passEndHeap is a min-heap of busy engines by the end of their pass, then by
// index.
type passEndHeap []*engine

func (h passEndHeap) Len() int { return len(h) }
func (h passEndHeap) Less(i, j int) bool {
	if h[i].passEnd != h[j].passEnd {
		return h[i].passEnd < h[j].passEnd
	}
	return h[i].index < h[j].index
}
func (h passEndHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *passEndHeap) Push(x any) { *h = append(*h, x.(*engine)) }

// Pop implements heap.Interface: it removes the last element of the slice.
func (h *passEndHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
