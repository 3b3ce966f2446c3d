package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// maxSoloPrefill is the prefill time up to which a prompt is not split over
	// several engines.
	maxSoloPrefill = 120 * time.Millisecond
	// promptMemoryFraction is the largest fraction of an engine's memory that one
	// request may fill without reservations on several engines.
	promptMemoryFraction = 0.85
	// reservationMemoryFraction is the largest fraction of an engine's memory that
	// one reservation may take.
	reservationMemoryFraction = 0.5
	// overcommitCost is added where the request would exceed an engine's memory or
	// come close to its limit of helper parts, in units of the request's weight.
	overcommitCost = 1.0
	// helperSlotMargin is the number of an engine's slots that are not filled with
	// helper parts of other engines' prompts.
	helperSlotMargin = 3
	// blockingBacklog is the longest prefill backlog that a short prompt can be
	// queued behind; an engine with more is blocked for short prompts.
	blockingBacklog = 150 * time.Millisecond
	// waitTieBreakCost breaks ties between choices that all meet the objective. It
	// is the cost of a wait as long as the objective, in units of the request's
	// weight.
	waitTieBreakCost = 0.05
	// minBlockedFraction is the fraction of short prompts that are expected to meet
	// a blocked engine even when few engines are blocked.
	minBlockedFraction = 0.1
	// lateElsewhereCost is the cost of a late short prompt at an engine that is not set
	// apart for late ones and has fewer than lateSlotMargin free slots, in units of the
	// request's weight. A late prompt there would take the slot of one that can be in
	// time.
	lateElsewhereCost = 10
	lateSlotMargin    = 3
	// spreadEnginesPerPrompt is how many engines a host adds to its random choice
	// for each prompt that peers are expected to have placed without its knowledge.
	spreadEnginesPerPrompt = 4
	// maxSpreadCost is how much more than the best engine an engine in the random
	// choice may cost, in units of the request's weight.
	maxSpreadCost = 0.1
)

// consideredPartCounts are the numbers of engines that a prompt may be split over.
var consideredPartCounts = []int{1, 2, 3, 4, 6, 8, 10, 12, 14, 16}

// choosePlain chooses the target with the fewest requests per slot, taking recent
// failures into account.
func (p *Placement) choosePlain(candidates []*targetLoad, random *rand.Rand, now time.Time) []Share {
	start := random.IntN(len(candidates))
	var best *targetLoad
	var bestWait time.Duration
	for i := range candidates {
		l := candidates[(start+i)%len(candidates)]
		wait := l.penalty(now) + fullPlainTargetWait*time.Duration(len(l.jobs))/time.Duration(max(l.target.Slots, 1))
		if best == nil || wait < bestWait {
			best, bestWait = l, wait
		}
	}
	p.Primary, p.PredictedWait = best.target, bestWait
	return []Share{{Target: best.target.TargetKey, Decodes: true}}
}

// fullPlainTargetWait is the expected wait at a plain target with all slots in use.
const fullPlainTargetWait = 100 * time.Millisecond

// choice is one option for placing a prompt.
type choice struct {
	engines     []*engineSnapshot // the first one decodes
	prefillTime time.Duration     // of each engine's part
	wait        time.Duration     // predicted, until the first event
	penalty     time.Duration     // extra wait that recent failures of the engines count for
	// interference is the cost to other requests, penalties included, and cost adds that of
	// the wait; both in units of weight.
	interference, cost float64
}

