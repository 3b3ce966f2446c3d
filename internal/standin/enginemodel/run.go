package enginemodel

import (
	"math"
	"time"
)

// Advance runs the simulation up to now and returns the events since the previous
// call in order of time. The slice is valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.runUntil(now)
	if e.cfg.TokenEvents {
		e.emitTokens()
	}
	events := e.pendingEvents
	e.pendingEvents, e.spareEvents = e.spareEvents[:0], events
	return events
}

// NextEvent returns the time of the next event, provided that no other call
// changes the engine before it.
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

// runUntil processes all transitions up to now.
func (e *Engine) runUntil(now time.Time) {
	for {
		at, transition, ok := e.nextTransition()
		if !ok || at.After(now) {
			break
		}
		e.accrueWork(at)
		e.applyTransition(transition)
		e.record()
	}
	e.accrueWork(now)
}

// transition is a kind of internal state change.
type transition uint8

const (
	transitionFinish      transition = iota // the stream whose last token is due first finishes
	transitionPrefillDone                   // the prefill of the active prompt completes
	transitionDrop                          // the stream with the earliest drop time expires
)

func (e *Engine) applyTransition(t transition) {
	switch t {
	case transitionFinish:
		e.finishDecode()
	case transitionPrefillDone:
		e.finishPrefill()
	case transitionDrop:
		e.dropExpired()
	}
}

// nextTransition returns the next transition and its time. At equal times a
// finished stream comes before a completed prefill, and that before a drop.
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

// activePrefill returns the stream whose prompt is being prefilled, or nil. No
// prompt is prefilled while the decode batch is full.
func (e *Engine) activePrefill() *stream {
	if e.cfg.MaxBatch > 0 && e.decode.len() >= e.cfg.MaxBatch {
		return nil
	}
	return e.prefill.peek()
}

// applyCachedPrefix reduces the remaining prefill by the cached prefix, once per
// stream. The last token of a prompt is always computed.
func (e *Engine) applyCachedPrefix(s *stream) {
	if s.cacheConsulted {
		return
	}
	s.cacheConsulted = true
	cached := e.cache.lookup(s.job.PrefixHashes) * s.job.BlockTokens
	s.cachedTokens = max(0, min(cached, s.job.PromptTokens-1))
	s.prefillLeft -= float64(s.cachedTokens)
	e.prefillBacklog -= float64(s.cachedTokens)
}

// accrueWork moves the engine's time to t and accounts for the work done since.
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

// consumePrefill subtracts computed tokens from the stream's remaining prefill.
func (e *Engine) consumePrefill(s *stream, tokens float64) {
	tokens = min(tokens, s.prefillLeft)
	s.prefillLeft -= tokens
	e.prefillBacklog = max(0, e.prefillBacklog-tokens)
}

func (e *Engine) finishPrefill() {
	s := e.activePrefill()
	e.consumePrefill(s, s.prefillLeft)
	e.prefill.remove(s)
	e.cache.insert(s.job.PrefixHashes, s.job.BlockTokens)
	if s.outputTokens == 0 {
		e.remove(s)
		e.emit(s, Finished, 0)
		return
	}
	s.decoding = true
	s.firstTokenWork = e.workDone
	s.lastTokenWork = e.workDone + float64(s.outputTokens-1)*e.decodeInterval()
	e.decode.push(s)
	e.pendingEvents = append(e.pendingEvents, Event{At: e.now, ID: s.job.ID, Kind: FirstToken, Tokens: 1, CachedTokens: s.cachedTokens})
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

// remove removes the stream and frees its memory.
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
	e.reservedTokens -= s.reservedTokens
}

// generatedTokens returns the number of output tokens generated so far.
func (e *Engine) generatedTokens(s *stream) int {
	if !s.decoding {
		return 0
	}
	const roundingSlack = 1e-6 // tokens
	steps := (e.workDone-s.firstTokenWork)/e.decodeInterval() + roundingSlack
	return min(s.outputTokens, 1+int(steps))
}

// decodeInterval returns the time between two tokens of a stream, in seconds of
// work.
func (e *Engine) decodeInterval() float64 {
	return max(e.cfg.DecodeInterval, time.Nanosecond).Seconds()
}

// timeOf returns the time at which workDone reaches work at the current speed.
func (e *Engine) timeOf(work float64) time.Time {
	const forever = float64(math.MaxInt64 / 4)
	const roundingSlack = 1e-3 // nanoseconds
	wait := math.Ceil((work-e.workDone)/e.speed*float64(time.Second) - roundingSlack)
	return e.now.Add(time.Duration(min(max(wait, 0), forever)))
}
