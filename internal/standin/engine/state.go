package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// settleState ends a load whose time has come. The caller holds mu.
func (e *Engine) settleState(now time.Time) {
	if !e.state.Serving && !now.Before(e.loadedAt) {
		e.state.Serving = true
	}
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.settleState(time.Now())
	state := e.state
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// putState takes an order. Engines that do not check fencing numbers take any.
func (e *Engine) putState(w http.ResponseWriter, r *http.Request) {
	var order engineapi.State
	if !decodeJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	now := time.Now()
	e.settleState(now)
	if e.settings.ChecksFencing && order.Fencing < e.state.Fencing {
		e.mu.Unlock()
		refuse(w, http.StatusConflict, engineapi.ReasonStaleFencing, true)
		return
	}
	e.apply(order, now)
	state := e.state
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// apply makes the ordered state the engine's own; loading takes its time. The
// caller holds mu.
func (e *Engine) apply(order engineapi.State, now time.Time) {
	same := order.Model == e.state.Model && order.Version == e.state.Version && slices.Equal(order.Adapters, e.state.Adapters)
	order.Serving = e.state.Serving
	if !same {
		order.Serving = e.settings.LoadTime <= 0
		e.loadedAt = now.Add(e.settings.LoadTime)
	}
	e.state = order
}