// choosePrompt chooses the engines for a prompt: it compares the best choice for
// each feasible number of parts and takes the one with the lowest cost. The helpers only
// prefill. The error is a *BacklogError.
func (p *Placement) choosePrompt(req *Request, candidates, helpers []*targetLoad, s *shard, now time.Time) ([]Share, error) {
	c := newChooser(req, candidates, helpers, s, p.placer.policy, now)
	c.unseenPrompts = c.sampledFraction * s.demand.shortPrompts.perSecond(now) * p.placer.PropagationDelay().Seconds()
	best, err := c.admit(c.best(c.engines))
	if err != nil {
		return nil, err
	}
	p.Primary, p.PredictedWait = best.engines[0].load.target, best.wait
	p.Late = c.policy.LateLast && c.late(best.wait)
	reserved := reservation(req, len(best.engines))
	shares := make([]Share, 0, len(best.engines))
	for i, snap := range best.engines {
		share := Share{Target: snap.load.target.TargetKey, PrefillTime: best.prefillTime, Tokens: reserved, Decodes: reserved > 0 || i == 0}
		if reserved == 0 && i == 0 {
			share.Tokens = req.tokens()
		}
		if i > 0 || reserved > 0 {
			p.Parts = append(p.Parts, Part{Target: snap.load.target, Tokens: reserved})
		}
		shares = append(shares, share)
	}
	return shares, nil
}

// chooser evaluates the choices for one prompt.
type chooser struct {
	req                *Request
	engine             *catalog.Engine
	engines            []*engineSnapshot // a sample of the eligible ones
	sampledFraction    float64           // of the eligible engines, by which demand for all of them is scaled
	weight             float64
	shortRatePerEngine float64 // short prompts per second and engine
	blockedFraction    float64 // expected fraction of short prompts that meet a blocked engine
	unseenPrompts      float64 // expected short prompts that peers have placed and this host has not learned of yet
	policy             Policy
	random             *rand.Rand
	refused            *refusedPrompts
	now                time.Time
}

// newChooser returns the chooser for a prompt among a sample of the eligible engines.
func newChooser(req *Request, candidates, helpers []*targetLoad, s *shard, policy Policy, now time.Time) *chooser {
	c := &chooser{req: req, engine: req.Engine, weight: req.weight(), policy: policy, random: s.random, refused: &s.refused, now: now}
	eligible := len(candidates) + len(helpers)
	candidates, helpers = s.sampleCandidates(candidates), s.sampleCandidates(helpers)
	blocked := 0
	for i, l := range slices.Concat(candidates, helpers) {
		snap := newEngineSnapshot(l, req.Engine, policy, now)
		snap.onlyHelps = i >= len(candidates)
		if snap.backlog > blockingBacklog {
			blocked++
		}
		c.engines = append(c.engines, snap)
	}
	n := float64(len(c.engines))
	c.sampledFraction = n / float64(eligible)
	shortRate := c.sampledFraction * s.demand.shortPrompts.perSecond(now)
	c.shortRatePerEngine = shortRate / n
	if policy.PrefillPool {
		assignRoles(c.engines, c.engine.Slots, c.sampledFraction*s.demand.longPrefill.perSecond(now), shortRate)
	}
	c.blockedFraction = minBlockedFraction + float64(blocked)/n
	return c
}

// best returns the choice with the lowest cost among engines, or nil if they are too few.
func (c *chooser) best(engines []*engineSnapshot) *choice {
	var best *choice
	for _, parts := range c.feasiblePartCounts(len(engines)) {
		if ch := c.choose(parts, engines); best == nil || ch.cost < best.cost {
			best = ch
		}
	}
	return best
}

