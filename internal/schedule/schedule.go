// Package schedule decides which request runs next and on which target.
package schedule

import (
	"context"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Request is what the scheduler needs to know of a prompt.
type Request struct {
	ID           string
	Partner      string
	Organisation string
	Model        string
	PromptTokens int // estimate
	MaxTokens    int // output limit
	Arrival      time.Time
	Deadline     time.Time
	// PrefixHashes are hashes of the prompt's leading blocks, shortest first.
	PrefixHashes []uint64
	// Exclude are targets that must not be picked, by id.
	Exclude []string
	// Alone asks for a target on which no other suspected request runs.
	Alone bool
}

// Grant is the permission to run one request on one target. Its memory stays
// reserved until Release.
type Grant interface {
	// Target is where the request may run.
	Target() topology.Target
	// Priority is the engine's priority; lower runs first.
	Priority() int
	// FirstToken records that the first token came.
	FirstToken(at time.Time)
	// Release gives the reservation back. It must be called exactly once.
	Release(at time.Time, result outcome.Outcome)
}

// Scheduler grants targets to requests.
type Scheduler interface {
	// Acquire waits until the request may run. It returns an *apierror.Error
	// at once when the request cannot finish in time.
	Acquire(ctx context.Context, req Request) (Grant, error)
}
