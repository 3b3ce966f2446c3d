package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Parameters of a target's circuit.
const (
	failuresToOpen = 3 // in a row
	firstOpenTime  = time.Second
	longestOpen    = 30 * time.Second
)

// assumedMemory is an engine's memory until it is published or reported, in tokens.
const assumedMemory = 128_000

// targetState is what a host knows of one engine.
type targetState struct {
	info      topology.Target
	sharers   int      // hosts that share its memory
	peersOf   []string // the other sharers
	confirmed []string // peers that keep to their part

	incarnation string
	down        bool
	downAt      time.Time
	leavingOf   string // incarnation that said it leaves
	leaving     bool
	reported    time.Time // observation time of the newest report
	received    time.Time

	failures  int
	openUntil time.Time

	rates    cost.Rates
	backlog  backlog
	prefixes prefixes
	memory   int // tokens, as published or reported
	running  int // this host's grants
	suspects int // this host's grants that asked to be alone
	peers    int // requests of others, by the newest report

	shortUsed int // tokens that this host's short prompts hold
}

// shortPart is the part of each engine's memory that only short prompts use.
const shortPart = 0.1

// keptForShort is what is free of this host's part of the memory that only
// short prompts use.
func (t *targetState) keptForShort() int {
	part := int(shortPart * float64(t.memory) / float64(max(t.sharers, 1)))
	return max(0, part-t.shortUsed)
}

// usable reports whether new work may go to the target at now. newest is the
// newest report of any target of the model.
func (t *targetState) usable(now, newest time.Time, silentAfter time.Duration) bool {
	switch {
	case t.down, t.leaving, t.info.State == topology.StateLeaving:
		return false
	case now.Before(t.openUntil):
		return false
	case t.sharers == 0:
		return false
	}
	return t.received.IsZero() || newest.Sub(t.received) <= silentAfter
}

// report takes a load report in. It returns false for one that is out of date.
func (t *targetState) report(now time.Time, r engineapi.LoadReport, rates cost.Rates) bool {
	observed := time.UnixMilli(r.ObservedMS)
	if observed.After(now) {
		observed = now
	}
	if r.Incarnation != t.incarnation {
		if observed.Before(t.reported) {
			return false
		}
		t.restart(r.Incarnation)
	}
	if observed.Before(t.reported) {
		return false
	}
	t.reported, t.received = observed, now
	if t.down && observed.After(t.downAt) {
		t.down = false
	}
	if r.Leaving {
		t.leaving, t.leavingOf = true, r.Incarnation
	}
	t.rates = rates
	t.backlog.advance(now)
	t.backlog.rate = rates.Prefill
	t.backlog.correct(now, observed, float64(max(r.PrefillTokens, 0)))
	t.peers = max(0, r.Running-t.running)
	if r.MemoryTotal > 0 {
		t.memory = r.MemoryTotal
	}
	return true
}

// restart begins a new incarnation: what was sticky for the old one is gone.
func (t *targetState) restart(incarnation string) {
	if t.incarnation != "" {
		t.backlog.clear()
		t.prefixes = prefixes{}
	}
	t.incarnation = incarnation
	if t.leavingOf != incarnation {
		t.leaving = false
	}
	t.down = false
	t.failures, t.openUntil = 0, time.Time{}
}

// ended moves the circuit on after a request.
func (t *targetState) ended(now time.Time, result outcome.Outcome) {
	switch result {
	case outcome.Done:
		t.failures = 0
		t.openUntil = time.Time{}
	case outcome.NotRun:
	default:
		t.failures++
		if t.failures >= failuresToOpen {
			open := firstOpenTime << min(t.failures-failuresToOpen, 5)
			t.openUntil = now.Add(min(open, longestOpen))
		}
	}
}

// estimate fills the parts of a candidate that come from the backlog.
func (t *targetState) estimate(now time.Time, c *Candidate, tokens float64, priority int64, class rules.Class) {
	l := t.backlog.load(now, priority, class)
	rate := t.backlog.rate
	c.Ahead = max(c.Ahead, cost.Seconds(l.ahead/rate)+l.stall)
	c.Queued = max(c.Queued, cost.Seconds(l.class/rate)+l.stall)
	c.Backlog = max(c.Backlog, cost.Seconds(l.total/rate)+l.stall)
	c.PredictedTTFT = max(c.PredictedTTFT, cost.Seconds((l.ahead+tokens)/rate)+l.stall)
	c.ActiveRequests = max(c.ActiveRequests, t.running+t.peers)
	c.LongPrefills = max(c.LongPrefills, l.long)
}