// feasiblePartCounts returns the numbers of parts to evaluate: those with enough
// memory for the prompt and no more than the available engines.
func (c *chooser) feasiblePartCounts(available int) []int {
	if c.singleEngine() {
		return []int{1}
	}
	minCount := minParts(c.req)
	if !c.policy.SplitPrefill {
		return []int{min(minCount, available)}
	}
	var out []int
	for _, n := range consideredPartCounts {
		if n >= minCount && n <= available {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		out = []int{min(minCount, available)}
	}
	return out
}

// choose returns the choice of the cheapest of the engines for a number of parts.
func (c *chooser) choose(parts int, engines []*engineSnapshot) *choice {
	prefillTime := partPrefillTime(c.engine, c.req.PromptTokens, parts)
	ranked := make([]engineCost, 0, len(engines))
	reserved := reservation(c.req, parts)
	for _, snap := range engines {
		if snap.onlyHelps && parts == 1 {
			continue
		}
		cost := c.evaluate(snap, prefillTime)
		if reserved > 0 && (snap.noMemory || snap.tokens+reserved > c.engine.MemoryTokens) {
			cost.total += overcommitCost * c.weight
		}
		if parts > 1 && snap.helperParts+helperSlotMargin >= c.engine.Slots {
			cost.total += overcommitCost * c.weight
		}
		ranked = append(ranked, cost)
	}
	slices.SortFunc(ranked, func(a, b engineCost) int { return compareFloat(a.total, b.total) })
	if c.singleEngine() && c.policy.RandomChoice {
		c.spread(ranked)
	}
	ensureDecodeEngine(ranked, parts)
	chosen := ranked[:parts]
	c.putDecodeEngineFirst(chosen, parts)
	ch := &choice{prefillTime: prefillTime}
	for _, r := range chosen {
		ch.engines = append(ch.engines, r.snap)
		ch.wait = max(ch.wait, r.wait)
		ch.penalty = max(ch.penalty, r.snap.penalty)
		ch.interference += r.interference
	}
	if !c.singleEngine() {
		ch.wait += c.slotWait(ch.engines[0], ch.wait)
		ch.interference += c.decodeCost(ch.engines[0], parts)
	}
	ch.cost = ch.interference + c.latenessCost(ch.wait+ch.penalty)
	return ch
}

// spread picks at random among the best engines, so that hosts that do not yet
// know of each other's choices do not all pick the same one (herding).
func (c *chooser) spread(ranked []engineCost) {
	maxEngines := min(len(ranked), 1+int(spreadEnginesPerPrompt*c.unseenPrompts))
	maxCost := ranked[0].total + maxSpreadCost*c.weight
	eligible := 1
	for eligible < maxEngines && ranked[eligible].total <= maxCost {
		eligible++
	}
	i := c.random.IntN(eligible)
	ranked[0], ranked[i] = ranked[i], ranked[0]
}

// engineCost is the cost of placing one part at an engine.
type engineCost struct {
	snap         *engineSnapshot
	wait         time.Duration // until the part is prefilled
	interference float64       // cost to other requests, in units of weight
	total        float64
}

func (c *chooser) evaluate(snap *engineSnapshot, prefillTime time.Duration) engineCost {
	r := engineCost{snap: snap, wait: snap.timeToFirstEvent(c.engine, prefillTime), interference: c.interferenceCost(snap, prefillTime)}
	if c.singleEngine() {
		r.wait += c.slotWait(snap, r.wait)
		if c.late(r.wait) && !snap.takesLate && snap.freeSlots(c.engine) < lateSlotMargin {
			r.interference += lateElsewhereCost * c.weight
		}
		r.interference += c.decodeCost(snap, 1)
	} else if !snap.inPrefillPool {
		r.interference += prefillOutsidePoolCost * prefillTime.Seconds()
	}
	r.total = r.interference + c.latenessCost(r.wait+snap.penalty)
	return r
}

// slotWait is the wait for a decoding slot in addition to a wait for the prefill. A
// request that will be late even so is admitted after all that are not.
func (c *chooser) slotWait(snap *engineSnapshot, wait time.Duration) time.Duration {
	timely := snap.slotWait(c.engine, false)
	if !c.policy.LateLast || !c.late(wait+timely) {
		return timely
	}
	return snap.slotWait(c.engine, true)
}

// late reports whether the request misses its objective with the given wait.
func (c *chooser) late(wait time.Duration) bool { return c.req.Waited+wait > c.req.Objective }

// interferenceCost is the cost of the prefill to the requests at an engine and to
// short prompts that arrive during it.
func (c *chooser) interferenceCost(snap *engineSnapshot, prefillTime time.Duration) float64 {
	if !c.policy.Interference {
		return 0
	}
	sum := 0.0
	before := snap.passTime + snap.backlog
	for _, b := range snap.decoding {
		sum += b.costOfDelay(before, before+prefillTime)
	}
	for _, b := range snap.prefilling {
		sum += b.costOfDelay(before, before+prefillTime)
	}
	for _, q := range snap.queued {
		sum += q.budget.costOfDelay(snap.passTime+q.behind, snap.passTime+q.behind+prefillTime)
	}
	extra := max(0, snap.backlog+prefillTime-blockingBacklog) - max(0, snap.backlog-blockingBacklog)
	return sum + extra.Seconds()*c.shortRatePerEngine*c.blockedFraction
}

// latenessCost is the cost of a wait to the new request itself.
func (c *chooser) latenessCost(wait time.Duration) float64 {
	total := c.req.Waited + wait
	cost := lateProbability(total, c.req.Objective) + waitTieBreakCost*float64(total)/float64(max(c.req.Objective, time.Millisecond))
	if c.req.AbandonAfter > 0 {
		cost += lateProbability(total, c.req.AbandonAfter)
	}
	return c.weight * cost
}

// decodeCost is the cost of decoding on an engine that lacks the memory for it or
// belongs to the prefill pool.
func (c *chooser) decodeCost(snap *engineSnapshot, parts int) float64 {
	cost := 0.0
	if snap.inPrefillPool {
		cost += decodeInPoolCost * c.weight
	}
	tokens := reservation(c.req, parts)
	if tokens == 0 {
		tokens = c.req.tokens()
	}
	if snap.tokens+tokens > c.engine.MemoryTokens {
		cost += overcommitCost * c.weight
	}
	return cost
}

// singleEngine reports whether the prompt is small enough that it is never split.
func (c *chooser) singleEngine() bool {
	return minParts(c.req) == 1 && c.engine.PrefillTime(c.req.PromptTokens) <= maxSoloPrefill
}

// ensureDecodeEngine replaces the last of the chosen engines, the first ones, by the
// cheapest that can decode if none of them can.
func ensureDecodeEngine(ranked []engineCost, chosen int) {
	first := slices.IndexFunc(ranked, func(r engineCost) bool { return !r.snap.onlyHelps })
	if first >= chosen {
		ranked[chosen-1], ranked[first] = ranked[first], ranked[chosen-1]
	}
}

// putDecodeEngineFirst moves the engine that is cheapest to decode on to the front.
func (c *chooser) putDecodeEngineFirst(chosen []engineCost, parts int) {
	best, bestCost := -1, 0.0
	for i, r := range chosen {
		if r.snap.onlyHelps {
			continue
		}
		cost := c.decodeCost(r.snap, parts) + float64(r.snap.tokens)/float64(c.engine.MemoryTokens) + float64(r.snap.running)/float64(max(c.engine.Slots, 1))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	chosen[0], chosen[best] = chosen[best], chosen[0]
}

// Since predictions are not exact, the probability of being late rises linearly
// between these two ratios of the predicted time to the budget.
const (
	onTimeRatio = 0.75
	lateRatio   = 1.15
)

// lateProbability is the probability that a predicted time exceeds its budget.
func lateProbability(predicted, budget time.Duration) float64 {
	if budget <= 0 {
		return 1
	}
	x := float64(predicted) / float64(budget)
	return min(1, max(0, (x-onTimeRatio)/(lateRatio-onTimeRatio)))
}

// NeedsReservations reports whether a prompt is too large for one engine, so that
// memory has to be reserved on several.
func NeedsReservations(req *Request) bool {
	return req.Engine != nil && float64(req.tokens()) > promptMemoryFraction*float64(req.Engine.MemoryTokens)
}

// minParts is the smallest number of engines whose memory can hold a request.
func minParts(req *Request) int {
	if !NeedsReservations(req) {
		return 1
	}
	perEngine := reservationMemoryFraction * float64(req.Engine.MemoryTokens)
	return int(float64(req.tokens())/perEngine) + 1
}

// reservation is the memory to reserve on each engine in tokens, 0 if the request
// fits on one.
func reservation(req *Request, parts int) int {
	if !NeedsReservations(req) {
		return 0
	}
	return req.tokens()/parts + 1
}

// maxParts is the largest number of engines that can share a prompt: the primary
// and its helpers.
const maxParts = 16

// Feasible reports whether the given number of targets suffices to hold a request.
func Feasible(req *Request, targets int) bool {
	return minParts(req) <= min(targets, maxParts)
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
