// Package placement decides which targets serve a request. For model engines
// it predicts when the first event could come, from what this host has sent
// where and what it will cost there; for plain services it takes the target
// with the fewest requests. It performs no I/O.
package placement

import "github.com/plantainrun/plantainrun/internal/catalog"

// Need describes a request to be placed.
type Need struct {
	Service      string
	Engine       *catalog.Engine // nil for a plain service
	PromptTokens int
	OutputTokens int // expected
	// Avoid lists targets that have been tried for this request.
	Avoid []string
}

// tokens is the engine memory that a request takes up at most.
func (n *Need) tokens() int { return n.PromptTokens + n.OutputTokens }

// Part is a share of a prompt's memory on one target.
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
	// Faulty is an answer that says or shows that the target failed.
	Faulty
	// Abandoned means that the caller left or its time ran out.
	Abandoned
)
