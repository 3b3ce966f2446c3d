// Package policybench compares scheduling policies. It drives real schedulers,
// one for each entry host, in virtual time against models of engines under a
// seeded load. There is no network: messages between hosts arrive after a fixed
// delay.
package policybench

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/schedule"
)

// Fault is what goes wrong during a run.
type Fault string

// The faults.
const (
	FaultNone  Fault = "none"
	FaultDeath Fault = "engines die"       // one engine crashes every 20 s and is back after 15 s
	FaultSlow  Fault = "engines crawl"     // three of the engines run at a tenth of their speed
	FaultStale Fault = "reports 5 s late"  // all load reports
	FaultHalf  Fault = "half die at once"  // every second engine, for the rest of the run
	FaultBurst Fault = "burst of one org." // one organisation sends as much as all others together
)

// Scenario sets one run up.
type Scenario struct {
	Name     string
	Policy   func(seed uint64) schedule.Policy
	Load     float64 // part of the engines' prefill capacity
	Fault    Fault
	Duration time.Duration // of arrivals
	Seed     uint64
}

// Sizes of the fleet and its engines.
const (
	Engines        = 20
	Domains        = 3
	HostsPerDomain = 2
	MemoryTokens   = 480_000
	PrefillRate    = 40_000. // tokens per second
	DecodeInterval = 30 * time.Millisecond
	BatchLimit     = 64
	MaxTokens      = 256
	cacheTokens    = 100_000
)

// Delays of messages.
const (
	reportEvery  = 500 * time.Millisecond
	reportLag    = 500 * time.Millisecond
	staleLag     = 5 * time.Second
	hintDelay    = 20 * time.Millisecond
	loanDelay    = 2 * time.Millisecond
	domainHints  = 500 * time.Millisecond
	forwardDelay = 5 * time.Millisecond
	crashNotice  = 50 * time.Millisecond
	modelName    = "assistant"
	mostTries    = 4
)
