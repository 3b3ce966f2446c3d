package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// Shape holds the class, objective and estimated service times of a request.
type Shape struct {
	Class     rules.Class
	Objective rules.Objective
	// PrefillTime is the prompt's prefill time on an idle engine. DecodeTime is the
	// expected time to generate the output.
	PrefillTime time.Duration
	DecodeTime  time.Duration
}

// Candidate is a target, or a group of targets, that could run a request now.
type Candidate struct {
	// Target is the target's id or, for a group, the id of the target to call.
	Target string
	// PredictedTTFT is the predicted time to first token. PriorityBacklog is the
	// queued work at the target of the same or a higher priority, ClassBacklog that
	// of the same or a shorter class, and Backlog all of it.
	PredictedTTFT   time.Duration
	PriorityBacklog time.Duration
	ClassBacklog    time.Duration
	Backlog         time.Duration
	// ActiveRequests counts the requests that run or wait at the target.
	// LongPrefills counts the long prompts among them without a first token.
	ActiveRequests int
	LongPrefills   int
	// FreeTokens is the memory that this host may reserve, in tokens.
	FreeTokens int
	// Position is the index of the target or group among the RouteSize targets or
	// groups of the request's route. All hosts see the same order of targets.
	Position  int
	RouteSize int
	// Grouped is set if the prompt would be split across a group of targets.
	Grouped bool
}

// Policy orders requests and picks their targets. Each model has its own
// instance. Its methods are called under the model's lock and must not block;
// only Priority may be called concurrently with the others.
type Policy interface {
	// Priority returns the request's rank in its organisation's queue when it is
	// offered, and its priority at the engine when it starts; lower runs first.
	// The values of all hosts must be comparable.
	Priority(now time.Time, req *Request, shape Shape) int64
	// Eligible reports whether requests of the shape may use the candidate at all,
	// now or later.
	Eligible(shape Shape, c *Candidate) bool
	// Choose returns the index of the candidate on which the request should start
	// now, or -1 to keep it queued. All candidates have enough free memory.
	Choose(now time.Time, req *Request, shape Shape, candidates []Candidate) int
}

// Parameters of SlackPolicy.
const (
	shortBacklogLimit          = 1000 * time.Millisecond // work at a target above which short prompts wait in the host's queue
	defaultBacklogLimit        = 500 * time.Millisecond  // the same for other prompts
	minShortTTFTGoal           = 150 * time.Millisecond
	maxShortTTFTGoal           = 420 * time.Millisecond
	defaultMaxLongPrefills     = 1
	defaultMinExcludedFraction = 0.1 // fraction of the targets
	defaultMaxExcludedFraction = 0.5
	excludedPerShortFraction   = 1.5   // excluded fraction of targets over the short prompts' fraction of the work
	shortWorkGain              = 0.005 // weight of a request in the moving average, per second of its prefill
	slackFraction              = 0.9   // fraction of the slack after which the first token is due
	firstTokenSlackFraction    = 0.8   // the same with rules.ObjectiveFirstToken
)

// SlackPolicy computes a due time for each request's first token from its size,
// its time limit and its partner's objective, and runs the request with the
// earliest due time first. This prevents starvation, since later requests have
// later due times. Long prompts are excluded from a fraction of the targets that
// grows with the short prompts' fraction of the work.
type SlackPolicy struct {
	// MaxLongPrefills limits the long prompts in prefill at one target.
	MaxLongPrefills int
	// MinExcludedFraction and MaxExcludedFraction bound the fraction of targets,
	// 0 to 1, from which long prompts are excluded.
	MinExcludedFraction, MaxExcludedFraction float64

	shortWorkFraction float64 // short prompts' fraction of the work, moving average
}

// NewSlackPolicy returns a SlackPolicy with the default parameters.
func NewSlackPolicy() *SlackPolicy {
	return &SlackPolicy{MaxLongPrefills: defaultMaxLongPrefills, MinExcludedFraction: defaultMinExcludedFraction, MaxExcludedFraction: defaultMaxExcludedFraction}
}

// Priority returns the Unix time in milliseconds at which the first token is due.
// For short prompts the due time is relative to now and not to the arrival:
// otherwise an old backlog of one organisation would run at the engine before
// the short prompts of other organisations.
func (p *SlackPolicy) Priority(now time.Time, req *Request, shape Shape) int64 {
	from := req.Arrival
	if shape.Class == rules.ClassShort {
		from = now
	}
	slack := req.Deadline.Sub(from) - shape.PrefillTime - shape.DecodeTime
	return from.Add(firstTokenBudget(shape, max(slack, 0))).UnixMilli()
}

// firstTokenBudget returns the time until a request's first token is due: a few
// prefill times within bounds for short prompts, and for others a fraction of
// their slack, so that they overtake newer short prompts before the slack runs
// out.
func firstTokenBudget(shape Shape, slack time.Duration) time.Duration {
	if shape.Class == rules.ClassShort {
		return min(maxShortTTFTGoal, max(minShortTTFTGoal, scaleDuration(shape.PrefillTime, 4)), slack)
	}
	fraction := slackFraction
	if shape.Objective == rules.ObjectiveFirstToken {
		fraction = firstTokenSlackFraction
	}
	return scaleDuration(slack, fraction)
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Choose picks the candidate with the shortest predicted time to first token among
// those with little queued work of the same or a shorter class. The limit ignores
// due times: otherwise an old backlog would block other requests regardless of the
// queue's order.
func (p *SlackPolicy) Choose(_ time.Time, _ *Request, shape Shape, candidates []Candidate) int {
	limit := defaultBacklogLimit
	if shape.Class == rules.ClassShort {
		limit = shortBacklogLimit
	}
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.ClassBacklog > limit || !p.Eligible(shape, c) {
			continue
		}
		if shape.Class == rules.ClassLong && c.LongPrefills >= p.MaxLongPrefills {
			continue
		}
		if best < 0 || betterCandidate(c, &candidates[best]) {
			best = i
		}
	}
	if best >= 0 {
		p.observe(shape)
	}
	return best
}

// Eligible excludes long prompts from the first targets of a route.
func (p *SlackPolicy) Eligible(shape Shape, c *Candidate) bool {
	if shape.Class != rules.ClassLong || c.Grouped {
		return true
	}
	fraction := min(max(excludedPerShortFraction*p.shortWorkFraction, p.MinExcludedFraction), p.MaxExcludedFraction)
	excluded := int(fraction*float64(c.RouteSize) + 0.5)
	return c.Position >= min(excluded, c.RouteSize-1)
}

// observe updates the short prompts' fraction of the work with a request that
// starts.
func (p *SlackPolicy) observe(shape Shape) {
	gain := min(1, shortWorkGain*shape.PrefillTime.Seconds())
	fraction := 0.
	if shape.Class == rules.ClassShort {
		fraction = 1
	}
	p.shortWorkFraction += gain * (fraction - p.shortWorkFraction)
}

// betterCandidate prefers the shorter time to first token, then the smaller
// backlog, then the larger free memory.
func betterCandidate(a, b *Candidate) bool {
	const tolerance = 2 * time.Millisecond
	if d := a.PredictedTTFT - b.PredictedTTFT; d < -tolerance || d > tolerance {
		return d < 0
	}
	if d := a.Backlog - b.Backlog; d < -tolerance || d > tolerance {
		return d < 0
	}
	return a.FreeTokens > b.FreeTokens
}
