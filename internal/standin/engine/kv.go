package engine

import (
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// exportKV pins the KV memory of a stream's prompt and returns the block.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var req engineapi.KVExportRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	s := e.streams[req.Stream]
	e.mu.Unlock()
	if s == nil {
		refuse(w, http.StatusNotFound, engineapi.ReasonNotFound, true)
		return
	}
	e.pin(w, engineapi.KVBlock{ID: req.ID, Owner: req.Owner, DeadlineMS: req.DeadlineMS, Tokens: s.promptTokens})
}

// importKV pins a KV block. A block without data only reserves memory.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var block engineapi.KVBlock
	if decodeJSON(w, r, &block) {
		e.pin(w, block)
	}
}

func (e *Engine) pin(w http.ResponseWriter, block engineapi.KVBlock) {
	e.mu.Lock()
	now := time.Now()
	e.advance(now)
	reason := refusalReason(e.model.Pin(now, block.ID, block.Owner, time.UnixMilli(block.DeadlineMS), block.Tokens))
	e.mu.Unlock()
	if reason != "" {
		refuse(w, refusalStatus(reason), reason, reason != engineapi.ReasonDuplicate)
		return
	}
	writeJSON(w, http.StatusOK, block)
}

func (e *Engine) releaseKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.advance(now)
	released := e.model.Release(now, r.PathValue("id"))
	e.mu.Unlock()
	if !released {
		refuse(w, http.StatusNotFound, engineapi.ReasonNotFound, false)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
