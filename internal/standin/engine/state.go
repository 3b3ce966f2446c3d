package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// settleState ends a load whose time has come. The caller holds mu.
func (e *Engine) finishLoad(now time.Time) {
	if !e.state.Serving && !now.Before(e.loadDoneAt) {
		e.state.Serving = true
	}
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.finishLoad(time.Now())
	state := e.state
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// putState takes an requested. Engines that do not check fencing numbers take any.
func (e *Engine) putState(w http.ResponseWriter, r *http.Request) {
	var requested engineapi.State
	if !decodeJSON(w, r, &requested) {
		return
	}
	e.mu.Lock()
	now := time.Now()
	e.finishLoad(now)
	if e.settings.ChecksFencing && requested.Fencing < e.state.Fencing {
		e.mu.Unlock()
		refuse(w, http.StatusConflict, engineapi.ReasonStaleFencing, true)
		return
	}
	e.applyState(requested, now)
	state := e.state
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// apply makes the ordered state the engine's own; loading takes its time. The
// caller holds mu.
func (e *Engine) applyState(requested engineapi.State, now time.Time) {
	same := requested.Model == e.state.Model && requested.Version == e.state.Version && slices.Equal(requested.Adapters, e.state.Adapters)
	requested.Serving = e.state.Serving
	if !same {
		requested.Serving = e.settings.LoadTime <= 0
		e.loadDoneAt = now.Add(e.settings.LoadTime)
	}
	e.state = requested
}
