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

// writeStall is how long a caller may leave its stream unread before it is cut off.
const writeStall = 30 * time.Second

// stream answers with server-sent events. A stream is whole only with its
// finish reason and [DONE]; one that breaks off ends with an error event and
// an aborted connection, so that no reader can take it for a whole answer.
func (h *Handler) stream(ctx context.Context, out *writer, req completion.Request) {
	sink := &streamSink{out: out, ctl: http.NewResponseController(out.w), first: h.firstToken(req)}
	result, err := h.Runner.Run(ctx, req, sink)
	if err != nil && !sink.started {
		h.fail(out.w, err)
		return
	}
	if err != nil {
		h.breakOff(sink, err)
	}
	h.Observer.Finished(h.classOf(req.Prompt), req.Partner, h.Clock.Now().Sub(req.Arrival))
	if sink.finish(result) != nil {
		panic(http.ErrAbortHandler)
	}
}

// breakOff sends the error and aborts the connection.
func (h *Handler) breakOff(sink *streamSink, err error) {
	e := apierror.From(err)
	h.Observer.Refused(e.Kind)
	_ = sink.event(errorBody(e))
	panic(http.ErrAbortHandler)
}

// streamSink sends each token as it comes.
type streamSink struct {
	out     *writer
	ctl     *http.ResponseController
	first   func()
	started bool
}

// Token sends text as one event.
func (s *streamSink) Token(text string) error {
	s.first()
	return s.event(s.out.chunk(text, nil, nil))
}

// Reset reports whether nothing was sent yet.
func (s *streamSink) Reset() bool { return !s.started }

func (s *streamSink) finish(result completion.Result) error {
	if err := s.event(s.out.chunk("", &result.FinishReason, usageOf(result))); err != nil {
		return err
	}
	return s.line([]byte(openai.DoneMarker))
}

func (s *streamSink) event(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.line(body)
}

func (s *streamSink) line(body []byte) error {
	if !s.started {
		s.started = true
		s.out.w.Header().Set("Content-Type", "text/event-stream")
		s.out.w.Header().Set("Cache-Control", "no-store")
		s.out.w.WriteHeader(http.StatusOK)
	}
	_ = s.ctl.SetWriteDeadline(time.Now().Add(writeStall))
	buf := make([]byte, 0, len(body)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, body...)
	buf = append(buf, '\n', '\n')
	if _, err := s.out.w.Write(buf); err != nil {
		return err
	}
	return s.ctl.Flush()
}

// chunk is one event of the stream; with a reason it is the last one.
func (o *writer) chunk(text string, reason *string, usage *openai.Usage) openai.Response {
	choice := openai.Choice{FinishReason: reason}
	object := openai.ObjectCompletion
	if o.chat {
		object = openai.ObjectChatChunk
		choice.Delta = &openai.ResponseMessage{Content: text}
	} else {
		choice.Text = &text
	}
	resp := o.response(object, choice)
	resp.Usage = usage
	return resp
}
