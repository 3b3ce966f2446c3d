package engine

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

const longestBody = 64 << 20 // bytes

// generate takes a prompt and answers with its stream.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engineapi.GenerateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, longestBody)).Decode(&req); err != nil || req.ID == "" {
		refuse(w, http.StatusBadRequest, engineapi.ReasonInvalid, true)
		return
	}
	if e.faults.marked(req.Prompt) {
		e.crash(e.faults.restartAfter())
		panic(http.ErrAbortHandler)
	}
	s, reason := e.submit(req)
	if reason != "" {
		refuse(w, statusOf(reason), reason, reason != engineapi.ReasonDuplicate)
		return
	}
	e.stream(w, r, s, 0)
}

// submit returns the admitted stream, or the reason of the refusal.
func (e *Engine) submit(req engineapi.GenerateRequest) (*stream, string) {
	hash, prefixes := PromptHash(req.Prompt), engineapi.PrefixHashes(req.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.poke()
	now := time.Now()
	e.advance(now)
	e.settleState(now)
	switch {
	case e.streams[req.ID] != nil:
		return nil, engineapi.ReasonDuplicate
	case !e.state.Serving:
		return nil, engineapi.ReasonLoading
	case req.Model != e.state.Model:
		return nil, engineapi.ReasonWrongModel
	}
	tokens := e.promptTokens(req.Prompt)
	job := enginemodel.Job{
		ID: req.ID, Owner: req.Owner, Deadline: time.UnixMilli(req.DeadlineMS), PromptTokens: tokens,
		MaxTokens: req.MaxTokens, OutputTokens: e.settings.OutputTokens, Priority: req.Priority, PromptBytes: len(req.Prompt),
		Prefixes: prefixes, BlockTokens: int(engineapi.PrefixBlockBytes / e.settings.BytesPerToken),
		ReserveTokens: e.share(req, tokens),
	}
	if reason := reasonOf(e.model.Submit(now, job)); reason != "" {
		if reason == engineapi.ReasonLeaving {
			e.counts.Refused++
		}
		return nil, reason
	}
	s := newStream(req.ID, hash, tokens)
	e.streams[req.ID] = s
	e.counts.Submitted[req.ID]++
	return s, ""
}

func (e *Engine) promptTokens(prompt string) int {
	return max(1, int(math.Ceil(float64(len(prompt))/e.settings.BytesPerToken)))
}

// share is the memory that a request takes here: all of it, or this engine's
// part of a prompt that is held in parts, plus the answer.
func (e *Engine) share(req engineapi.GenerateRequest, promptTokens int) int {
	for _, part := range req.Parts {
		if part.Target == e.settings.ID {
			return part.Tokens + req.MaxTokens
		}
	}
	return promptTokens + req.MaxTokens
}

func reasonOf(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, enginemodel.ErrNoMemory):
		return engineapi.ReasonNoMemory
	case errors.Is(err, enginemodel.ErrLeaving):
		return engineapi.ReasonLeaving
	case errors.Is(err, enginemodel.ErrDuplicate):
		return engineapi.ReasonDuplicate
	default:
		return engineapi.ReasonBusy
	}
}

// resume answers with the rest of a stream.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		refuse(w, http.StatusBadRequest, engineapi.ReasonInvalid, true)
		return
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		refuse(w, http.StatusNotFound, engineapi.ReasonNotFound, false)
		return
	}
	e.stream(w, r, s, offset)
}

// cancel ends a stream.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	s := e.streams[id]
	if s == nil {
		refuse(w, http.StatusNotFound, engineapi.ReasonNotFound, false)
		return
	}
	if e.model.Cancel(now, id) {
		e.counts.Cancelled++
		s.end(reasonCancelled, now)
	}
	e.poke()
	w.WriteHeader(http.StatusNoContent)
}

// stream writes the chunks from offset on, as they come.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := e.faults.answer(w)
	flush(w)
	err := e.writeStream(r.Context(), out, s, offset)
	if err != nil && !errors.Is(err, errShort) {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) writeStream(ctx context.Context, out *answerWriter, s *stream, offset int) error {
	for next := offset; ; {
		tokens, end, changed := e.progress(s)
		for ; next < tokens; next++ {
			chunk := engineapi.Chunk{ID: s.id, Offset: next, Token: Token(s.hash, next)}
			if err := out.token(ctx, chunk); err != nil {
				return err
			}
		}
		if end != nil && end.FinishReason == reasonCrashed {
			return errCut
		}
		if end != nil {
			return out.end(*end)
		}
		if err := wait(ctx, e.ctx, changed); err != nil {
			return err
		}
	}
}

// progress returns how many tokens there are, the end marker if the stream has
// ended, and a channel that is closed at the next change.
func (e *Engine) progress(s *stream) (int, *engineapi.Chunk, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.reason == "" {
		return s.tokens, nil, s.changed
	}
	end := s.endChunk()
	return s.tokens, &end, nil
}

func wait(request, engine context.Context, changed <-chan struct{}) error {
	select {
	case <-request.Done():
		return request.Err()
	case <-engine.Done():
		return engine.Err()
	case <-changed:
		return nil
	}
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// statusOf is the status of a refusal.
func statusOf(reason string) int {
	switch reason {
	case engineapi.ReasonDuplicate, engineapi.ReasonWrongModel, engineapi.ReasonStaleFencing:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func refuse(w http.ResponseWriter, status int, reason string, notRun bool) {
	if notRun {
		w.Header().Set(engineapi.HeaderNotRun, "1")
	}
	detail := strings.ReplaceAll(reason, "_", " ")
	writeJSON(w, status, engineapi.Refusal{Reason: reason, Detail: "the engine refused: " + detail})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
