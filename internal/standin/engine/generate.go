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

const maxBodyBytes = 64 << 20 // limit of a request body, in bytes

// generate submits a prompt and streams the response.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engineapi.GenerateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil || req.ID == "" {
		refuse(w, http.StatusBadRequest, engineapi.ReasonInvalid, true)
		return
	}
	if e.faults.matchesCrashMarker(req.Prompt) {
		e.crash(e.faults.crashRestartDelay())
		panic(http.ErrAbortHandler)
	}
	s, reason := e.submit(req)
	if reason != "" {
		refuse(w, refusalStatus(reason), reason, reason != engineapi.ReasonDuplicate)
		return
	}
	e.serveStream(w, r, s, 0)
}

// submit returns the admitted stream, or the reason why it was rejected.
func (e *Engine) submit(req engineapi.GenerateRequest) (*stream, string) {
	promptHash, prefixHashes := PromptHash(req.Prompt), engineapi.PrefixHashes(req.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.wakeLoop()
	now := time.Now()
	e.advance(now)
	e.finishLoad(now)
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
		PrefixHashes: prefixHashes, BlockTokens: int(engineapi.PrefixBlockBytes / e.settings.BytesPerToken),
		ReserveTokens: e.reservation(req, tokens),
	}
	if reason := refusalReason(e.model.Submit(now, job)); reason != "" {
		if reason == engineapi.ReasonLeaving {
			e.counts.Refused++
		}
		return nil, reason
	}
	s := newStream(req.ID, promptHash, tokens)
	e.streams[req.ID] = s
	e.counts.Submitted[req.ID]++
	return s, ""
}

func (e *Engine) promptTokens(prompt string) int {
	return max(1, int(math.Ceil(float64(len(prompt))/e.settings.BytesPerToken)))
}

// reservation returns the tokens of memory to reserve on this engine: the output
// limit plus the whole prompt, or plus this engine's part if the KV memory of the
// prompt is split over several engines.
func (e *Engine) reservation(req engineapi.GenerateRequest, promptTokens int) int {
	for _, part := range req.Parts {
		if part.Target == e.settings.ID {
			return part.Tokens + req.MaxTokens
		}
	}
	return promptTokens + req.MaxTokens
}

func refusalReason(err error) string {
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

// resumeStream sends the rest of a stream from the requested offset on.
func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
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
	e.serveStream(w, r, s, offset)
}

// cancelStream ends a stream.
func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
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
	e.wakeLoop()
	w.WriteHeader(http.StatusNoContent)
}

// serveStream writes the chunks from offset on as they are generated.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := e.faults.nextResponse(w)
	flush(w)
	err := e.writeStream(r.Context(), out, s, offset)
	if err != nil && !errors.Is(err, errTruncated) {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) writeStream(ctx context.Context, out *responseWriter, s *stream, offset int) error {
	for next := offset; ; {
		tokens, end, changed := e.streamProgress(s)
		for ; next < tokens; next++ {
			chunk := engineapi.Chunk{ID: s.id, Offset: next, Token: Token(s.promptHash, next)}
			if err := out.writeToken(ctx, chunk); err != nil {
				return err
			}
		}
		if end != nil && end.FinishReason == reasonCrashed {
			return errDisconnected
		}
		if end != nil {
			return out.writeEnd(*end)
		}
		if err := waitForChange(ctx, e.ctx, changed); err != nil {
			return err
		}
	}
}

// streamProgress returns the number of tokens generated so far and either the end
// marker, if the stream has ended, or a channel that is closed at the next change.
func (e *Engine) streamProgress(s *stream) (int, *engineapi.Chunk, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.finishReason == "" {
		return s.outputTokens, nil, s.changed
	}
	end := s.endMarker()
	return s.outputTokens, &end, nil
}

func waitForChange(requestCtx, engineCtx context.Context, changed <-chan struct{}) error {
	select {
	case <-requestCtx.Done():
		return requestCtx.Err()
	case <-engineCtx.Done():
		return engineCtx.Err()
	case <-changed:
		return nil
	}
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(reason string) int {
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
