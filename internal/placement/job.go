package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// JobID identifies a request among those placed by the same host.
type JobID uint64

// Share is what a request uses at one target.
type Share struct {
	Target      catalog.TargetKey
	PrefillTime time.Duration // predicted
	Tokens      int           // engine memory
	Decodes     bool          // takes part in decoding, not only in prefill
}

// Job is a placed request in the form that hosts exchange.
type Job struct {
	ID          JobID
	Service     string
	Shares      []Share
	Weight      float64       // cost of the request being late
	Objective   time.Duration // time that was left until the objective when the job was placed
	MaxEventGap time.Duration
	Prefilled   bool // the first event has arrived, or there is no prompt
	Late        bool // first event not expected within the objective; engines admit others first
}

// JobObserver is notified of the jobs that this host places. Its methods are
// called with a lock of the Placer held and must not block.
type JobObserver interface {
	JobStarted(Job)
	JobPrefilled(JobID)
	JobEnded(JobID)
	// TargetSuspectedCold reports a target that does not answer this host, or does so again,
	// so that it may have restarted.
	TargetSuspectedCold(service string, target catalog.TargetKey)
	// PromptRefused reports a prompt that this host has refused for its backlog.
	PromptRefused(RefusedPrompt)
	// PromptReturned reports that the caller of a refused prompt has come back.
	PromptReturned(service string, key PromptKey)
}

// noopObserver is the default observer.
type noopObserver struct{}

func (noopObserver) JobStarted(Job)     {}
func (noopObserver) JobPrefilled(JobID) {}
func (noopObserver) JobEnded(JobID)     {}

func (noopObserver) TargetSuspectedCold(string, catalog.TargetKey) {}

func (noopObserver) PromptRefused(RefusedPrompt)      {}
func (noopObserver) PromptReturned(string, PromptKey) {}

// trackedJob is a job that counts towards the load of its targets.
type trackedJob struct {
	Job
	peer     string // host that placed it; empty for this host
	placedAt time.Time
}
