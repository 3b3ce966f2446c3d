// Package policybench compares scheduling policies by discrete-event simulation.
// It runs the production scheduler of each entry host in virtual time against
// simulated engines, under a load drawn from a seeded generator. There is no
// network: messages between hosts arrive after a fixed delay.
package policybench

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/schedule"
)

// Fault selects the failure that is injected during a run.
type Fault string

// Failures that a scenario can inject.
const (
	FaultNone         Fault = "none"
	FaultCrash        Fault = "engines die"       // every 20 s a random engine crashes and restarts after 15 s
	FaultSlow         Fault = "engines crawl"     // three engines run at a tenth of their speed
	FaultStaleReports Fault = "reports 5 s late"  // all load reports describe the engine 5 s earlier
	FaultHalfDown     Fault = "half die at once"  // every second engine crashes halfway through and stays down
	FaultBurst        Fault = "burst of one org." // one organisation sends half of all requests, besides its regular ones
)

// Scenario configures one run.
type Scenario struct {
	Name     string
	Policy   func(seed uint64) schedule.Policy
	Load     float64 // offered prefill work as a fraction of the engines' prefill capacity
	Fault    Fault
	Duration time.Duration // of the arrivals; the run itself also drains
	Seed     uint64
}

// Size of the simulated deployment and limits of each engine. Memory, output and
// prefix cache are in tokens.
const (
	Engines        = 20
	Domains        = 3
	HostsPerDomain = 2
	MemoryTokens   = 480_000
	PrefillRate    = 40_000. // tokens per second
	DecodeInterval = 30 * time.Millisecond
	MaxBatchSize   = 64
	MaxTokens      = 256
	cacheTokens    = 100_000
)

// Intervals and delays of messages between engines and hosts, and the limit on
// attempts per request.
const (
	reportInterval      = 500 * time.Millisecond
	reportLag           = 500 * time.Millisecond
	staleReportLag      = 5 * time.Second
	peerHintDelay       = 20 * time.Millisecond
	loanDelay           = 2 * time.Millisecond
	domainLoadInterval  = 500 * time.Millisecond
	forwardDelay        = 5 * time.Millisecond
	crashDetectionDelay = 50 * time.Millisecond
	modelName           = "assistant"
	maxAttempts         = 4
)
