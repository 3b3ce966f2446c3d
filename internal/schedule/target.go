package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Parameters of a target's circuit breaker. The open time doubles with each
// further failure up to maxOpenTime.
const (
	failuresToOpen = 3 // consecutive
	minOpenTime    = time.Second
	maxOpenTime    = 30 * time.Second
)

// defaultMemoryTokens is the assumed memory of an engine, in tokens, until it is
// published or reported.
const defaultMemoryTokens = 128_000

// targetState is this host's view of one engine.
type targetState struct {
	info           topology.Target
	sharers        int      // number of hosts that share its memory
	peers          []string // ids of the other sharers
	confirmedPeers []string // peers that confirmed that they use no more than their share

	incarnation        string
	down               bool
	downAt             time.Time
	leavingIncarnation string // incarnation that announced that it leaves
	leaving            bool
	observedAt         time.Time // when the engine observed the newest report
	receivedAt         time.Time

	consecutiveFailures int
	openUntil           time.Time

	rates        cost.Rates
	backlog      backlog
	prefixIndex  prefixIndex
	memory       int // tokens, published or reported
	running      int // this host's grants
	suspects     int // this host's grants with Request.Suspect
	peerRequests int // requests of other hosts, from the newest report

	shortTokens int // tokens reserved by this host's short prompts
}

// shortReserveFraction is the fraction of each engine's memory that is reserved
// for short prompts.
const shortReserveFraction = 0.1

// unusedShortReserve returns the tokens still free in this host's share of the
// memory reserved for short prompts.
func (t *targetState) unusedShortReserve() int {
	part := int(shortReserveFraction * float64(t.memory) / float64(max(t.sharers, 1)))
	return max(0, part-t.shortTokens)
}

// usable reports whether the target may get new work at now. newest is when the
// newest report of any target of the model was received.
func (t *targetState) usable(now, newest time.Time, maxReportLag time.Duration) bool {
	switch {
	case t.down, t.leaving, t.info.State == topology.StateLeaving:
		return false
	case now.Before(t.openUntil):
		return false
	case t.sharers == 0:
		return false
	}
	return t.receivedAt.IsZero() || newest.Sub(t.receivedAt) <= maxReportLag
}

// applyReport applies a load report. It returns false if the report is older than
// one already applied.
func (t *targetState) applyReport(now time.Time, r engineapi.LoadReport, rates cost.Rates) bool {
	observed := time.UnixMilli(r.ObservedMS)
	if observed.After(now) {
		observed = now
	}
	if r.Incarnation != t.incarnation {
		if observed.Before(t.observedAt) {
			return false
		}
		t.restart(r.Incarnation)
	}
	if observed.Before(t.observedAt) {
		return false
	}
	t.observedAt, t.receivedAt = observed, now
	if t.down && observed.After(t.downAt) {
		t.down = false
	}
	if r.Leaving {
		t.leaving, t.leavingIncarnation = true, r.Incarnation
	}
	t.rates = rates
	t.backlog.advance(now)
	t.backlog.rate = rates.Prefill
	t.backlog.correct(now, observed, float64(max(r.PrefillTokens, 0)))
	t.peerRequests = max(0, r.Running-t.running)
	if r.MemoryTotal > 0 {
		t.memory = r.MemoryTotal
	}
	return true
}

// restart resets the state that belongs to the previous incarnation.
func (t *targetState) restart(incarnation string) {
	if t.incarnation != "" {
		t.backlog.clear()
		t.prefixIndex = prefixIndex{}
	}
	t.incarnation = incarnation
	if t.leavingIncarnation != incarnation {
		t.leaving = false
	}
	t.down = false
	t.consecutiveFailures, t.openUntil = 0, time.Time{}
}

// recordOutcome updates the circuit breaker with the outcome of a request.
func (t *targetState) recordOutcome(now time.Time, result outcome.Outcome) {
	switch result {
	case outcome.Done:
		t.consecutiveFailures = 0
		t.openUntil = time.Time{}
	case outcome.NotRun:
	default:
		t.consecutiveFailures++
		if t.consecutiveFailures >= failuresToOpen {
			openTime := minOpenTime << min(t.consecutiveFailures-failuresToOpen, 5)
			t.openUntil = now.Add(min(openTime, maxOpenTime))
		}
	}
}

// estimate sets the fields of a candidate that depend on the backlog. Fields
// already set keep the larger value.
func (t *targetState) estimate(now time.Time, c *Candidate, tokens float64, priority int64, class rules.Class) {
	l := t.backlog.load(now, priority, class)
	rate := t.backlog.rate
	c.PriorityBacklog = max(c.PriorityBacklog, cost.SecondsToDuration(l.priorityTokens/rate)+l.stall)
	c.ClassBacklog = max(c.ClassBacklog, cost.SecondsToDuration(l.classTokens/rate)+l.stall)
	c.Backlog = max(c.Backlog, cost.SecondsToDuration(l.totalTokens/rate)+l.stall)
	c.PredictedTTFT = max(c.PredictedTTFT, cost.SecondsToDuration((l.priorityTokens+tokens)/rate)+l.stall)
	c.ActiveRequests = max(c.ActiveRequests, t.running+t.peerRequests)
	c.LongPrefills = max(c.LongPrefills, l.longPrefills)
}
