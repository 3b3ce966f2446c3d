package enginemodel

import (
	"math"
	"time"
)

// Advance lets everything up to now happen and returns the events since the
// last call, in order of time. The slice is valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.run(now)
	if e.cfg.TokenEvents {
		e.tellTokens()
	}
	events := e.pending
	e.pending, e.spare = e.spare[:0], events
	return events
}

// NextEvent returns the time of the next event if nothing else is submitted.
func (e *Engine) NextEvent() (time.Time, bool) {
	if len(e.pending) > 0 {
		return e.at, true
	}
	next, _, ok := e.next()
	if !e.cfg.TokenEvents || e.speed <= 0 {
		return next, ok
	}
	for _, s := range e.decode.items {
		due := e.timeOf(s.first + float64(s.told)*e.interval())
		if s.told < s.output && (!ok || due.Before(next)) {
			next, ok = due, true
		}
	}
	return next, ok
}

// run processes all events up to now.
func (e *Engine) run(now time.Time) {
	for {
		at, step, ok := e.next()
		if !ok || at.After(now) {
			break
		}
		e.settle(at)
		e.take(step)
		e.record()
	}
	e.settle(now)
}

// step is a kind of internal event.
type step uint8

const (
	stepFinish  step = iota // the stream with the nearest last token ends
	stepPrefill             // the active prompt is computed
	stepDrop                // the nearest deadline passes
)

func (e *Engine) take(s step) {
	switch s {
	case stepFinish:
		e.finish()
	case stepPrefill:
		e.finishPrefill()
	case stepDrop:
		e.drop()
	}
}

// next returns the next internal event and its time. At equal times ends come
// before prefills and prefills before drops.
func (e *Engine) next() (at time.Time, which step, ok bool) {
	if e.speed > 0 {
		if s := e.decode.top(); s != nil {
			at, which, ok = e.timeOf(s.last), stepFinish, true
		}
		if s := e.active(); s != nil {
			e.startPrefill(s)
			if t := e.timeOf(e.work + s.left/e.cfg.PrefillRate); !ok || t.Before(at) {
				at, which, ok = t, stepPrefill, true
			}
		}
	}
	if s := e.deadlines.top(); s != nil && (!ok || s.dropAt.Before(at)) {
		at, which, ok = s.dropAt, stepDrop, true
	}
	return at, which, ok
}

// active returns the stream whose prompt is being computed.
func (e *Engine) active() *stream {
	if e.cfg.MaxBatch > 0 && e.decode.len() >= e.cfg.MaxBatch {
		return nil
	}
	return e.prefill.top()
}

// startPrefill shortens the prefill by what the cache holds. The last token of
// a prompt is always computed.
func (e *Engine) startPrefill(s *stream) {
	if s.started {
		return
	}
	s.started = true
	cached := e.cache.lookup(s.job.Prefixes) * s.job.BlockTokens
	s.cached = max(0, min(cached, s.job.PromptTokens-1))
	s.left -= float64(s.cached)
	e.backlog -= float64(s.cached)
}

// settle accounts for the work done between the last settled time and t.
func (e *Engine) settle(t time.Time) {
	if !t.After(e.at) {
		return
	}
	done := t.Sub(e.at).Seconds() * e.speed
	e.at = t
	e.work += done
	if s := e.active(); s != nil && done > 0 {
		e.startPrefill(s)
		e.computed(s, done*e.cfg.PrefillRate)
	}
}

// computed takes tokens off the stream's remaining prefill.
func (e *Engine) computed(s *stream, tokens float64) {
	tokens = min(tokens, s.left)
	s.left -= tokens
	e.backlog = max(0, e.backlog-tokens)
}

func (e *Engine) finishPrefill() {
	s := e.active()
	e.computed(s, s.left)
	e.prefill.remove(s)
	e.cache.insert(s.job.Prefixes, s.job.BlockTokens)
	if s.output == 0 {
		e.remove(s)
		e.tell(s, Finished, 0)
		return
	}
	s.decoding = true
	s.first = e.work
	s.last = e.work + float64(s.output-1)*e.interval()
	e.decode.push(s)
	e.pending = append(e.pending, Event{At: e.at, ID: s.job.ID, Kind: FirstToken, Tokens: 1, Cached: s.cached})
	s.told = 1
}

func (e *Engine) finish() {
	s := e.decode.top()
	if more := s.output - s.told; more > 0 && e.cfg.TokenEvents {
		e.tell(s, Token, more)
	}
	e.remove(s)
	e.tell(s, Finished, s.output)
}

func (e *Engine) drop() {
	s := e.deadlines.top()
	came := e.tokens(s)
	if more := came - s.told; more > 0 && e.cfg.TokenEvents {
		e.tell(s, Token, more)
	}
	e.remove(s)
	e.tell(s, Dropped, came)
}

func (e *Engine) tellTokens() {
	for _, s := range e.decode.items {
		if more := e.tokens(s) - s.told; more > 0 {
			e.tell(s, Token, more)
			s.told += more
		}
	}
}

func (e *Engine) tell(s *stream, kind Kind, tokens int) {
	e.pending = append(e.pending, Event{At: e.at, ID: s.job.ID, Kind: kind, Tokens: tokens})
}

// remove takes the stream out and gives its memory back.
func (e *Engine) remove(s *stream) {
	if s.decoding {
		e.decode.remove(s)
	} else {
		e.prefill.remove(s)
		e.backlog = max(0, e.backlog-s.left)
	}
	if !s.dropAt.IsZero() {
		e.deadlines.remove(s)
	}
	delete(e.streams, s.job.ID)
	e.used -= s.reserved
}

// tokens is the number of tokens of the answer that have come.
func (e *Engine) tokens(s *stream) int {
	if !s.decoding {
		return 0
	}
	const roundingSlack = 1e-6 // tokens
	steps := (e.work-s.first)/e.interval() + roundingSlack
	return min(s.output, 1+int(steps))
}

// interval is the time between two tokens, in seconds of work.
func (e *Engine) interval() float64 {
	return max(e.cfg.DecodeInterval, time.Nanosecond).Seconds()
}

// timeOf is the time at which the work done reaches work, at today's speed.
func (e *Engine) timeOf(work float64) time.Time {
	const forever = float64(math.MaxInt64 / 4)
	const roundingSlack = 1e-3 // nanoseconds
	wait := math.Ceil((work-e.work)/e.speed*float64(time.Second) - roundingSlack)
	return e.at.Add(time.Duration(min(max(wait, 0), forever)))
}
