package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/completion"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/openai"
	"github.com/plantainrun/plantainrun/internal/rules"
)

func (h *Handler) completions(w http.ResponseWriter, r *http.Request) { h.complete(w, r, false) }

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) { h.complete(w, r, true) }

func (h *Handler) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	meta, err := h.authenticate(r)
	w.Header().Set(HeaderRequestID, meta.id)
	if err != nil {
		h.writeError(w, err)
		return
	}
	held := h.Memory.Hold(membudget.RequestBody)
	defer held.Release()
	body, err := h.readBody(w, r, &held)
	if err != nil {
		h.writeError(w, err)
		return
	}
	parsed, err := parseRequest(body, chat)
	if err != nil {
		h.writeError(w, err)
		return
	}
	req, err := h.completionRequest(meta, parsed, chat)
	if err != nil {
		h.writeError(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	builder := newResponseBuilder(w, req, chat)
	if parsed.Stream {
		h.serveStream(ctx, builder, req)
		return
	}
	h.serveBuffered(ctx, builder, req)
}

func parseRequest(body []byte, chat bool) (*openai.Request, error) {
	var parsed openai.Request
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, jsonError(err)
	}
	badRequest := func(message, remedy string) (*openai.Request, error) {
		return nil, apierror.NotRun(apierror.KindBadRequest, remedy, "%s", message)
	}
	switch {
	case parsed.Model == "":
		return badRequest("the request names no model", "set \"model\"")
	case chat && len(parsed.Messages) == 0:
		return badRequest("the chat has no messages", "set \"messages\"")
	case !chat && parsed.Prompt == "":
		return badRequest("the prompt is empty", "set \"prompt\"")
	case parsed.N != nil && *parsed.N != 1:
		return badRequest("only one answer per request is served", "leave \"n\" out")
	case parsed.MaxTokens != nil && *parsed.MaxTokens <= 0:
		return badRequest("max_tokens is not positive", "give a number above zero")
	}
	return &parsed, nil
}

func jsonError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return apierror.NotRun(apierror.KindBadRequest, "send the type that the API reference gives", "field %q has type %s", typeErr.Field, typeErr.Value)
	}
	return apierror.NotRun(apierror.KindBadRequest, "send one valid JSON object", "the body cannot be read: %s", err)
}

func (h *Handler) completionRequest(meta requestMeta, parsed *openai.Request, chat bool) (completion.Request, error) {
	prompt := parsed.Prompt
	if chat {
		prompt = openai.ChatPrompt(parsed.Messages)
	}
	maxTokens := h.Limits.MaxOutputTokens
	if parsed.MaxTokens != nil {
		maxTokens = *parsed.MaxTokens
	}
	if maxTokens > h.Limits.MaxOutputTokens {
		return completion.Request{}, apierror.NotRun(apierror.KindBadRequest, "ask for fewer tokens", "max_tokens is over the limit of %d", h.Limits.MaxOutputTokens)
	}
	limit := h.effectiveTimeLimit(meta, h.promptClass(prompt))
	return completion.Request{
		ID: meta.id, Partner: meta.partner, Organisation: meta.org,
		Model: parsed.Model, Adapter: parsed.Adapter, Prompt: prompt, MaxTokens: maxTokens, Stop: parsed.Stop,
		Arrival: meta.arrival, Deadline: meta.arrival.Add(limit),
	}, nil
}

func (h *Handler) promptClass(prompt string) rules.Class {
	return rules.ClassOf(int(float64(len(prompt)) / h.Limits.DefaultBytesPerToken))
}

// serveBuffered responds with one JSON object after the completion has ended.
func (h *Handler) serveBuffered(ctx context.Context, builder *responseBuilder, req completion.Request) {
	var text strings.Builder
	sink := &bufferedSink{text: &text, onFirstToken: h.firstTokenRecorder(req)}
	result, err := h.Runner.Run(ctx, req, sink)
	if err != nil {
		h.writeError(builder.w, err)
		return
	}
	h.Observer.RecordDuration(h.promptClass(req.Prompt), req.Partner, h.Clock.Now().Sub(req.Arrival))
	writeJSON(builder.w, http.StatusOK, builder.fullResponse(text.String(), result))
}

// firstTokenRecorder returns a function that records the time to the first token
// when it is first called. Later calls have no effect.
func (h *Handler) firstTokenRecorder(req completion.Request) func() {
	recorded := false
	return func() {
		if recorded {
			return
		}
		recorded = true
		h.Observer.RecordTimeToFirstToken(h.promptClass(req.Prompt), req.Partner, h.Clock.Now().Sub(req.Arrival))
	}
}

// bufferedSink collects the completion's text. As nothing was sent yet, another
// attempt can start over.
type bufferedSink struct {
	text         *strings.Builder
	onFirstToken func()
}

// Token appends text to the completion.
func (s *bufferedSink) Token(text string) error {
	s.onFirstToken()
	s.text.WriteString(text)
	return nil
}

// Reset discards the collected text. It always returns true.
func (s *bufferedSink) Reset() bool {
	s.text.Reset()
	return true
}

// responseBuilder builds the response objects of one request, in the format of the
// completions or the chat completions endpoint.
type responseBuilder struct {
	w       http.ResponseWriter
	req     completion.Request
	chat    bool
	created int64
}

func newResponseBuilder(w http.ResponseWriter, req completion.Request, chat bool) *responseBuilder {
	return &responseBuilder{w: w, req: req, chat: chat, created: req.Arrival.Truncate(time.Second).Unix()}
}

func (b *responseBuilder) response(object string, choice openai.Choice) openai.Response {
	return openai.Response{ID: b.req.ID, Object: object, Created: b.created, Model: b.req.Model, Choices: []openai.Choice{choice}}
}

func (b *responseBuilder) fullResponse(text string, result completion.Result) openai.Response {
	choice := openai.Choice{FinishReason: &result.FinishReason}
	object := openai.ObjectCompletion
	if b.chat {
		object = openai.ObjectChat
		choice.Message = &openai.ResponseMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	resp := b.response(object, choice)
	resp.Usage = usageOf(result)
	return resp
}

func usageOf(result completion.Result) *openai.Usage {
	u := result.Usage
	return &openai.Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.OutputTokens, TotalTokens: u.PromptTokens + u.OutputTokens}
}
