package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// The times of an engine follow from its published performance figures: a pass
// runs a fixed number of token steps and emits one event for each decoding stream;
// prefill adds to the steps of the pass in which it runs.

// chunkTokens is the largest number of prompt tokens that one step prefills.
const chunkTokens = 2048

// engineSnapshot is the state of one engine at the time of a choice.
type engineSnapshot struct {
	load        *targetLoad
	backlog     time.Duration   // predicted time until all assigned prompts are prefilled
	passTime    time.Duration   // between two events, without prefill
	tokens      int             // memory in use, in tokens
	streams     int             // requests past their first event
	decoding    []latencyBudget // of streams, until their next event
	prefilling  []latencyBudget // of prompts, until their objective
	queued      []queuedStream  // prompts that will decode here once they are prefilled
	running     int             // requests that hold a slot (prefilled) or are admitted before late ones
	queuedLate  int             // late requests without a slot, admitted in order after all others
	helperParts int             // parts of other engines' prompts, not yet prefilled
	penalty     time.Duration   // extra wait that recent failures count for
	noMemory    bool            // it recently had no memory for a reservation
	// inPrefillPool marks an engine that is preferred for parts of long prompts.
	inPrefillPool bool
	// onlyHelps marks an engine that gets no requests of its own, since it is at its rate
	// limit.
	onlyHelps bool
	// takesLate marks an engine for short prompts that will be late in any case.
	takesLate bool
}

// queuedStream is a prompt that will decode on an engine once it is prefilled.
type queuedStream struct {
	budget latencyBudget // between two events of its answer
	behind time.Duration // prefill queued behind it, which delays these events
}

// latencyBudget is the time within which a request needs its next event.
type latencyBudget struct {
	weight         float64
	lateAfter      time.Duration // 0 if the answer is late already
	abandonedAfter time.Duration // when the caller is assumed to disconnect; 0 if that is not counted
}

// decodeBudget returns the budget between two events of the answer.
func (t *trackedJob) decodeBudget() latencyBudget {
	b := latencyBudget{weight: t.Weight, lateAfter: t.MaxEventGap, abandonedAfter: catalog.AbandonAfter(t.Objective, t.MaxEventGap)}
	if t.Late {
		b.lateAfter = 0
	}
	return b
}

// prefillBudget returns what is left of the budget until the first event. Callers that
// leave before it are not counted: their prompts cost the engine nothing from then on.
func (t *trackedJob) prefillBudget(now time.Time) latencyBudget {
	return latencyBudget{weight: t.Weight, lateAfter: t.Objective - now.Sub(t.placedAt)}
}

// costOfDelay is the expected cost of an event that comes at after instead of before,
// in units of weight: the answer becomes late, and the caller may disconnect.
func (b latencyBudget) costOfDelay(before, after time.Duration) float64 {
	late := lateProbability(after, b.lateAfter) - lateProbability(before, b.lateAfter)
	abandoned := lateProbability(after, b.abandonedAfter) - lateProbability(before, b.abandonedAfter)
	return b.weight * (late + abandoned)
}

func newEngineSnapshot(l *targetLoad, e *catalog.Engine, policy Policy, now time.Time) *engineSnapshot {
	snap := &engineSnapshot{load: l, backlog: l.backlog(now), noMemory: now.Sub(l.noMemoryAt) < noMemoryWindow}
	if policy.OverdueBacklog {
		snap.backlog = max(snap.backlog, l.overdue(now))
	}
	if policy.FailurePenalty {
		snap.penalty = l.penalty(now)
	}
	context := 0
	for _, j := range l.jobs {
		t, s := j.trackedJob, j.share
		snap.tokens += s.Tokens
		switch {
		case s.Decodes && (t.Prefilled || !t.Late):
			snap.running++
		case s.Decodes:
			snap.queuedLate++
		}
		if !t.Prefilled && !s.Decodes {
			snap.helperParts++
		}
		switch {
		case t.Prefilled && s.Decodes:
			snap.streams++
			context += s.Tokens
			snap.decoding = append(snap.decoding, t.decodeBudget())
		case !t.Prefilled:
			snap.prefilling = append(snap.prefilling, t.prefillBudget(now))
			if s.Decodes && policy.QueuedStreams {
				snap.queued = append(snap.queued, queuedStream{budget: t.decodeBudget(), behind: max(0, l.prefillDoneAt.Sub(j.prefillDone))})
			}
		}
	}
	if snap.streams > 0 {
		snap.passTime = passTime(e, snap.streams, context)
	}
	return snap
}

// passTime is the duration of a pass without prefill.
func passTime(e *catalog.Engine, sequences, contextTokens int) time.Duration {
	step := e.StepTime + time.Duration(sequences)*e.StepTimePerSeq + time.Duration(float64(contextTokens)/1000*float64(e.StepTimePerKiloToken))
	return time.Duration(max(e.StepsPerPass, 1)) * step
}

// partPrefillTime is the prefill time at each of the engines that share a prompt.
func partPrefillTime(e *catalog.Engine, tokens, parts int) time.Duration {
	chunks := tokens/parts/chunkTokens + 1
	return e.PrefillTime(tokens)/time.Duration(parts) + time.Duration(chunks)*e.StepTime
}

// timeToFirstEvent predicts the time to the first event of a new prompt. Recent failures
// don't count: they make an engine a worse choice, but tell nothing about its queue.
func (snap *engineSnapshot) timeToFirstEvent(e *catalog.Engine, prefillTime time.Duration) time.Duration {
	pass := max(snap.passTime, time.Duration(e.StepsPerPass)*e.StepTime)
	return snap.backlog + snap.passTime/2 + prefillTime + pass
}

// freeSlots returns the number of slots without a request that holds or waits for them.
func (snap *engineSnapshot) freeSlots(e *catalog.Engine) int {
	return max(0, e.Slots-snap.running-snap.queuedLate)
}

// slotWait is the expected time until a decoding slot is free for a new request,
// which late ones share in order after all others.
func (snap *engineSnapshot) slotWait(e *catalog.Engine, late bool) time.Duration {
	all := snap.running + snap.queuedLate
	// Late requests have taken the slots that the others leave.
	ahead := max(snap.running, min(all, e.Slots))
	if late {
		ahead = all
	}
	excess := ahead - e.Slots + 1
	if e.Slots == 0 || excess <= 0 {
		return 0
	}
	return time.Duration(excess) * slotReleaseInterval
}

// slotReleaseInterval is the expected time between two slot releases on an engine
// whose slots are all in use.
const slotReleaseInterval = 200 * time.Millisecond
