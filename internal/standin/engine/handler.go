package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// Handler returns the HTTP handler of the engine protocol and of the control
// endpoint. While the engine is down, only the control endpoint responds.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathGenerate, e.generate)
	mux.HandleFunc("GET "+engineapi.PathStreams, e.listAllocations)
	mux.HandleFunc("GET "+engineapi.PathStreams+"/{id}", e.resumeStream)
	mux.HandleFunc("DELETE "+engineapi.PathStreams+"/{id}", e.cancelStream)
	mux.HandleFunc("GET "+engineapi.PathLoad, e.getLoad)
	mux.HandleFunc("GET "+engineapi.PathCacheEvents, e.getCacheEvents)
	mux.HandleFunc("GET "+engineapi.PathState, e.getState)
	mux.HandleFunc("PUT "+engineapi.PathState, e.putState)
	mux.HandleFunc("POST "+engineapi.PathKVExport, e.exportKV)
	mux.HandleFunc("POST "+engineapi.PathKVImport, e.importKV)
	mux.HandleFunc("DELETE "+engineapi.PathKV+"/{id}", e.releaseKV)
	mux.HandleFunc("POST "+engineapi.PathStandinControl, e.postControl)
	mux.HandleFunc("GET "+engineapi.PathStandinControl, e.getCounts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engineapi.PathStandinControl && e.isDown() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		if e.isLeaving() {
			w.Header().Set(engineapi.HeaderLeaving, "1")
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Down()
}

func (e *Engine) listAllocations(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.advance(time.Now())
	allocations := engineapi.AllocationList{Allocations: e.model.Allocations()}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, allocations)
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.model.Load(time.Now())
	report.Model = e.state.Model
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, engineapi.ReasonInvalid, true)
		return
	}
	e.mu.Lock()
	now := time.Now()
	e.advance(now)
	events := e.cacheEvents.since(now, after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

// decodeJSON decodes the request body into v. If the body is invalid, it writes a
// refusal and reports false.
func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		refuse(w, http.StatusBadRequest, engineapi.ReasonInvalid, true)
		return false
	}
	return true
}
