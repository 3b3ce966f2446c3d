package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// finishLoad marks the state as serving once the load time has passed. The caller
// holds mu.
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

// putState applies a state change. Engines that do not check fencing numbers
// accept any.
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

// applyState sets the requested state. A change of model, version or adapters
// starts a load of Settings.LoadTime. The caller holds mu.
func (e *Engine) applyState(requested engineapi.State, now time.Time) {
	unchanged := requested.Model == e.state.Model && requested.Version == e.state.Version && slices.Equal(requested.Adapters, e.state.Adapters)
	requested.Serving = e.state.Serving
	if !unchanged {
		requested.Serving = e.settings.LoadTime <= 0
		e.loadDoneAt = now.Add(e.settings.LoadTime)
	}
	e.state = requested
}
