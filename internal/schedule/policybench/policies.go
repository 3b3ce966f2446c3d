package policybench

import (
	"math/rand/v2"
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/schedule"
)

// NamedPolicy is the constructor of a policy and its name in the result tables.
type NamedPolicy struct {
	Name string
	New  func(seed uint64) schedule.Policy
}

// Policies returns the policies to compare. The last one is the default policy
// of the scheduler.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"random", func(seed uint64) schedule.Policy {
			return &randomPolicy{rng: rand.New(rand.NewPCG(seed, 1))}
		}},
		{"least requests", newLeastKeyPolicy(func(c *schedule.Candidate) float64 { return float64(c.ActiveRequests) })},
		{"least work", newLeastKeyPolicy(func(c *schedule.Candidate) float64 { return c.Backlog.Seconds() })},
		{"fixed split", func(uint64) schedule.Policy { return &fixedSplitPolicy{} }},
		{"elastic split", func(uint64) schedule.Policy { return &elasticSplitPolicy{} }},
		{"slack priority", func(uint64) schedule.Policy { return &slackPolicy{} }},
		{"local shares", func(uint64) schedule.Policy { return newLocalSharesPolicy() }},
		{"final", func(uint64) schedule.Policy { return schedule.NewSlackPolicy() }},
	}
}

// arrivalOrder assigns the same priority to all requests, so that engines run
// them first come, first served. It allows every candidate.
type arrivalOrder struct{}

func (arrivalOrder) Priority(time.Time, *schedule.Request, schedule.Shape) int64 { return 0 }

func (arrivalOrder) Eligible(schedule.Shape, *schedule.Candidate) bool { return true }

// randomPolicy picks a candidate uniformly at random.
type randomPolicy struct {
	arrivalOrder
	rng *rand.Rand
}

func (p *randomPolicy) Choose(_ time.Time, _ *schedule.Request, _ schedule.Shape, cs []schedule.Candidate) int {
	return p.rng.IntN(len(cs))
}

// leastKeyPolicy picks the candidate with the smallest key, such as the number
// of active requests.
type leastKeyPolicy struct {
	arrivalOrder
	key func(*schedule.Candidate) float64
}

func newLeastKeyPolicy(key func(*schedule.Candidate) float64) func(uint64) schedule.Policy {
	return func(uint64) schedule.Policy { return &leastKeyPolicy{key: key} }
}

func (p *leastKeyPolicy) Choose(_ time.Time, _ *schedule.Request, _ schedule.Shape, cs []schedule.Candidate) int {
	return argMin(cs, p.key, anyCandidate)
}

func anyCandidate(*schedule.Candidate) bool { return true }

// argMin returns the index of the allowed candidate with the smallest key, or -1
// if none is allowed. The first one wins a tie.
func argMin(cs []schedule.Candidate, key func(*schedule.Candidate) float64, allowed func(*schedule.Candidate) bool) int {
	best := -1
	for i := range cs {
		if allowed(&cs[i]) && (best < 0 || key(&cs[i]) < key(&cs[best])) {
			best = i
		}
	}
	return best
}

func backlogSeconds(c *schedule.Candidate) float64 { return c.Backlog.Seconds() }

// fixedSplitPolicy partitions the engines statically between the classes of
// prompt length, in proportion to the work of each class.
type fixedSplitPolicy struct{ arrivalOrder }

const (
	shortEngineFraction  = 0.15 // of the engines, for short prompts
	mediumEngineFraction = 0.45 // of the engines, for medium prompts; long prompts use the rest
)

func (*fixedSplitPolicy) Eligible(shape schedule.Shape, c *schedule.Candidate) bool {
	if c.Grouped {
		return true
	}
	position := float64(c.Position) / float64(c.RouteSize)
	switch shape.Class {
	case rules.ClassShort:
		return position < shortEngineFraction
	case rules.ClassMedium:
		return position >= shortEngineFraction && position < shortEngineFraction+mediumEngineFraction
	default:
		return position >= shortEngineFraction+mediumEngineFraction
	}
}

