// Package placement decides which targets serve a request. For model engines it
// predicts the time to the first event and the effect of the choice on the streams
// that already run there, from the requests that this host and its peers have
// placed. For plain services it chooses the target with the fewest requests per
// slot. It performs no I/O.
//
// Prefill is the processing of a prompt up to the first event of the answer;
// decoding is the generation of the output tokens after it.
package placement

import (
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// ErrNoTarget means that too few registered targets are eligible for the request.
var ErrNoTarget = errors.New("no usable target: wait until one registers or comes back")

// Request describes a request to place.
type Request struct {
	Service      string
	Engine       *catalog.Engine // nil for a plain service
	PromptTokens int
	OutputTokens int           // expected
	Objective    time.Duration // from the request's arrival to its first event
	MaxEventGap  time.Duration // largest gap between two events of a timely stream
	AbandonAfter time.Duration // wait for an event after which the caller is assumed to disconnect; 0 if unknown
	Waited       time.Duration // since the request's arrival
	// Importance multiplies the cost of the request being late; 0 counts as 1.
	Importance float64
	// Contended means that the prompt is subject to admission under contention.
	Contended bool
	// Key identifies the prompt when its caller comes back after a refusal; 0 for none.
	Key PromptKey
	// Returned means that the caller was refused before, and Promised that it was promised room
	// for its return.
	Returned, Promised bool
	// Patience is how long the caller still waits for an answer, refusals included.
	Patience time.Duration
	// ColdRate is the number of requests per second that a cold target of the service accepts
	// from all hosts together, 0 for no limit; ColdPeriod is how long a target is cold after
	// a start.
	ColdRate   float64
	ColdPeriod time.Duration
	// ExcludedTargets lists the ids of targets already tried for this request.
	ExcludedTargets []string
}

// tokens is the engine memory that a request is expected to use, in tokens.
func (r *Request) tokens() int { return r.PromptTokens + r.OutputTokens }

const (
	// unitWeightTokens is the size of a request whose weight is 1.
	unitWeightTokens = 20000
	// outputTokenFactor is the number of prompt tokens that an output token counts
	// for.
	outputTokenFactor = 10
)

// weight is the cost of the request being late: its size, in which an output token
// counts for more than a prompt token.
func (r *Request) weight() float64 {
	weight := float64(r.PromptTokens+outputTokenFactor*r.OutputTokens) / unitWeightTokens
	if r.Importance > 0 {
		weight *= r.Importance
	}
	return weight
}

// Part is one target's part of a request that several targets share.
type Part struct {
	Target catalog.Target
	Tokens int // of memory to reserve; 0 for a helper that only prefills
}

// Result classifies the end of an attempt at a target for later placements.
type Result uint8

const (
	// Served means that the target answered, with any status.
	Served Result = iota
	// Shed means that the target refused the request because it is overloaded.
	Shed
	// Misdirected means that another process holds the target's address.
	Misdirected
	// Unreachable means that the target did not answer.
	Unreachable
	// Unconnected means that no connection to the target could be opened, or that its
	// data were not acknowledged. Unlike Unreachable, a request cannot bring it about.
	Unconnected
	// Failed means that the answer reports a failure of the target or is broken.
	Failed
	// Abandoned means that there is no result at the target: the caller
	// disconnected, the time limit passed or nothing was sent.
	Abandoned
)
