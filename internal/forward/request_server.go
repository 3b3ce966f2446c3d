package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/plantainrun/plantainrun/internal/forward/forwardpb"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// maxRequestsOfOthers is how many forwarded requests a host has in progress at a time, so
// that its own callers are served as before.
const maxRequestsOfOthers = 64

const eventStreamType = "text/event-stream"

// RequestHandler serves a request and writes its final response. *relay.Relay implements
// it.
type RequestHandler interface {
	Serve(ctx context.Context, req *relay.Request, writer relay.ResponseWriter)
}

// RequestServer serves requests that other hosts forward. It is safe for concurrent use.
type RequestServer struct {
	handler  RequestHandler
	draining func() bool
	active   atomic.Int64
}

// NewRequestServer returns a server that passes requests to handler and refuses them while
// draining reports true.
func NewRequestServer(handler RequestHandler, draining func() bool) *RequestServer {
	return &RequestServer{handler: handler, draining: draining}
}

// Register registers the server on m.
func (r *RequestServer) Register(m Mesh) {
	m.Handle(methodRequest, func(ctx context.Context, s *mesh.Stream) error { return r.Serve(ctx, s) })
}

// Serve serves the request of one stream. The request ends when the host that forwarded
// it closes the stream.
func (r *RequestServer) Serve(ctx context.Context, s Stream) error {
	writer := &streamWriter{stream: s}
	var msg forwardpb.RequestCall
	if err := s.Recv(&msg); errors.Is(err, membudget.ErrExhausted) {
		writer.WriteRefusal(relay.NewRefusal(relay.ReasonHostMemory))
		return writer.err
	} else if err != nil {
		return err
	}
	defer r.active.Add(-1)
	switch {
	case r.active.Add(1) > maxRequestsOfOthers:
		writer.WriteRefusal(relay.NewRefusal(relay.ReasonOverloaded))
		return writer.err
	case r.draining():
		writer.WriteRefusal(relay.NewRefusal(relay.ReasonDraining))
		return writer.err
	}
	ctx, stop := s.CancelOnPeerClose(ctx)
	defer stop()
	r.handler.Serve(ctx, decodeRequest(&msg), writer)
	return writer.finish()
}

// streamWriter writes a response to the host that forwarded the request. It implements
// relay.ResponseWriter.
type streamWriter struct {
	stream Stream
	open   bool  // a body is being written
	done   bool  // the response is whole
	err    error // the response could not be sent
}

// errIncomplete means that a response was given up before it was whole.
var errIncomplete = errors.New("the response is not whole")

// WriteRefusal writes a complete response of this host.
func (w *streamWriter) WriteRefusal(refusal relay.Refusal) {
	w.done = true
	w.send(&forwardpb.RequestEvent{Event: &forwardpb.RequestEvent_Refusal{Refusal: encodeRefusal(refusal)}})
}

// WriteResponse writes a complete response of a target.
func (w *streamWriter) WriteResponse(status int, header http.Header, body []byte) {
	w.writeHead(status, header, false)
	if len(body) > 0 {
		w.writeChunk(body)
	}
	w.end()
}

// WriteHeader starts a response whose body is written with WriteChunk.
func (w *streamWriter) WriteHeader(status int, header http.Header) {
	w.open = true
	w.writeHead(status, header, strings.HasPrefix(header.Get("Content-Type"), eventStreamType))
}

// WriteChunk writes a part of the body.
func (w *streamWriter) WriteChunk(p []byte) error {
	w.writeChunk(p)
	return w.err
}

// Begun reports whether any part of a response was written.
func (w *streamWriter) Begun() bool { return w.open || w.done }

// Abort leaves the response incomplete.
func (w *streamWriter) Abort() { w.open = false }

// finish ends a response that was written in chunks. It returns an error if the response
// is not whole.
func (w *streamWriter) finish() error {
	if w.open {
		w.end()
	}
	if w.err == nil && !w.done {
		return errIncomplete
	}
	return w.err
}

func (w *streamWriter) writeHead(status int, header http.Header, stream bool) {
	w.send(&forwardpb.RequestEvent{Event: &forwardpb.RequestEvent_Head{Head: &forwardpb.ResponseHead{
		Status: int32(status), //nolint:gosec // an HTTP status
		Header: encodeHeader(header), Stream: stream,
	}}})
}

func (w *streamWriter) writeChunk(p []byte) {
	w.send(&forwardpb.RequestEvent{Event: &forwardpb.RequestEvent_Chunk{Chunk: p}})
}

func (w *streamWriter) end() {
	w.open, w.done = false, true
	w.send(&forwardpb.RequestEvent{Event: &forwardpb.RequestEvent_End{End: &forwardpb.ResponseEnd{}}})
}

// send sends an event unless an earlier one has failed.
func (w *streamWriter) send(event *forwardpb.RequestEvent) {
	if w.err == nil {
		w.err = w.stream.Send(event)
	}
}
