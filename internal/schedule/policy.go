package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// Shape is what the scheduler worked out about a request.
type Shape struct {
	Class     rules.Class
	Objective rules.Objective
	// PrefillTime is how long the prompt takes on an idle engine, Decode how long the answer
	// is expected to take.
	PrefillTime time.Duration
	DecodeTime  time.Duration
}

// Candidate is one target, or one group of targets, that could take a request now.
type Candidate struct {
	// Target is the target's id; of a group, its first member's.
	Target string
	// PredictedTTFT is the predicted time until the first token, Ahead the part of
	// it that is work of the same or a higher priority, Queued the work of the same or a
	// shorter class, and Backlog all work that is queued there.
	PredictedTTFT time.Duration
	Ahead         time.Duration
	Queued        time.Duration
	Backlog       time.Duration
	// ActiveRequests counts requests that run or wait at the target, LongPrefills the long prompts
	// among them without a first token.
	ActiveRequests int
	LongPrefills   int
	// Free is the memory that this host may promise, in tokens.
	Free int
	// Position is the target's place among the Count targets of the request's
	// route. All hosts see the same order.
	Position  int
	RouteSize int
	// Grouped tells that the prompt would be held in parts.
	Grouped bool
}

// Policy decides the order of requests at engines and picks targets. Each model
// has its own instance, whose methods are called under the model's lock and must
// not block; Priority alone may be called at the same time as others.
type Policy interface {
	// Priority is the request's rank in its organisation's queue when it is offered, and
	// its priority at the engine when it starts; lower runs first. Values of all hosts must
	// be comparable.
	Priority(now time.Time, req *Request, shape Shape) int64
	// Eligible reports whether requests of the shape may use the candidate's target at
	// all, now or later.
	Eligible(shape Shape, c *Candidate) bool
	// Choose returns the index of the candidate on which the request should start
	// now, or -1 to keep it queued. All candidates have the memory.
	Choose(now time.Time, req *Request, shape Shape, candidates []Candidate) int
}

// Parameters of SlackPolicy.
const (
	shortWindow    = 1000 * time.Millisecond // work at a target before requests wait at the host
	otherWindow    = 500 * time.Millisecond
	leastWait      = 150 * time.Millisecond
	firstTokenGoal = 420 * time.Millisecond
	longPerTarget  = 1
	leastClosed    = 0.1 // part of the targets
	mostClosed     = 0.5
	closedPerShort = 1.5 // closed part over the short prompts' part of the work
	workGain       = 0.005
	slackPart      = 0.9
	urgentPart     = 0.8
)

// SlackPolicy gives each request a due time for its first token, from its size,
// its time limit and its partner's objective, and lets the earliest due run
// first. A request ages by itself, since later requests have later due times. Long
// prompts do not enter a part of the targets that grows with the short prompts'
// part of the work.
type SlackPolicy struct {
	// LongPerTarget bounds long prompts in prefill at one target.
	LongPerTarget int
	// LeastClosed and MostClosed bound the part of the targets that is closed to
	// long prompts, 0 to 1.
	LeastClosed, MostClosed float64

	shortPart float64 // of the work, moving average
}

// NewSlackPolicy returns the default policy.
func NewSlackPolicy() *SlackPolicy {
	return &SlackPolicy{LongPerTarget: longPerTarget, LeastClosed: leastClosed, MostClosed: mostClosed}
}

// Priority is the Unix time in milliseconds at which the first token is due. For
// short prompts it counts from now: at the engine, a backlog of old ones must not pass
// those of other organisations.
func (p *SlackPolicy) Priority(now time.Time, req *Request, shape Shape) int64 {
	from := req.Arrival
	if shape.Class == rules.ClassShort {
		from = now
	}
	slack := req.Deadline.Sub(from) - shape.PrefillTime - shape.DecodeTime
	return from.Add(dueAfter(shape, max(slack, 0))).UnixMilli()
}

// dueAfter is how long after its arrival a request's first token is due: soon
// for short prompts, and for others a part of their slack, so that they pass
// newer short ones before it runs out.
func dueAfter(shape Shape, slack time.Duration) time.Duration {
	if shape.Class == rules.ClassShort {
		return min(firstTokenGoal, max(leastWait, stretched(shape.PrefillTime, 4)), slack)
	}
	part := slackPart
	if shape.Objective == rules.ObjectiveFirstToken {
		part = urgentPart
	}
	return stretched(slack, part)
}

func stretched(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Choose picks the earliest predicted first token among the targets with little
// work of the same or a shorter class. What is due first does not matter there:
// else a backlog that grew old would keep others out, whatever the queue's order.
func (p *SlackPolicy) Choose(_ time.Time, _ *Request, shape Shape, candidates []Candidate) int {
	window := otherWindow
	if shape.Class == rules.ClassShort {
		window = shortWindow
	}
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Queued > window || !p.Eligible(shape, c) {
			continue
		}
		if shape.Class == rules.ClassLong && c.LongPrefills >= p.LongPerTarget {
			continue
		}
		if best < 0 || sooner(c, &candidates[best]) {
			best = i
		}
	}
	if best >= 0 {
		p.observe(shape)
	}
	return best
}

// Eligible keeps long prompts out of the first targets of a route.
func (p *SlackPolicy) Eligible(shape Shape, c *Candidate) bool {
	if shape.Class != rules.ClassLong || c.Grouped {
		return true
	}
	part := min(max(closedPerShort*p.shortPart, p.LeastClosed), p.MostClosed)
	closed := int(part*float64(c.RouteSize) + 0.5)
	return c.Position >= min(closed, c.RouteSize-1)
}

// observe learns the short prompts' part of the work from a request that starts.
func (p *SlackPolicy) observe(shape Shape) {
	gain := min(1, workGain*shape.PrefillTime.Seconds())
	part := 0.
	if shape.Class == rules.ClassShort {
		part = 1
	}
	p.shortPart += gain * (part - p.shortPart)
}

// sooner prefers the earlier first token, then the smaller backlog, then the
// larger free memory.
func sooner(a, b *Candidate) bool {
	const same = 2 * time.Millisecond
	if d := a.PredictedTTFT - b.PredictedTTFT; d < -same || d > same {
		return d < 0
	}
	if d := a.Backlog - b.Backlog; d < -same || d > same {
		return d < 0
	}
	return a.Free > b.Free
}
