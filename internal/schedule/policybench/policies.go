package policybench

import (
	"math/rand/v2"
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/schedule"
)

// Named is a policy with its name in the tables.
type Named struct {
	Name string
	New  func(seed uint64) schedule.Policy
}

// Policies lists the policies that are compared; the last one is the default.
func Policies() []Named {
	return []Named{
		{"random", func(seed uint64) schedule.Policy {
			return &random{rng: rand.New(rand.NewPCG(seed, 1))}
		}},
		{"least requests", least(func(c *schedule.Candidate) float64 { return float64(c.ActiveRequests) })},
		{"least work", least(func(c *schedule.Candidate) float64 { return c.Backlog.Seconds() })},
		{"fixed split", func(uint64) schedule.Policy { return &fixedSplit{} }},
		{"elastic split", func(uint64) schedule.Policy { return &elasticSplit{} }},
		{"slack priority", func(uint64) schedule.Policy { return &slack{} }},
		{"local shares", func(uint64) schedule.Policy { return newLocalShares() }},
		{"final", func(uint64) schedule.Policy { return schedule.NewSlackPolicy() }},
	}
}

// arrivalOrder gives all requests the same priority, so that engines run
// them in order of arrival.
type arrivalOrder struct{}

func (arrivalOrder) Priority(time.Time, *schedule.Request, schedule.Shape) int64 { return 0 }

func (arrivalOrder) Eligible(schedule.Shape, *schedule.Candidate) bool { return true }

type random struct {
	arrivalOrder
	rng *rand.Rand
}

func (p *random) Choose(_ time.Time, _ *schedule.Request, _ schedule.Shape, cs []schedule.Candidate) int {
	return p.rng.IntN(len(cs))
}

// leastOf picks the candidate with the smallest key.
type leastOf struct {
	arrivalOrder
	key func(*schedule.Candidate) float64
}

func least(key func(*schedule.Candidate) float64) func(uint64) schedule.Policy {
	return func(uint64) schedule.Policy { return &leastOf{key: key} }
}

func (p *leastOf) Choose(_ time.Time, _ *schedule.Request, _ schedule.Shape, cs []schedule.Candidate) int {
	return smallest(cs, p.key, everyOne)
}

func everyOne(*schedule.Candidate) bool { return true }

func smallest(cs []schedule.Candidate, key func(*schedule.Candidate) float64, allowed func(*schedule.Candidate) bool) int {
	best := -1
	for i := range cs {
		if allowed(&cs[i]) && (best < 0 || key(&cs[i]) < key(&cs[best])) {
			best = i
		}
	}
	return best
}

func backlogOf(c *schedule.Candidate) float64 { return c.Backlog.Seconds() }

// fixedSplit gives each class its own engines, in proportion to its work.
type fixedSplit struct{ arrivalOrder }

const (
	splitShort  = 0.15 // of the engines
	splitMedium = 0.45
)

func (*fixedSplit) Eligible(shape schedule.Shape, c *schedule.Candidate) bool {
	if c.Grouped {
		return true
	}
	at := float64(c.Position) / float64(c.RouteSize)
	switch shape.Class {
	case rules.ClassShort:
		return at < splitShort
	case rules.ClassMedium:
		return at >= splitShort && at < splitShort+splitMedium
	default:
		return at >= splitShort+splitMedium
	}
}

func (p *fixedSplit) Choose(_ time.Time, _ *schedule.Request, shape schedule.Shape, cs []schedule.Candidate) int {
	return smallest(cs, backlogOf, func(c *schedule.Candidate) bool { return p.Eligible(shape, c) })
}

// elasticSplit keeps long prompts out of some engines and lets all others go anywhere.
type elasticSplit struct{ arrivalOrder }

func (*elasticSplit) Eligible(shape schedule.Shape, c *schedule.Candidate) bool {
	return c.Grouped || shape.Class != rules.ClassLong || float64(c.Position)/float64(c.RouteSize) >= splitShort
}

func (p *elasticSplit) Choose(_ time.Time, _ *schedule.Request, shape schedule.Shape, cs []schedule.Candidate) int {
	return smallest(cs, backlogOf, func(c *schedule.Candidate) bool { return p.Eligible(shape, c) })
}

// slack runs the request with the earliest latest start first.
type slack struct{ arrivalOrder }

func (*slack) Priority(_ time.Time, req *schedule.Request, shape schedule.Shape) int64 {
	return req.Deadline.Add(-shape.PrefillTime - shape.DecodeTime).UnixMilli()
}

func (*slack) Choose(_ time.Time, _ *schedule.Request, _ schedule.Shape, cs []schedule.Candidate) int {
	return smallest(cs, func(c *schedule.Candidate) float64 { return c.PredictedTTFT.Seconds() }, everyOne)
}

// localShares gives each organisation that is present its own share of each
// engine's rate, after Huo et al., "Dynamic throughput allocation among multiple
// servers for heterogeneous storage system", IEICE Transactions, 2019. An
// organisation is present for a while after each of its requests. A share that was not
// used is kept for at most shareBurst.
type localShares struct {
	arrivalOrder
	present map[string]time.Time
	credit  map[[2]string]*credit // by engine and organisation
}

type credit struct {
	seconds float64 // of the engine's time
	at      time.Time
}

const (
	presentFor = 10 * time.Second
	shareBurst = 2. // seconds of the engine's time
)

func newLocalShares() *localShares {
	return &localShares{present: map[string]time.Time{}, credit: map[[2]string]*credit{}}
}

func (p *localShares) Choose(now time.Time, req *schedule.Request, shape schedule.Shape, cs []schedule.Candidate) int {
	org := req.Partner + "/" + req.Organisation
	p.present[org] = now
	share := 1 / float64(p.countPresent(now))
	best := smallest(cs, backlogOf, func(c *schedule.Candidate) bool { return p.refill(now, c.Target, org, share).seconds > 0 })
	if best >= 0 {
		p.credit[[2]string{cs[best].Target, org}].seconds -= shape.PrefillTime.Seconds()
	}
	return best
}

func (p *localShares) countPresent(now time.Time) int {
	for org, at := range p.present {
		if now.Sub(at) > presentFor {
			delete(p.present, org)
		}
	}
	return len(p.present)
}

func (p *localShares) refill(now time.Time, target, org string, share float64) *credit {
	key := [2]string{target, org}
	c, ok := p.credit[key]
	if !ok {
		c = &credit{seconds: shareBurst, at: now}
		p.credit[key] = c
	}
	c.seconds = min(shareBurst, c.seconds+now.Sub(c.at).Seconds()*share)
	c.at = now
	return c
}
