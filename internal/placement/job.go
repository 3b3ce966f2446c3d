package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// JobID numbers the requests that one host has placed.
type JobID uint64

// Share is what a request takes up at one target.
type Share struct {
	Target      catalog.TargetKey
	PrefillTime time.Duration // reading
	Tokens      int           // memory
	Decodes     bool          // takes part in writing, beside reading
}

// Job is a placed request, as hosts tell each other.
type Job struct {
	ID          JobID
	Service     string
	Shares      []Share
	Weight      float64
	Objective   time.Duration // left when the job was placed
	MaxEventGap time.Duration
	Prefilled   bool // the first event has come
	Late        bool // was not expected in time; others are admitted first
}

// JobObserver are told of the jobs that this host places. Its methods are called
// under the board's locks and must not block.
type JobObserver interface {
	JobStarted(Job)
	JobPrefilled(JobID)
	JobEnded(JobID)
}

// noEvents is used where nobody wants to know.
type noEvents struct{}

func (noEvents) JobStarted(Job)     {}
func (noEvents) JobPrefilled(JobID) {}
func (noEvents) JobEnded(JobID)     {}

// tracked is a job on the board.
type tracked struct {
	Job
	host string // peer that placed it, empty for this host
	at   time.Time
}
