package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// soloRead is the reading time up to which one engine reads a prompt alone.
	soloRead = 120 * time.Millisecond
	// memoryShare is the part of an engine's memory that one prompt may fill.
	memoryShare = 0.85
	// reservedShare is the part of an engine's memory that one reservation may take.
	reservedShare = 0.5
	// fullCost is added where an engine's memory is promised already, in weights
	// of the new request.
	fullCost = 1.0
	// helpMargin is how many prompts below its limit an engine is asked to help with.
	helpMargin = 3
	// unblocked is the reading that a short prompt behind it bears.
	unblocked = 150 * time.Millisecond
	// waitCost breaks ties between choices that are all in time, in weights of
	// the request for a wait as long as its objective.
	waitCost = 0.05
	// blockedShare is the part of short prompts that meet a blocked engine
	// even when few engines are blocked.
	blockedShare = 0.1
	// spreadOver is over how many engines a host draws its choice for each
	// prompt that it has not heard of yet.
	spreadOver = 4
	// spreadCost is how much dearer than the best they may be, in weights of
	// the request.
	spreadCost = 0.1
)

// partCounts are the numbers of engines considered for one prompt.
var partCounts = []int{1, 2, 3, 4, 6, 8, 10, 12, 14, 16}

// choosePlain takes the target with the fewest requests.
func (p *Placement) choosePlain(candidates []*load, random *rand.Rand, now time.Time) []Share {
	start := random.IntN(len(candidates))
	var best *load
	var bestWait time.Duration
	for i := range candidates {
		l := candidates[(start+i)%len(candidates)]
		wait := l.penalty(now) + plainCost*time.Duration(len(l.jobs))/time.Duration(max(l.target.Slots, 1))
		if best == nil || wait < bestWait {
			best, bestWait = l, wait
		}
	}
	p.Primary, p.PredictedWait = best.target, bestWait
	return []Share{{Target: best.target.TargetKey, Decodes: true}}
}

// plainCost is the expected wait at a plain target with all slots taken.
const plainCost = 100 * time.Millisecond

// choice is a way to place a prompt.
type choice struct {
	engines []*engineState // the first one writes
	work    time.Duration  // reading of each
	wait    time.Duration  // until the first event
	cost    float64        // in weights of requests that would be late
}

// choosePrompt takes the cheapest choice over the numbers of engines.
func (p *Placement) choosePrompt(need *Request, candidates []*load, s *shard, now time.Time) []Share {
	c := newChooser(need, candidates, s, now)
	c.unheard = s.demand.short.perSecond(now) * time.Duration(p.board.delay.Load()).Seconds()
	var best *choice
	for _, parts := range c.partCounts() {
		if ch := c.choose(parts); best == nil || ch.cost < best.cost {
			best = ch
		}
	}
	p.Primary, p.PredictedWait = best.engines[0].load.target, best.wait
	p.Late = need.Waited+best.wait > need.Objective
	reserved := reservation(need, len(best.engines))
	shares := make([]Share, 0, len(best.engines))
	for i, st := range best.engines {
		share := Share{Target: st.load.target.TargetKey, PrefillTime: best.work, Tokens: reserved, Decodes: reserved > 0 || i == 0}
		if reserved == 0 && i == 0 {
			share.Tokens = need.tokens()
		}
		if i > 0 || reserved > 0 {
			p.Parts = append(p.Parts, Part{Target: st.load.target, Tokens: reserved})
		}
		shares = append(shares, share)
	}
	return shares
}

// chooser evaluates the choices for one prompt.
type chooser struct {
	need      *Request
	engine    *catalog.Engine
	states    []*engineState
	weight    float64
	shortRate float64 // short prompts a second at each engine
	blocked   float64 // share of engines that a short prompt had better avoid
	unheard   float64 // short prompts that peers have placed and this host has not heard of
	random    *rand.Rand
}

func newChooser(need *Request, candidates []*load, s *shard, now time.Time) *chooser {
	c := &chooser{need: need, engine: need.Engine, weight: need.weight(), random: s.random}
	blocked := 0
	for _, l := range candidates {
		st := newEngineState(l, need.Engine, now)
		if st.backlog > unblocked {
			blocked++
		}
		c.states = append(c.states, st)
	}
	n := float64(len(c.states))
	c.shortRate = s.demand.short.perSecond(now) / n
	markReaders(c.states, c.engine.Slots, s.demand.reading.perSecond(now), s.demand.short.perSecond(now))
	c.blocked = blockedShare + float64(blocked)/n
	return c
}

