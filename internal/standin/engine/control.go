package engine

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Control is the body of a POST to engineapi.PathControl. Only the fields that
// are set do something.
type Control struct {
	Crash          *Crash   `json:"crash,omitempty"`          // now
	CrashMarker    *string  `json:"crash_marker,omitempty"`   // crash on each prompt that contains it; empty: no longer
	RestartMS      *int64   `json:"restart_ms,omitempty"`     // after a crash on the marker; default 1000
	SilentAfter    *int64   `json:"silent_after,omitempty"`   // bytes more on each open connection, which then goes silent for good
	SilentNextAt   *int64   `json:"silent_next_at,omitempty"` // bytes on the next connection to be opened, once
	Speed          *float64 `json:"speed,omitempty"`          // factor
	Leave          *bool    `json:"leave,omitempty"`
	LoseEvents     int      `json:"lose_events,omitempty"` // cache events
	ResponseFaults []Fault  `json:"answers,omitempty"`     // for the next answers, one each
}

// Crash makes the engine lose everything and come back later.
type Crash struct {
	RestartMS int64 `json:"restart_ms"`
}

// FaultKind is what is wrong with an answer.
type FaultKind string

// The kinds of Fault.
const (
	FaultNone       FaultKind = ""            // this answer is left as it is
	FaultDisconnect FaultKind = "cut"         // the connection ends at the token
	FaultTruncate   FaultKind = "short"       // the body ends at the token, as if it were whole, without an end marker
	FaultWrongCount FaultKind = "wrong_count" // the end marker has another count
	FaultWrongID    FaultKind = "crossed"     // from the token on, chunks bear another id
	FaultDuplicate  FaultKind = "duplicate"   // the token comes twice
	FaultSkip       FaultKind = "skip"        // the token is left out
	FaultReorder    FaultKind = "late"        // the token comes after the next one
	FaultDelay      FaultKind = "delay"       // the token comes DelayMS later
)

// Fault is what is wrong with one answer.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	At      int       `json:"at"` // offset of the token
	DelayMS int64     `json:"delay_ms,omitempty"`
}

// faults holds the faults to come.
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

// answer returns the writer of the next answer.
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

// Control injects faults.
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

// crash loses everything, closes all connections and restarts after a while.
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

// restart brings the engine back after a while, on the same address.
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
