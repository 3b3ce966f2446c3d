package engine

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Control is the body of a POST to engineapi.PathStandinControl. Fields that are
// not set change nothing.
type Control struct {
	Crash          *Crash   `json:"crash,omitempty"`          // crash at once
	CrashMarker    *string  `json:"crash_marker,omitempty"`   // crash on each prompt that contains it; empty: disabled
	RestartMS      *int64   `json:"restart_ms,omitempty"`     // delay of the restart after a crash on the marker; default 1000
	SilentAfter    *int64   `json:"silent_after,omitempty"`   // bytes that each open connection still sends before it goes silent permanently
	SilentNextAt   *int64   `json:"silent_next_at,omitempty"` // the same for the next accepted connection only
	Speed          *float64 `json:"speed,omitempty"`          // factor on the nominal speed
	Leave          *bool    `json:"leave,omitempty"`
	LoseEvents     int      `json:"lose_events,omitempty"` // number of the oldest cache events to discard
	ResponseFaults []Fault  `json:"answers,omitempty"`     // one per response, for the next responses
}

// Crash discards the state of the engine and restarts it after a delay.
type Crash struct {
	RestartMS int64 `json:"restart_ms"`
}

// FaultKind tells how a response deviates from the protocol.
type FaultKind string

// The kinds of Fault.
const (
	FaultNone       FaultKind = ""            // no fault in this response
	FaultDisconnect FaultKind = "cut"         // the connection is closed before the token
	FaultTruncate   FaultKind = "short"       // the body ends cleanly before the token, without an end marker
	FaultWrongCount FaultKind = "wrong_count" // the end marker has a wrong token count
	FaultWrongID    FaultKind = "crossed"     // chunks from the token on carry a wrong request id
	FaultDuplicate  FaultKind = "duplicate"   // the token is sent twice
	FaultSkip       FaultKind = "skip"        // the token is omitted
	FaultReorder    FaultKind = "late"        // the token is sent after the next one
	FaultDelay      FaultKind = "delay"       // the token is sent DelayMS milliseconds late
)

// Fault is a fault to inject into one response.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	At      int       `json:"at"` // offset of the token
	DelayMS int64     `json:"delay_ms,omitempty"`
}

// faults holds the faults that are still to be injected.
type faults struct {
	mu             sync.Mutex
	crashMarker    string
	restartDelay   time.Duration
	responseFaults []Fault
}

func (f *faults) matchesCrashMarker(prompt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashMarker != "" && strings.Contains(prompt, f.crashMarker)
}

func (f *faults) crashRestartDelay() time.Duration {
	const defaultRestartDelay = time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restartDelay > 0 {
		return f.restartDelay
	}
	return defaultRestartDelay
}

// nextResponse returns a writer with the fault of the next response.
func (f *faults) nextResponse(w http.ResponseWriter) *responseWriter {
	f.mu.Lock()
	defer f.mu.Unlock()
	rw := newResponseWriter(w)
	if len(f.responseFaults) > 0 {
		rw.fault = f.responseFaults[0]
		f.responseFaults = f.responseFaults[1:]
	}
	return rw
}

func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.CrashMarker != nil {
		f.crashMarker = *c.CrashMarker
	}
	if c.RestartMS != nil {
		f.restartDelay = time.Duration(*c.RestartMS) * time.Millisecond
	}
	f.responseFaults = append(f.responseFaults, c.ResponseFaults...)
}

func (e *Engine) postControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if !decodeJSON(w, r, &c) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
	flush(w)
	e.Control(c)
}

// Control applies a fault injection request. It is what a POST to
// engineapi.PathStandinControl does.
func (e *Engine) Control(c Control) {
	e.faults.set(c)
	e.applyToModel(c)
	if e.listener != nil {
		if c.SilentAfter != nil {
			e.listener.silenceOpen(*c.SilentAfter)
		}
		if c.SilentNextAt != nil {
			e.listener.silenceNextConn(*c.SilentNextAt)
		}
	}
	if c.Crash != nil {
		e.crash(time.Duration(c.Crash.RestartMS) * time.Millisecond)
	}
}

func (e *Engine) applyToModel(c Control) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.wakeLoop()
	e.advance(time.Now())
	if c.Speed != nil {
		e.model.SetSpeed(*c.Speed)
	}
	if c.Leave != nil {
		e.leaving = *c.Leave
		e.model.SetLeaving(*c.Leave)
	}
	e.cacheEvents.dropOldest(c.LoseEvents)
}

// crash discards the state, stops listening, closes all connections and schedules
// the restart.
func (e *Engine) crash(restartDelay time.Duration) {
	e.mu.Lock()
	now := time.Now()
	e.advance(now)
	e.model.Crash(now)
	for _, s := range e.streams {
		s.end(reasonCrashed, now)
	}
	e.streams = make(map[string]*stream)
	e.cacheEvents.entries, e.cacheEvents.lastSeq = nil, 0
	e.leaving = false
	e.counts.Crashes++
	e.mu.Unlock()
	if e.listener != nil {
		e.listener.suspend()
		e.listener.closeAll()
	}
	e.background.Add(1)
	go e.restart(restartDelay)
}

// restart restarts the engine after delay on the same address.
func (e *Engine) restart(delay time.Duration) {
	const listenRetryInterval = 10 * time.Millisecond
	defer e.background.Done()
	sleep(e.ctx, delay)
	for e.ctx.Err() == nil && e.listener != nil && !e.listener.reopen() {
		sleep(e.ctx, listenRetryInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Restart(time.Now())
	e.wakeLoop()
}
