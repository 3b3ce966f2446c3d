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

	home    *engine // where it writes
	unread  int     // parts
	written int
	order   int
}

// part is a share of a prompt at one engine.
type part struct {
	req    *Request
	helper bool
	left   int // tokens
	depth  int // tokens of the prompt before the next chunk, on average
	step   int // growth of depth with each chunk
}

// engine is one engine of the fleet.
type engine struct {
	index   int
	waiting []*Request // for a slot
	reading []*part    // parts of others first
	writing []*Request
	running int
	busy    bool
	done    []*part // read in the pass under way
	passEnd time.Duration
}

// Fleet is a number of equal engines.
type Fleet struct {
	figures catalog.Engine
	engines []*engine
	now     time.Duration
	passes  passHeap
	orders  int
}

// NewFleet returns idle engines at time 0.
func NewFleet(figures catalog.Engine, engines int) *Fleet {
	f := &Fleet{figures: figures}
	for i := range engines {
		f.engines = append(f.engines, &engine{index: i})
	}
	return f
}

// Now is the fleet's time.
func (f *Fleet) Now() time.Duration { return f.now }

// Submit sends a request to the first of the engines; the others read parts.
func (f *Fleet) Submit(req *Request, engines []int) {
	f.orders++
	req.order = f.orders
	req.unread = len(engines)
	share := req.PromptTokens / len(engines)
	for i, index := range engines {
		p := &part{req: req, helper: i > 0, left: share, depth: req.PromptTokens / 2}
		if len(engines) == 1 {
			p.depth, p.step = 0, chunkTokens
		}
		e := f.engines[index]
		if i == 0 {
			req.home = e
			e.waiting = append(e.waiting, req)
			e.reading = append(e.reading, p)
		} else {
			e.addHelp(p)
		}
		f.wake(e)
	}
}

// addHelp queues a part of another engine's prompt ahead of the own ones.
func (e *engine) addHelp(p *part) {
	at := 0
	for at < len(e.reading) && e.reading[at].helper {
		at++
	}
	e.reading = slices.Insert(e.reading, at, p)
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

func (f *Fleet) wake(e *engine) {
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
		return a.order - b.order
	})
	free := f.figures.Slots - e.running
	n := min(max(free, 0), len(e.waiting))
	e.running += n
	e.waiting = e.waiting[n:]
}

// admitted reports whether a part may be read.
func (e *engine) admitted(p *part) bool { return p.helper || !slices.Contains(e.waiting, p.req) }

func (f *Fleet) startPass(e *engine) {
	f.admit(e)
	steps := 1
	if len(e.writing) > 0 {
		steps = max(f.figures.StepsPerPass, 1)
	}
	step := f.stepTime(e)
	var length time.Duration
	read := false
	for range steps {
		length += step
		if took, ok := f.readChunk(e); ok {
			length += took
			read = true
		}
	}
	e.busy = read || len(e.writing) > 0
	if !e.busy {
		return
	}
	e.passEnd = f.now + length
	heap.Push(&f.passes, e)
}

func (f *Fleet) stepTime(e *engine) time.Duration {
	context := 0
	for _, r := range e.writing {
		context += r.PromptTokens
	}
	return f.figures.StepTime + time.Duration(len(e.writing))*f.figures.StepTimePerSeq +
		time.Duration(float64(context)/1000*float64(f.figures.StepTimePerKiloToken))
}

// readChunk reads one chunk of the first part that may be read.
func (f *Fleet) readChunk(e *engine) (time.Duration, bool) {
	for i, p := range e.reading {
		if !e.admitted(p) {
			continue
		}
		tokens := min(p.left, chunkTokens)
		p.left -= tokens
		pairs := float64(tokens) * (float64(p.depth) + float64(p.step)/2)
		p.depth += p.step
		took := time.Duration(float64(tokens)/f.figures.PrefillRate*float64(time.Second) + pairs/1e6*float64(f.figures.AttentionTimePerMPairs))
		if p.left == 0 {
			e.reading = slices.Delete(e.reading, i, i+1)
			e.done = append(e.done, p)
		}
		return took, true
	}
	return 0, false
}

// endPass hands out the events of a pass.
func (f *Fleet) endPass(e *engine) {
	writing := e.writing
	for _, r := range writing {
		r.written++
		r.OnEvent(r.written, f.now)
		if r.written >= r.OutputEvents {
			e.running--
		}
	}
	e.writing = slices.DeleteFunc(writing, func(r *Request) bool { return r.written >= r.OutputEvents })
	done := e.done
	e.done = nil
	for _, p := range done {
		p.req.unread--
		if p.req.unread > 0 {
			continue
		}
		home := p.req.home
		home.writing = append(home.writing, p.req)
		if home != e {
			f.wake(home)
		}
	}
}

// passHeap orders engines by the end of their pass.
type passHeap []*engine

func (h passHeap) Len() int { return len(h) }
func (h passHeap) Less(i, j int) bool {
	if h[i].passEnd != h[j].passEnd {
		return h[i].passEnd < h[j].passEnd
	}
	return h[i].index < h[j].index
}
func (h passHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an engine.
func (h *passHeap) Push(x any) { *h = append(*h, x.(*engine)) }

// Pop removes the engine whose pass ends last in the heap's order.
func (h *passHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
