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
	"github.com/plantainrun/plantainrun/internal/openai"
	"github.com/plantainrun/plantainrun/internal/rules"
)

func (h *Handler) completions(w http.ResponseWriter, r *http.Request) { h.complete(w, r, false) }

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) { h.complete(w, r, true) }

func (h *Handler) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	who, err := h.identify(r)
	w.Header().Set(HeaderRequestID, who.id)
	if err != nil {
		h.fail(w, err)
		return
	}
	body, err := h.readBody(w, r)
	if err != nil {
		h.fail(w, err)
		return
	}
	asked, err := parseRequest(body, chat)
	if err != nil {
		h.fail(w, err)
		return
	}
	req, err := h.request(who, asked, chat)
	if err != nil {
		h.fail(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	out := newWriter(w, req, chat)
	if asked.Stream {
		h.stream(ctx, out, req)
		return
	}
	h.whole(ctx, out, req)
}

func parseRequest(body []byte, chat bool) (*openai.Request, error) {
	var asked openai.Request
	if err := json.Unmarshal(body, &asked); err != nil {
		return nil, badJSON(err)
	}
	bad := func(message, remedy string) (*openai.Request, error) {
		return nil, apierror.NotRun(apierror.KindBadRequest, remedy, "%s", message)
	}
	switch {
	case asked.Model == "":
		return bad("the request names no model", "set \"model\"")
	case chat && len(asked.Messages) == 0:
		return bad("the chat has no messages", "set \"messages\"")
	case !chat && asked.Prompt == "":
		return bad("the prompt is empty", "set \"prompt\"")
	case asked.N != nil && *asked.N != 1:
		return bad("only one answer per request is served", "leave \"n\" out")
	case asked.MaxTokens != nil && *asked.MaxTokens <= 0:
		return bad("max_tokens is not positive", "give a number above zero")
	}
	return &asked, nil
}

func badJSON(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return apierror.NotRun(apierror.KindBadRequest, "send the type that the API reference gives", "field %q has type %s", kind.Field, kind.Value)
	}
	return apierror.NotRun(apierror.KindBadRequest, "send one valid JSON object", "the body cannot be read: %s", err)
}

func (h *Handler) request(who identity, asked *openai.Request, chat bool) (completion.Request, error) {
	prompt := asked.Prompt
	if chat {
		prompt = openai.ChatPrompt(asked.Messages)
	}
	maxTokens := h.Limits.OutputTokens
	if asked.MaxTokens != nil {
		maxTokens = *asked.MaxTokens
	}
	if maxTokens > h.Limits.OutputTokens {
		return completion.Request{}, apierror.NotRun(apierror.KindBadRequest, "ask for fewer tokens", "max_tokens is over the limit of %d", h.Limits.OutputTokens)
	}
	limit := h.limitFor(who, h.classOf(prompt))
	return completion.Request{
		ID: who.id, Partner: who.partner, Organisation: who.org,
		Model: asked.Model, Adapter: asked.Adapter, Prompt: prompt, MaxTokens: maxTokens, Stop: asked.Stop,
		Arrival: who.arrival, Deadline: who.arrival.Add(limit),
	}, nil
}

func (h *Handler) classOf(prompt string) rules.Class {
	return rules.ClassOf(int(float64(len(prompt)) / h.Limits.BytesPerToken))
}

// whole answers with one JSON object once the answer is complete.
func (h *Handler) whole(ctx context.Context, out *writer, req completion.Request) {
	var text strings.Builder
	sink := &wholeSink{text: &text, first: h.firstToken(req)}
	result, err := h.Runner.Run(ctx, req, sink)
	if err != nil {
		h.fail(out.w, err)
		return
	}
	h.Observer.Finished(h.classOf(req.Prompt), req.Partner, h.Clock.Now().Sub(req.Arrival))
	writeJSON(out.w, http.StatusOK, out.wholeResponse(text.String(), result))
}

// firstToken returns a function that records the first token once.
func (h *Handler) firstToken(req completion.Request) func() {
	seen := false
	return func() {
		if seen {
			return
		}
		seen = true
		h.Observer.FirstToken(h.classOf(req.Prompt), req.Partner, h.Clock.Now().Sub(req.Arrival))
	}
}

// wholeSink collects the answer, so that another run may start over.
type wholeSink struct {
	text  *strings.Builder
	first func()
}

// Token appends text to the answer.
func (s *wholeSink) Token(text string) error {
	s.first()
	s.text.WriteString(text)
	return nil
}

// Reset drops the collected text.
func (s *wholeSink) Reset() bool {
	s.text.Reset()
	return true
}

// writer knows the form of one request's answer.
type writer struct {
	w       http.ResponseWriter
	req     completion.Request
	chat    bool
	created int64
}

func newWriter(w http.ResponseWriter, req completion.Request, chat bool) *writer {
	return &writer{w: w, req: req, chat: chat, created: req.Arrival.Truncate(time.Second).Unix()}
}

func (o *writer) response(object string, choice openai.Choice) openai.Response {
	return openai.Response{ID: o.req.ID, Object: object, Created: o.created, Model: o.req.Model, Choices: []openai.Choice{choice}}
}

func (o *writer) wholeResponse(text string, result completion.Result) openai.Response {
	choice := openai.Choice{FinishReason: &result.FinishReason}
	object := openai.ObjectCompletion
	if o.chat {
		object = openai.ObjectChat
		choice.Message = &openai.ResponseMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	resp := o.response(object, choice)
	resp.Usage = usageOf(result)
	return resp
}

func usageOf(result completion.Result) *openai.Usage {
	u := result.Usage
	return &openai.Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.OutputTokens, TotalTokens: u.PromptTokens + u.OutputTokens}
}
