package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/completion"
	"github.com/plantainrun/plantainrun/internal/openai"
)

// streamWriteTimeout is how long one write to a stream may block on a caller that
// does not read before the stream is aborted.
const streamWriteTimeout = 30 * time.Second

// serveStream responds with server-sent events. A complete stream ends with the
// finish reason and [DONE]. A stream that fails ends with an error event and an
// aborted connection, so that no client can mistake it for a complete response.
func (h *Handler) serveStream(ctx context.Context, builder *responseBuilder, req completion.Request) {
	sink := &streamSink{builder: builder, ctl: http.NewResponseController(builder.w), onFirstToken: h.firstTokenRecorder(req)}
	result, err := h.Runner.Run(ctx, req, sink)
	if err != nil && !sink.started {
		h.writeError(builder.w, err)
		return
	}
	if err != nil {
		h.abortStream(sink, err)
	}
	h.Observer.RecordDuration(h.promptClass(req.Prompt), req.Partner, h.Clock.Now().Sub(req.Arrival))
	if sink.finish(result) != nil {
		panic(http.ErrAbortHandler)
	}
}

// abortStream sends err as an error event and aborts the connection.
func (h *Handler) abortStream(sink *streamSink, err error) {
	e := apierror.From(err)
	h.Observer.RecordError(e.Kind)
	_ = sink.sendEvent(errorBody(e))
	panic(http.ErrAbortHandler)
}

// streamSink sends each token as soon as it arrives.
type streamSink struct {
	builder      *responseBuilder
	ctl          *http.ResponseController
	onFirstToken func()
	started      bool
}

// Token sends text as a server-sent event.
func (s *streamSink) Token(text string) error {
	s.onFirstToken()
	return s.sendEvent(s.builder.chunk(text, nil, nil))
}

// Reset reports whether the completion can start over because nothing was sent yet.
func (s *streamSink) Reset() bool { return !s.started }

func (s *streamSink) finish(result completion.Result) error {
	if err := s.sendEvent(s.builder.chunk("", &result.FinishReason, usageOf(result))); err != nil {
		return err
	}
	return s.writeSSE([]byte(openai.DoneMarker))
}

func (s *streamSink) sendEvent(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeSSE(body)
}

func (s *streamSink) writeSSE(body []byte) error {
	if !s.started {
		s.started = true
		s.builder.w.Header().Set("Content-Type", "text/event-stream")
		s.builder.w.Header().Set("Cache-Control", "no-store")
		s.builder.w.WriteHeader(http.StatusOK)
	}
	_ = s.ctl.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	buf := make([]byte, 0, len(body)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, body...)
	buf = append(buf, '\n', '\n')
	if _, err := s.builder.w.Write(buf); err != nil {
		return err
	}
	return s.ctl.Flush()
}

// chunk returns the object of one stream event. The last event of a complete
// stream has a finish reason.
func (b *responseBuilder) chunk(text string, reason *string, usage *openai.Usage) openai.Response {
	choice := openai.Choice{FinishReason: reason}
	object := openai.ObjectCompletion
	if b.chat {
		object = openai.ObjectChatChunk
		choice.Delta = &openai.ResponseMessage{Content: text}
	} else {
		choice.Text = &text
	}
	resp := b.response(object, choice)
	resp.Usage = usage
	return resp
}
