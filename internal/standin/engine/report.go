package engine

import "net/http"

// report serves the counters, for tests with separate processes.
func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Counts())
}