func (p *fixedSplitPolicy) Choose(_ time.Time, _ *schedule.Request, shape schedule.Shape, cs []schedule.Candidate) int {
	return argMin(cs, backlogSeconds, func(c *schedule.Candidate) bool { return p.Eligible(shape, c) })
}

// elasticSplitPolicy excludes long prompts from a fixed fraction of the engines
// and allows all other prompts on every engine.
type elasticSplitPolicy struct{ arrivalOrder }

func (*elasticSplitPolicy) Eligible(shape schedule.Shape, c *schedule.Candidate) bool {
	return c.Grouped || shape.Class != rules.ClassLong || float64(c.Position)/float64(c.RouteSize) >= shortEngineFraction
}

func (p *elasticSplitPolicy) Choose(_ time.Time, _ *schedule.Request, shape schedule.Shape, cs []schedule.Candidate) int {
	return argMin(cs, backlogSeconds, func(c *schedule.Candidate) bool { return p.Eligible(shape, c) })
}

// slackPolicy orders requests by the latest time at which they can start and
// still meet their deadline, and picks the candidate with the lowest predicted
// time to first token.
type slackPolicy struct{ arrivalOrder }

func (*slackPolicy) Priority(_ time.Time, req *schedule.Request, shape schedule.Shape) int64 {
	return req.Deadline.Add(-shape.PrefillTime - shape.DecodeTime).UnixMilli()
}

func (*slackPolicy) Choose(_ time.Time, _ *schedule.Request, _ schedule.Shape, cs []schedule.Candidate) int {
	return argMin(cs, func(c *schedule.Candidate) float64 { return c.PredictedTTFT.Seconds() }, anyCandidate)
}

// localSharesPolicy divides the rate of each engine equally between the active
// organisations, after Huo et al., "Dynamic throughput allocation among multiple
// servers for heterogeneous storage system", IEICE Transactions, 2019. An
// organisation is active for activeFor after each of its requests. It accumulates
// an unused share as credit, up to maxCreditSeconds.
type localSharesPolicy struct {
	arrivalOrder
	lastRequest map[string]time.Time
	credits     map[[2]string]*credit // by engine and organisation
}

// credit is the engine time that an organisation may still use on one engine. It
// turns negative when a request takes longer than the credit that was left.
type credit struct {
	seconds float64   // of the engine's time
	at      time.Time // of the last refill
}

const (
	activeFor        = 10 * time.Second
	maxCreditSeconds = 2. // of the engine's time
)

func newLocalSharesPolicy() *localSharesPolicy {
	return &localSharesPolicy{lastRequest: map[string]time.Time{}, credits: map[[2]string]*credit{}}
}

func (p *localSharesPolicy) Choose(now time.Time, req *schedule.Request, shape schedule.Shape, cs []schedule.Candidate) int {
	org := req.Partner + "/" + req.Organisation
	p.lastRequest[org] = now
	share := 1 / float64(p.countActive(now))
	best := argMin(cs, backlogSeconds, func(c *schedule.Candidate) bool { return p.refill(now, c.Target, org, share).seconds > 0 })
	if best >= 0 {
		p.credits[[2]string{cs[best].Target, org}].seconds -= shape.PrefillTime.Seconds()
	}
	return best
}

// countActive drops inactive organisations and returns the number of the others.
func (p *localSharesPolicy) countActive(now time.Time) int {
	for org, at := range p.lastRequest {
		if now.Sub(at) > activeFor {
			delete(p.lastRequest, org)
		}
	}
	return len(p.lastRequest)
}

// refill adds the share of the time since the last refill to the credit and
// returns it. A new credit starts at its maximum.
func (p *localSharesPolicy) refill(now time.Time, target, org string, share float64) *credit {
	key := [2]string{target, org}
	c, ok := p.credits[key]
	if !ok {
		c = &credit{seconds: maxCreditSeconds, at: now}
		p.credits[key] = c
	}
	c.seconds = min(maxCreditSeconds, c.seconds+now.Sub(c.at).Seconds()*share)
	c.at = now
	return c
}
