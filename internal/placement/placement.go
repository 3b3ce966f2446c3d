// Package placement decides which targets serve a request. For model engines
// it predicts when the first event could come and what the choice does to the
// streams that already run there, from what this host and its peers have sent
// where. For plain services it takes the target with the fewest requests. It
// performs no I/O.
package placement

import (
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// ErrNoTarget means that no registered target is left to try.
var ErrNoTarget = errors.New("no usable target: wait until one registers or comes back")

// Request describes a request to be placed.
type Request struct {
	Service      string
	Engine       *catalog.Engine // nil for a plain service
	PromptTokens int
	OutputTokens int           // expected
	Objective    time.Duration // from the request's arrival to its first event
	MaxEventGap  time.Duration // between two events of a timely stream
	AbandonAfter time.Duration // after which the caller leaves
	Waited       time.Duration // since the request's arrival
	// ExcludedTargets lists targets that have been tried for this request.
	ExcludedTargets []string
}

// tokens is the engine memory that a request takes up at most.
func (n *Request) tokens() int { return n.PromptTokens + n.OutputTokens }

const (
	// weightTokens is the size whose weight is 1.
	weightTokens = 20000
	// outputFactor is how many prompt tokens an output token counts for.
	outputFactor = 10
)

// weight is how much it matters that a request is in time: its size, in which
// writing a token counts for more than reading one.
func (n *Request) weight() float64 {
	return float64(n.PromptTokens+outputFactor*n.OutputTokens) / weightTokens
}

// Part is a share of a prompt on one target.
type Part struct {
	Target catalog.Target
	Tokens int // to reserve; 0 for a helper that only reads
}

// Result is how an attempt at a target ended, as far as placing is concerned.
type Result uint8

const (
	// Served is an answer of the target, whatever it says.
	Served Result = iota
	// Shed means that the target refused since it is busy.
	Shed
	// Misdirected means that another process holds the target's address.
	Misdirected
	// Unreachable means that the target did not answer.
	Unreachable
	// Failed is an answer that says or shows that the target failed.
	Failed
	// Abandoned means that the caller left or its time ran out.
	Abandoned
)
