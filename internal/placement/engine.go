package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// Times of an engine follow from its published figures: a pass runs a fixed
// number of steps and hands out one event for each stream that writes; reading
// adds to the steps of the pass in which it is done.

// chunkTokens is how many prompt tokens one step reads at most.
const chunkTokens = 2048

// engineState is one engine at the moment of a choice.
type engineState struct {
	load    *load
	backlog time.Duration // until it has read what was sent to it
	pass    time.Duration // from event to event, without reading
	tokens  int           // memory in use
	writers []deadline    // streams, with their longest pause
	readers []deadline    // prompts being read, with what is left of their objective
	running int           // requests that take up a slot or are admitted before others
	helping int           // prompts of others that it reads parts of
	penalty time.Duration
	// reader marks an engine that is kept for reading parts of long prompts.
	reader bool
}

// deadline is a time that matters to one request.
type deadline struct {
	weight float64
	aim    time.Duration
}

func newEngineState(l *load, e *catalog.Engine, now time.Time) *engineState {
	st := &engineState{load: l, backlog: l.backlog(now), penalty: l.penalty(now)}
	context := 0
	for _, j := range l.jobs {
		t, s := j.tracked, j.share
		st.tokens += s.Tokens
		if s.Decodes && (t.Prefilled || !t.Late) {
			st.running++
		}
		if !t.Prefilled && !s.Decodes {
			st.helping++
		}
		switch {
		case t.Prefilled && s.Decodes:
			st.writers = append(st.writers, deadline{t.Weight, t.MaxEventGap})
			context += s.Tokens
		case !t.Prefilled:
			st.readers = append(st.readers, deadline{t.Weight, t.Objective - now.Sub(t.at)})
		}
	}
	if len(st.writers) > 0 {
		st.pass = passTime(e, len(st.writers), context)
	}
	return st
}

// passTime is the length of a pass without reading.
func passTime(e *catalog.Engine, writers, contextTokens int) time.Duration {
	step := e.StepTime + time.Duration(writers)*e.StepTimePerSeq + time.Duration(float64(contextTokens)/1000*float64(e.StepTimePerKiloToken))
	return time.Duration(max(e.StepsPerPass, 1)) * step
}

// partWork is the reading of one of several engines that share a prompt.
func partWork(e *catalog.Engine, tokens, parts int) time.Duration {
	chunks := tokens/parts/chunkTokens + 1
	return e.PrefillTime(tokens)/time.Duration(parts) + time.Duration(chunks)*e.StepTime
}

// firstEvent predicts when a prompt would get its first event.
func (st *engineState) firstEvent(e *catalog.Engine, work time.Duration) time.Duration {
	pass := max(st.pass, time.Duration(e.StepsPerPass)*e.StepTime)
	return st.penalty + st.backlog + st.pass/2 + work + pass
}

// slotWait is the expected time until a slot for writing is free.
func (st *engineState) slotWait(e *catalog.Engine) time.Duration {
	over := st.running - e.Slots + 1
	if e.Slots == 0 || over <= 0 {
		return 0
	}
	return time.Duration(over) * slotTurnover
}

// slotTurnover is the expected time between two ends of requests on a full engine.
const slotTurnover = 150 * time.Millisecond
