// Package passmodel models a fleet of model engines that work in passes, in
// virtual time, by the figures that a service publishes of its engines: a pass
// runs a fixed number of token steps for the streams that write, each step
// reads at most one chunk of a prompt, and results show at the end of a pass.
// Several engines may read one prompt together. It does no I/O and reads no
// clock, so equal calls give equal events.
//
// Not modelled: memory, preemption, reservations and faults.
//
// A Fleet is not safe for concurrent use.
package passmodel

import (
	"container/heap"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// chunkTokens is how many prompt tokens one step reads.
const chunkTokens = 2048

// Request is one prompt.
type Request struct {
	PromptTokens int // tokens
	OutputEvents int // of the answer; each holds the tokens of one pass
	Priority     int // lower ones are admitted first
	// OnEvent is called at each event, with its number from 1 on.
	OnEvent func(n int, now time.Duration)

	primary      *engine // where it writes
	pendingParts int     // parts
	emitted      int
	seq          int
}

// part is a share of a prompt at one engine.
type part struct {
	req         *Request
	remote      bool
	remaining   int // tokens
	meanContext int // tokens of the prompt before the next chunk, on average
	contextStep int // growth of depth with each chunk
}

// engine is one engine of the fleet.
type engine struct {
	index      int
	waiting    []*Request // for a slot
	prefilling []*part    // parts of others first
	decoding   []*Request
	running    int
	busy       bool
	prefilled  []*part // read in the pass under way
	passEnd    time.Duration
}

// Fleet is a number of equal engines.
type Fleet struct {
	spec      catalog.Engine
	engines   []*engine
	now       time.Duration
	passes    passEndHeap
	submitted int
}

// NewFleet returns idle engines at time 0.
func NewFleet(spec catalog.Engine, engines int) *Fleet {
	f := &Fleet{spec: spec}
	for i := range engines {
		f.engines = append(f.engines, &engine{index: i})
	}
	return f
}

// Now is the fleet's time.
func (f *Fleet) Now() time.Duration { return f.now }

// Submit sends a request to the first of the engines; the others read parts.
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

// addHelp queues a part of another engine's prompt ahead of the own ones.
func (e *engine) enqueueRemote(p *part) {
	at := 0
	for at < len(e.prefilling) && e.prefilling[at].remote {
		at++
	}
	e.prefilling = slices.Insert(e.prefilling, at, p)
}

// Advance runs the fleet until the given time.
func (f *Fleet) Advance(until time.Duration) {
	for len(f.passes) > 0 && f.passes[0].passEnd <= until {
		e := heap.Pop(&f.passes).(*engine)
		f.now = e.passEnd
		f.endPass(e)
		f.startPass(e)
	}
	f.now = until
}

// NextPassEnd is when the next pass ends, or false if all engines are idle.
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

// admit gives free slots to waiting requests, the most urgent first.
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

// admitted reports whether a part may be read.
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

// readChunk reads one chunk of the first part that may be read.
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

// endPass hands out the events of a pass.
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
		if p.req.pendingParts > 0 {
			continue
		}
		primary := p.req.primary
		primary.decoding = append(primary.decoding, p.req)
		if primary != e {
			f.startIfIdle(primary)
		}
	}
}

// passEndHeap orders engines by the end of their pass.
type passEndHeap []*engine

func (h passEndHeap) Len() int { return len(h) }
func (h passEndHeap) Less(i, j int) bool {
	if h[i].passEnd != h[j].passEnd {
		return h[i].passEnd < h[j].passEnd
	}
	return h[i].index < h[j].index
}
func (h passEndHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an engine.
func (h *passEndHeap) Push(x any) { *h = append(*h, x.(*engine)) }

// Pop removes the engine whose pass ends last in the heap's order.
func (h *passEndHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
