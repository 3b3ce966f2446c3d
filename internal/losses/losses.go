// Package losses tells from the structured logs of hosts what became of each request, and why
// those that were not served in time were not. It counts a request where its caller sent it: the
// lines of a host that served it for another one are left out.
package losses

import (
	"cmp"
	"time"
)

// Fate is what became of a request.
type Fate uint8

// The fates of requests.
const (
	Unfinished     Fate = iota // the logs end before the request does
	InTime                     // served within its objective, without a long pause
	LateFirstEvent             // served, the first event or the answer after the objective
	LatePause                  // served, with a pause between two events that is too long
	Refused                    // by the host, as not run
	Left                       // the caller left before the answer was complete
	Broken                     // it failed, or the answer broke off
	Denied                     // the configuration does not allow it; not counted as a loss
	fateCount
)

// String returns the name of a fate in reports.
func (f Fate) String() string {
	return [...]string{"unfinished", "in time", "late", "paused", "refused", "left", "broken", "denied"}[f]
}

// Served reports whether a request with the fate got a whole answer, in time or late.
func (f Fate) Served() bool { return f == InTime || f == LateFirstEvent || f == LatePause }

// Loss reports whether a request with the fate was not served in time although it was owed.
func (f Fate) Loss() bool { return f != InTime && f != Denied && f != Unfinished }

// Cause is why a request was lost. A refused one has the reason of its refusal.
type Cause string

// The causes that are not reasons of refusals.
const (
	CauseBacklog    Cause = "backlog"               // engines had too much to prefill before it, as predicted
	CauseSlower     Cause = "slower_than_predicted" // it was predicted in time
	CausePause      Cause = "engine_paused"         // the engine prefilled other prompts between two events
	CauseRetry      Cause = "retry"                 // an earlier attempt was lost
	CauseHeld       Cause = "held"                  // it waited at the host for a target that takes requests
	CauseNoMemory   Cause = "memory_wait"           // it waited at the host for engine memory
	CauseTarget     Cause = "target_failed"         // the target answered with a failure
	CauseLink       Cause = "connection_lost"       // the answer broke off, or there was none
	CauseLeftBefore Cause = "no_first_event"        // the caller left before the first event
	CauseLeftDuring Cause = "left_during_answer"    // the caller left after the first event
	CauseUnknown    Cause = "unknown"

	// Refusals by admission under contention, by what was missing.
	CauseShortOfEngines  Cause = "short_of_engines"  // none would begin in time
	CauseShortByPromises Cause = "short_by_promises" // the room is kept for callers refused before
	CauseShortOfPayoff   Cause = "short_of_payoff"   // it would cost others more than it earns
)

// shortages are the causes by the name in the logs of what was missing.
var shortages = map[string]Cause{"engines": CauseShortOfEngines, "promises": CauseShortByPromises, "payoff": CauseShortOfPayoff}

// heldRatio is the part of its objective after which a request that was not sent yet counts as
// held at the host.
const heldRatio = 0.25

// Request is what the logs tell of one request.
type Request struct {
	ID           string
	Host         string
	Domain       string // of the host
	Route        string
	Organisation string
	PromptTokens int
	CallerKey    string // the same for repetitions of one caller's request; empty if unknown
	Subject      string // last part of the prompt that others share; empty for none
	Start        time.Time
	Fate         Fate
	Cause        Cause // set for losses
}

// lateAnswer holds the inputs by which a late answer is explained.
type lateAnswer struct {
	firstEvent, objective  time.Duration
	longestPause, maxPause time.Duration
	sentAfter              time.Duration // until the first attempt was sent
	predictedWait          time.Duration // of the last attempt
	sends                  int
	waitedForMemory        bool
}

// classify returns the fate of a late answer and its cause.
func (a *lateAnswer) classify() (Fate, Cause) {
	if a.firstEvent <= a.objective {
		return LatePause, a.pauseCause()
	}
	held := a.sentAfter > time.Duration(heldRatio*float64(a.objective))
	switch {
	case held && a.waitedForMemory:
		return LateFirstEvent, CauseNoMemory
	case a.sends > 1:
		return LateFirstEvent, CauseRetry
	case held:
		return LateFirstEvent, CauseHeld
	case a.sentAfter+a.predictedWait > a.objective:
		return LateFirstEvent, CauseBacklog
	}
	return LateFirstEvent, CauseSlower
}

func (a *lateAnswer) pauseCause() Cause {
	if a.sends > 1 {
		return CauseRetry
	}
	return CausePause
}

// deniedReasons are the reasons of refusals that the configuration demands.
var deniedReasons = []string{"bad_request", "too_large", "unknown_key", "no_route", "not_permitted"}

// byCount sorts counts in descending order, equal ones by name.
func byCount(a, b Count) int {
	return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
}
