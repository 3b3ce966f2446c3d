package enginemodel

import (
	"math"
	"time"
)

// Advance lets everything up to now happen and returns the events since the
// last call, in order of time. The slice is valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.runUntil(now)
	if e.cfg.TokenEvents {
		e.emitTokens()
	}
	events := e.pendingEvents
	e.pendingEvents, e.spareEvents = e.spareEvents[:0], events
	return events
}

// NextEvent returns the time of the next event if nothing else is submitted.
func (e *Engine) NextEvent() (time.Time, bool) {
	if len(e.pendingEvents) > 0 {
		return e.now, true
	}
	next, _, ok := e.nextTransition()
	if !e.cfg.TokenEvents || e.speed <= 0 {
		return next, ok
	}
	for _, s := range e.decode.items {
		due := e.timeOf(s.firstTokenWork + float64(s.reportedTokens)*e.decodeInterval())
		if s.reportedTokens < s.outputTokens && (!ok || due.Before(next)) {
			next, ok = due, true
		}
	}
	return next, ok
}

// run processes all events up to now.
func (e *Engine) runUntil(now time.Time) {
	for {
		at, transition, ok := e.nextTransition()
		if !ok || at.After(now) {
			break
		}
		e.accrueWork(at)
		e.handle(transition)
		e.record()
	}
	e.accrueWork(now)
}

// step is a kind of internal event.
type transition uint8

const (
	transitionFinish      transition = iota // the stream with the nearest last token ends
	transitionPrefillDone                   // the active prompt is computed
	transitionDrop                          // the nearest deadline passes
)

func (e *Engine) handle(s transition) {
	switch s {
	case transitionFinish:
		e.finishDecode()
	case transitionPrefillDone:
		e.finishPrefill()
	case transitionDrop:
		e.dropExpired()
	}
}

// next returns the next internal event and its time. At equal times ends come
// before prefills and prefills before drops.
func (e *Engine) nextTransition() (at time.Time, which transition, ok bool) {
	if e.speed > 0 {
		if s := e.decode.peek(); s != nil {
			at, which, ok = e.timeOf(s.lastTokenWork), transitionFinish, true
		}
		if s := e.activePrefill(); s != nil {
			e.applyCachedPrefix(s)
			if t := e.timeOf(e.workDone + s.prefillLeft/e.cfg.PrefillRate); !ok || t.Before(at) {
				at, which, ok = t, transitionPrefillDone, true
			}
		}
	}
	if s := e.deadlines.peek(); s != nil && (!ok || s.dropAt.Before(at)) {
		at, which, ok = s.dropAt, transitionDrop, true
	}
	return at, which, ok
}

// active returns the stream whose prompt is being computed.
func (e *Engine) activePrefill() *stream {
	if e.cfg.MaxBatch > 0 && e.decode.len() >= e.cfg.MaxBatch {
		return nil
	}
	return e.prefill.peek()
}

// startPrefill shortens the prefill by what the cache holds. The last token of
// a prompt is always computed.
func (e *Engine) applyCachedPrefix(s *stream) {
	if s.cacheConsulted {
		return
	}
	s.cacheConsulted = true
	cached := e.cache.lookup(s.job.Prefixes) * s.job.BlockTokens
	s.cachedTokens = max(0, min(cached, s.job.PromptTokens-1))
	s.prefillLeft -= float64(s.cachedTokens)
	e.prefillBacklog -= float64(s.cachedTokens)
}

// settle accounts for the work done between the last settled time and t.
func (e *Engine) accrueWork(t time.Time) {
	if !t.After(e.now) {
		return
	}
	done := t.Sub(e.now).Seconds() * e.speed
	e.now = t
	e.workDone += done
	if s := e.activePrefill(); s != nil && done > 0 {
		e.applyCachedPrefix(s)
		e.consumePrefill(s, done*e.cfg.PrefillRate)
	}
}

// computed takes tokens off the stream's remaining prefill.
func (e *Engine) consumePrefill(s *stream, tokens float64) {
	tokens = min(tokens, s.prefillLeft)
	s.prefillLeft -= tokens
	e.prefillBacklog = max(0, e.prefillBacklog-tokens)
}

func (e *Engine) finishPrefill() {
	s := e.activePrefill()
	e.consumePrefill(s, s.prefillLeft)
	e.prefill.remove(s)
	e.cache.insert(s.job.Prefixes, s.job.BlockTokens)
	if s.outputTokens == 0 {
		e.remove(s)
		e.emit(s, Finished, 0)
		return
	}
	s.decoding = true
	s.firstTokenWork = e.workDone
	s.lastTokenWork = e.workDone + float64(s.outputTokens-1)*e.decodeInterval()
	e.decode.push(s)
	e.pendingEvents = append(e.pendingEvents, Event{At: e.now, ID: s.job.ID, Kind: FirstToken, Tokens: 1, Cached: s.cachedTokens})
	s.reportedTokens = 1
}

func (e *Engine) finishDecode() {
	s := e.decode.peek()
	if more := s.outputTokens - s.reportedTokens; more > 0 && e.cfg.TokenEvents {
		e.emit(s, Token, more)
	}
	e.remove(s)
	e.emit(s, Finished, s.outputTokens)
}

func (e *Engine) dropExpired() {
	s := e.deadlines.peek()
	generated := e.generatedTokens(s)
	if more := generated - s.reportedTokens; more > 0 && e.cfg.TokenEvents {
		e.emit(s, Token, more)
	}
	e.remove(s)
	e.emit(s, Dropped, generated)
}

func (e *Engine) emitTokens() {
	for _, s := range e.decode.items {
		if more := e.generatedTokens(s) - s.reportedTokens; more > 0 {
			e.emit(s, Token, more)
			s.reportedTokens += more
		}
	}
}

func (e *Engine) emit(s *stream, kind EventKind, tokens int) {
	e.pendingEvents = append(e.pendingEvents, Event{At: e.now, ID: s.job.ID, Kind: kind, Tokens: tokens})
}

// remove takes the stream out and gives its memory back.
func (e *Engine) remove(s *stream) {
	if s.decoding {
		e.decode.remove(s)
	} else {
		e.prefill.remove(s)
		e.prefillBacklog = max(0, e.prefillBacklog-s.prefillLeft)
	}
	if !s.dropAt.IsZero() {
		e.deadlines.remove(s)
	}
	delete(e.streams, s.job.ID)
	e.reservedTokens -= s.reserved
}

// tokens is the number of tokens of the answer that have come.
func (e *Engine) generatedTokens(s *stream) int {
	if !s.decoding {
		return 0
	}
	const roundingSlack = 1e-6 // tokens
	steps := (e.workDone-s.firstTokenWork)/e.decodeInterval() + roundingSlack
	return min(s.outputTokens, 1+int(steps))
}

// interval is the time between two tokens, in seconds of work.
func (e *Engine) decodeInterval() float64 {
	return max(e.cfg.DecodeInterval, time.Nanosecond).Seconds()
}

// timeOf is the time at which the work done reaches work, at today's speed.
func (e *Engine) timeOf(work float64) time.Time {
	const forever = float64(math.MaxInt64 / 4)
	const roundingSlack = 1e-3 // nanoseconds
	wait := math.Ceil((work-e.workDone)/e.speed*float64(time.Second) - roundingSlack)
	return e.now.Add(time.Duration(min(max(wait, 0), forever)))
}
