package placement

import (
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// failurePenalty is added to the expected wait at a target whose recent attempts
	// all failed.
	failurePenalty = 2 * time.Second
	// failureRateSmoothing is the weight of the newest attempt in the moving average
	// of the failure rate.
	failureRateSmoothing = 0.25
	// failureRateHalving is the time after which a failure rate counts half.
	failureRateHalving = 3 * time.Second
	// minBacklogFraction is the fraction of the unfinished prefill that is expected
	// to remain when an engine takes longer than predicted.
	minBacklogFraction = 0.25
	// overdueGrace is how far a prefill may be behind its prediction before the engine
	// counts as delayed.
	overdueGrace = 600 * time.Millisecond

	// noMemoryWindow is how long an engine counts as full after it had no memory for a
	// reservation.
	noMemoryWindow = 500 * time.Millisecond

	// Times for which a target gets no requests while others are eligible. An
	// unreachable target is ejected for baseEjection at first; the time doubles
	// with each such result until an attempt is served, up to maxEjection.
	shedEjection        = 150 * time.Millisecond
	baseEjection        = 500 * time.Millisecond
	maxEjection         = 4 * time.Second
	misdirectedEjection = 5 * time.Second
)

// assignment is a job with its share at one target.
type assignment struct {
	*trackedJob
	share       Share
	prefillDone time.Time // predicted end of its prefill there
}

// targetLoad is this host's knowledge of one target: the jobs there and the recent
// results.
type targetLoad struct {
	target        catalog.Target
	jobs          []assignment
	prefillDoneAt time.Time // predicted end of the prefill of all assigned prompts
	lastPrefillAt time.Time // when a prompt was last prefilled here
	noMemoryAt    time.Time // when it last had no memory for a reservation

	limiter   rateLimiter
	restUntil time.Time // until when it wants no requests of this host
	leaving   bool      // it has said that it is about to end

	failureRate   float64 // moving average over recent attempts, 0 to 1
	failureRateAt time.Time
	ejectedUntil  time.Time
	ejectionTime  time.Duration // last ejection as unreachable; 0 once an attempt is served
	unreachableAt time.Time     // last attempt that got no answer
	answeredAt    time.Time     // last answer
	coldState     coldState
}

// add adds a job's share.
func (l *targetLoad) add(t *trackedJob, s Share, now time.Time) {
	if !t.Prefilled && s.PrefillTime > 0 {
		l.prefillDoneAt = now.Add(max(l.prefillDoneAt.Sub(now), l.minBacklog(t)) + s.PrefillTime)
	}
	l.jobs = append(l.jobs, assignment{t, s, l.prefillDoneAt})
}

// overdue returns how far the prefill of a prompt is behind its prediction, if none has
// been prefilled here since the predicted time. The engine may work on prompts that this
// host does not know, or not at all, and is expected to take as long again.
func (l *targetLoad) overdue(now time.Time) time.Duration {
	var longest time.Duration
	for _, j := range l.jobs {
		if j.Prefilled || j.Late || j.share.PrefillTime == 0 || !j.prefillDone.After(l.lastPrefillAt) {
			continue
		}
		longest = max(longest, now.Sub(j.prefillDone)-overdueGrace)
	}
	return longest
}

// remove removes a job's share.
func (l *targetLoad) remove(t *trackedJob) {
	l.jobs = slices.DeleteFunc(l.jobs, func(j assignment) bool { return j.trackedJob == t })
}

// minBacklog is the lower bound of the backlog: a fraction of the prefill time of
// all jobs without a first event, except the given one.
func (l *targetLoad) minBacklog(except *trackedJob) time.Duration {
	var sum time.Duration
	for _, j := range l.jobs {
		if j.trackedJob != except && !j.Prefilled {
			sum += j.share.PrefillTime
		}
	}
	return time.Duration(minBacklogFraction * float64(sum))
}

// capBacklog limits the predicted backlog to the prefill time of the jobs that
// have no first event yet. It is called when a job has been prefilled or ended.
func (l *targetLoad) capBacklog(now time.Time) {
	var remaining time.Duration
	for _, j := range l.jobs {
		if !j.Prefilled {
			remaining += j.share.PrefillTime
		}
	}
	if bound := now.Add(remaining); l.prefillDoneAt.After(bound) {
		l.prefillDoneAt = bound
	}
}

// backlog is the predicted time until the engine has prefilled all assigned
// prompts, if none is overdue.
func (l *targetLoad) backlog(now time.Time) time.Duration {
	return max(l.prefillDoneAt.Sub(now), l.minBacklog(nil))
}

func (l *targetLoad) decayedFailureRate(now time.Time) float64 {
	elapsed := float64(now.Sub(l.failureRateAt)) / float64(failureRateHalving)
	return l.failureRate / (1 + elapsed)
}

// penalty is the extra wait that recent failures count for.
func (l *targetLoad) penalty(now time.Time) time.Duration {
	return time.Duration(l.decayedFailureRate(now) * float64(failurePenalty))
}

func (l *targetLoad) ejected(now time.Time) bool { return now.Before(l.ejectedUntil) }

// clearEjection forgets that attempts got no answer.
func (l *targetLoad) clearEjection() {
	l.ejectedUntil, l.ejectionTime, l.unreachableAt = time.Time{}, 0, time.Time{}
	l.failureRate = 0
}

// recordResult updates the failure rate and the ejection after an attempt.
func (l *targetLoad) recordResult(r Result, now time.Time) {
	failure := 0.0
	switch r {
	case Served:
		l.ejectionTime = 0
		l.recordAnswer(now)
	case Shed:
		l.ejectedUntil = now.Add(shedEjection)
		l.recordAnswer(now)
		failure = 0.5
	case Misdirected:
		l.ejectedUntil = now.Add(misdirectedEjection)
		return
	case Unreachable, Unconnected:
		l.ejectionTime = min(max(2*l.ejectionTime, baseEjection), maxEjection)
		l.ejectedUntil = now.Add(l.ejectionTime)
		l.unreachableAt = now
		failure = 1
	case Failed:
		failure = 1
	case Abandoned:
		return
	}
	l.failureRate = (1-failureRateSmoothing)*l.decayedFailureRate(now) + failureRateSmoothing*failure
	l.failureRateAt = now
}
