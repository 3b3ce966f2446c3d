package engine

import "net/http"

// getCounts returns the counters, for tests that run the engine as a separate
// process.
func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Counts())
}
