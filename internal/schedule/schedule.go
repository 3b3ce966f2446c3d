// Package schedule queues inference requests on each host and decides which
// request runs next and on which target.
package schedule

import (
	"context"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Request describes a prompt to the scheduler.
type Request struct {
	ID           string
	Partner      string
	Organisation string
	Model        string
	PromptTokens int // estimated
	MaxTokens    int // output limit
	Arrival      time.Time
	Deadline     time.Time
	// PrefixHashes are hashes of the prompt's leading blocks, shortest first.
	PrefixHashes []uint64
	// Exclude lists the ids of targets that must not be picked.
	Exclude []string
	// Suspect marks a request that is suspected of crashing targets. It runs only
	// on a target where this host runs no other such request.
	Suspect bool
}

// Grant permits one request to run on one target. The request's memory stays
// reserved until Release.
type Grant interface {
	// Target returns the target on which the request may run.
	Target() topology.Target
	// Priority returns the request's priority at the engine; lower runs first.
	Priority() int
	// FirstToken records when the first token arrived.
	FirstToken(at time.Time)
	// Release frees the reserved memory. It must be called exactly once.
	Release(at time.Time, result outcome.Outcome)
}

// Scheduler assigns requests to targets.
type Scheduler interface {
	// Acquire blocks until the request may run. It returns an *apierror.Error
	// immediately when the request cannot finish before its deadline.
	Acquire(ctx context.Context, req Request) (Grant, error)
}