// partCounts are the numbers of engines that come into question.
func (c *chooser) partCounts() []int {
	if c.solo() {
		return []int{1}
	}
	least := minParts(c.need)
	var out []int
	for _, n := range partCounts {
		if n >= least && n <= len(c.states) {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		out = []int{min(least, len(c.states))}
	}
	return out
}

// choose takes the cheapest engines for a number of parts.
func (c *chooser) choose(parts int) *choice {
	work := partWork(c.engine, c.need.PromptTokens, parts)
	ranked := make([]rankedEngine, len(c.states))
	reserved := reservation(c.need, parts)
	for i, st := range c.states {
		ranked[i] = c.rank(st, work)
		if reserved > 0 && st.tokens+reserved > c.engine.MemoryTokens {
			ranked[i].total += fullCost * c.weight
		}
		if parts > 1 && st.helping+helpMargin >= c.engine.Slots {
			ranked[i].total += fullCost * c.weight
		}
	}
	slices.SortFunc(ranked, func(a, b rankedEngine) int { return compareFloat(a.total, b.total) })
	if c.solo() {
		c.spread(ranked)
	}
	chosen := ranked[:parts]
	c.putWriterFirst(chosen, parts)
	ch := &choice{work: work}
	for _, r := range chosen {
		ch.engines = append(ch.engines, r.state)
		ch.wait = max(ch.wait, r.wait)
		ch.cost += r.harm
	}
	if !c.solo() {
		ch.wait += ch.engines[0].slotWait(c.engine)
		ch.cost += c.writeCost(ch.engines[0], parts)
	}
	ch.cost += c.lateness(ch.wait)
	return ch
}

// spread draws among the best engines, so that hosts that have not heard of
// each other's choices do not all take the same one.
func (c *chooser) spread(ranked []rankedEngine) {
	most := min(len(ranked), 1+int(spreadOver*c.unheard))
	bound := ranked[0].total + spreadCost*c.weight
	near := 1
	for near < most && ranked[near].total <= bound {
		near++
	}
	i := c.random.IntN(near)
	ranked[0], ranked[i] = ranked[i], ranked[0]
}

// rankedEngine is one engine's part in a choice.
type rankedEngine struct {
	state *engineState
	wait  time.Duration // until the part is read
	harm  float64       // to others, in weights
	total float64
}

func (c *chooser) rank(st *engineState, work time.Duration) rankedEngine {
	r := rankedEngine{state: st, wait: st.firstEvent(c.engine, work), harm: c.harm(st, work)}
	if c.solo() {
		r.wait += st.slotWait(c.engine)
		r.harm += c.writeCost(st, 1)
	} else if !st.reader {
		r.harm += readOnWriter * work.Seconds()
	}
	r.total = r.harm + c.lateness(r.wait)
	return r
}

// harm is what the reading does to the requests at an engine and to the short
// prompts that will come.
func (c *chooser) harm(st *engineState, work time.Duration) float64 {
	sum := 0.0
	before := st.pass + st.backlog
	for _, w := range st.writers {
		sum += w.weight * (late(before+work, w.aim) - late(before, w.aim))
	}
	for _, r := range st.readers {
		sum += r.weight * (late(before+work, r.aim) - late(before, r.aim))
	}
	extra := max(0, st.backlog+work-unblocked) - max(0, st.backlog-unblocked)
	return sum + extra.Seconds()*c.shortRate*c.blocked
}

// lateness is what a wait costs the new request itself.
func (c *chooser) lateness(wait time.Duration) float64 {
	total := c.need.Waited + wait
	cost := late(total, c.need.Objective) + waitCost*float64(total)/float64(max(c.need.Objective, time.Millisecond))
	if c.need.AbandonAfter > 0 {
		cost += late(total, c.need.AbandonAfter)
	}
	return c.weight * cost
}

// writeCost is the price of writing on an engine that lacks the memory, or
// that is kept for reading.
func (c *chooser) writeCost(st *engineState, parts int) float64 {
	cost := 0.0
	if st.reader {
		cost += writeOnReader * c.weight
	}
	wanted := reservation(c.need, parts)
	if wanted == 0 {
		wanted = c.need.tokens()
	}
	if st.tokens+wanted > c.engine.MemoryTokens {
		cost += fullCost * c.weight
	}
	return cost
}

// solo reports whether one engine reads the prompt alone in any case.
func (c *chooser) solo() bool {
	return minParts(c.need) == 1 && c.engine.PrefillTime(c.need.PromptTokens) <= soloRead
}

// putWriterFirst moves the engine that had best write to the front.
func (c *chooser) putWriterFirst(chosen []rankedEngine, parts int) {
	best, bestCost := 0, 0.0
	for i, r := range chosen {
		cost := c.writeCost(r.state, parts) + float64(r.state.tokens)/float64(c.engine.MemoryTokens) + float64(r.state.running)/float64(max(c.engine.Slots, 1))
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	chosen[0], chosen[best] = chosen[best], chosen[0]
}

// Bounds of the ramp from in time to late, in parts of the time aimed at: the
// prediction is not exact.
const (
	surelyInTime = 0.75
	surelyLate   = 1.15
)

// late is the probability that a predicted time misses an aim.
func late(predicted, aim time.Duration) float64 {
	if aim <= 0 {
		return 1
	}
	x := float64(predicted) / float64(aim)
	return min(1, max(0, (x-surelyInTime)/(surelyLate-surelyInTime)))
}

// NeedsReservations reports whether a prompt is too large for one engine.
func NeedsReservations(need *Request) bool {
	return need.Engine != nil && float64(need.tokens()) > memoryShare*float64(need.Engine.MemoryTokens)
}

// minParts is the smallest number of engines whose memory holds a prompt.
func minParts(need *Request) int {
	if !NeedsReservations(need) {
		return 1
	}
	each := reservedShare * float64(need.Engine.MemoryTokens)
	return int(float64(need.tokens())/each) + 1
}

// reservation is the memory to reserve on each of the engines, 0 if the
// prompt fits into one.
func reservation(need *Request, parts int) int {
	if !NeedsReservations(need) {
		return 0
	}
	return need.tokens()/parts + 1
}

// maxParts is the largest number of engines that can share a prompt: the first
// one and its helpers.
const maxParts = 16

// Feasible reports whether enough engines exist to hold a prompt.
func Feasible(need *Request, targets int) bool {
	return minParts(need) <= min(targets, maxParts)
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
