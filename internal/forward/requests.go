package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/internal/forward/forwardpb"
	"github.com/plantainrun/plantainrun/internal/httpwire"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// methodRequest is the stream method of forwarded requests.
const methodRequest = mesh.ForwardPrefix + "request"

const (
	// maxOffers is how many other hosts one request is offered to.
	maxOffers = 3
	// maxForwardTime is the deadline of a stream whose caller gave no timeout.
	maxForwardTime = time.Minute
)

// Stream is a stream of messages between two hosts, as *mesh.Stream implements it.
type Stream interface {
	Send(proto.Message) error
	Recv(proto.Message) error
	CloseSend() error
	Close() error
	SetDeadline(time.Time) error
	CancelOnPeerClose(context.Context) (context.Context, context.CancelFunc)
}

// Opener opens a stream to another host. All its errors mean that nothing was sent.
type Opener func(ctx context.Context, host, method string) (Stream, error)

// MeshOpener returns an Opener that uses m.
func MeshOpener(m Mesh) Opener {
	return func(ctx context.Context, host, method string) (Stream, error) {
		s, err := m.Open(ctx, host, method)
		if err != nil {
			return nil, err
		}
		return s, nil
	}
}

// RequestForwarder offers requests to other hosts. It implements relay.Forwarder and is
// safe for concurrent use.
type RequestForwarder struct {
	self    HostInfo
	open    Opener
	helpers *helperPicker
	log     *zap.Logger
}

// NewRequestForwarder returns a forwarder of a host. hosts returns the other known hosts.
func NewRequestForwarder(self HostInfo, open Opener, hosts func() []HostInfo, log *zap.Logger) *RequestForwarder {
	return &RequestForwarder{self: self, open: open, helpers: newHelperPicker(self, hosts), log: log}
}

// Forward offers a request to other hosts until one takes it. A host that cannot help says
// so before it has done anything.
func (f *RequestForwarder) Forward(ctx context.Context, call relay.ForwardCall) (*relay.Forwarded, error) {
	call.Host = f.self.ID
	for _, host := range f.helpers.pick(maxOffers, call.Permits) {
		out, err := f.offer(ctx, host, call)
		if err != nil || out != nil {
			return out, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, relay.ErrNoHost
}

// offer offers a request to one host. It returns nil if the host does not take it.
func (f *RequestForwarder) offer(ctx context.Context, host string, call relay.ForwardCall) (*relay.Forwarded, error) {
	s, err := f.open(ctx, host, methodRequest)
	if err != nil {
		f.logDeclined(call, host, err.Error())
		if ctx.Err() == nil {
			f.helpers.exclude(host, openErrorCooldown(err))
		}
		return nil, nil
	}
	end := f.helpers.start(host)
	release := sync.OnceFunc(func() { _ = s.Close(); end() })
	stop := context.AfterFunc(ctx, release)
	f.log.Info("request forwarded", zap.String("request", call.Request.ID), zap.String("forwarded_to", host))
	first, err := exchange(s, call)
	if err != nil {
		stop()
		release()
		if errors.Is(err, mesh.ErrNotSent) {
			f.helpers.exclude(host, lostCooldown)
			return nil, nil
		}
		return nil, &relay.SendError{MaybeSent: true, Cause: hostLostError(host, err)}
	}
	if refusal := first.GetRefusal(); refusal != nil {
		stop()
		release()
		return f.handleRefusal(call, host, decodeRefusal(refusal)), nil
	}
	body := &responseBody{ctx: ctx, stream: s, host: host, release: func() { stop(); release() }}
	return &relay.Forwarded{Host: host, Response: decodeHead(first.GetHead(), body)}, nil
}

// exchange sends the request and returns the first event of the response: a refusal or
// the head.
func exchange(s Stream, call relay.ForwardCall) (*forwardpb.RequestEvent, error) {
	if err := s.SetDeadline(requestDeadline(call.Request).Add(responseMargin)); err != nil {
		return nil, err
	}
	if err := s.Send(encodeRequest(call)); err != nil {
		return nil, err
	}
	if err := s.CloseSend(); err != nil {
		return nil, err
	}
	var first forwardpb.RequestEvent
	if err := s.Recv(&first); err != nil {
		return nil, err
	}
	if err := checkFirst(&first); err != nil {
		return nil, err
	}
	return &first, nil
}

// checkFirst checks that the first event of a response is a refusal or a head that can be passed
// on.
func checkFirst(first *forwardpb.RequestEvent) error {
	if refusal := first.GetRefusal(); refusal != nil {
		if refusal.GetStatus() < http.StatusBadRequest {
			return mesh.ErrProtocol
		}
		return httpwire.CheckHead(int(refusal.GetStatus()), nil)
	}
	head := first.GetHead()
	if head == nil {
		return mesh.ErrProtocol
	}
	return httpwire.CheckHead(int(head.GetStatus()), decodeHeader(head.GetHeader()))
}

// handleRefusal returns the refusal, or nil if another host may take the request.
func (f *RequestForwarder) handleRefusal(call relay.ForwardCall, host string, refusal relay.Refusal) *relay.Forwarded {
	if !refusal.Reason.OnlyHere() {
		return &relay.Forwarded{Host: host, Refusal: &refusal}
	}
	f.logDeclined(call, host, string(refusal.Reason))
	f.helpers.exclude(host, refusalCooldown(refusal.Reason))
	return nil
}

func (f *RequestForwarder) logDeclined(call relay.ForwardCall, host, cause string) {
	f.log.Info("host does not take the request", zap.String("request", call.Request.ID), zap.String("offered_to", host), zap.String("cause", cause))
}

func refusalCooldown(reason relay.Reason) time.Duration {
	if reason == relay.ReasonOverloaded {
		return overloadedCooldown
	}
	return unableCooldown
}

func openErrorCooldown(err error) time.Duration {
	if errors.Is(err, mesh.ErrBusy) {
		return overloadedCooldown
	}
	return lostCooldown
}

// responseBody reads the body of a response from a stream. It returns io.EOF only after
// the end of the whole response.
type responseBody struct {
	ctx     context.Context // of the request; once it has ended, nothing counts any more
	stream  Stream
	host    string
	release func()
	chunk   []byte
	err     error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.chunk) == 0 && b.err == nil {
		b.receive()
	}
	if len(b.chunk) == 0 {
		return 0, b.err
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}

func (b *responseBody) receive() {
	var event forwardpb.RequestEvent
	err := b.stream.Recv(&event)
	if b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	if err != nil {
		b.err = hostLostError(b.host, err)
		return
	}
	switch e := event.GetEvent().(type) {
	case *forwardpb.RequestEvent_Chunk:
		b.chunk = e.Chunk
	case *forwardpb.RequestEvent_End:
		b.err = io.EOF
	default:
		b.err = hostLostError(b.host, mesh.ErrProtocol)
	}
}

// Close ends the request at the other host if it is still in progress.
func (b *responseBody) Close() error {
	b.release()
	return nil
}

func requestDeadline(req *relay.Request) time.Time {
	if req.Timeout == 0 {
		return time.Now().Add(maxForwardTime)
	}
	return req.Arrived.Add(req.Timeout)
}

func encodeRequest(call relay.ForwardCall) *forwardpb.RequestCall {
	req := call.Request
	return &forwardpb.RequestCall{
		Origin: call.Host, Id: req.ID, Method: req.Method, Uri: req.URI, Path: req.Path, VirtualHost: req.Host,
		Header: encodeHeader(req.Header), Body: req.Body, Key: req.Key,
		WaitedUs: time.Since(req.Arrived).Microseconds(), TimeoutMs: req.Timeout.Milliseconds(),
		PromptTokens: int32(req.PromptTokens), SharedParts: req.SharedParts, //nolint:gosec // a prompt has fewer tokens
		MaxOutputTokens: int32(req.MaxOutputTokens), ExpectedOutputTokens: int32(req.ExpectedOutputTokens), //nolint:gosec // as above
		LastEventId: call.LastEventID, Resumes: call.Resumes,
		Service: call.Service, ConfigVersion: call.ConfigVersion, TriedTargets: call.TriedTargets,
	}
}

func decodeRequest(msg *forwardpb.RequestCall) *relay.Request {
	return &relay.Request{
		ID: msg.GetId(), Method: msg.GetMethod(), URI: msg.GetUri(), Path: msg.GetPath(), Host: msg.GetVirtualHost(),
		Header: decodeHeader(msg.GetHeader()), Body: msg.GetBody(), Key: msg.GetKey(),
		Arrived:      time.Now().Add(-time.Duration(msg.GetWaitedUs()) * time.Microsecond),
		Timeout:      time.Duration(msg.GetTimeoutMs()) * time.Millisecond,
		PromptTokens: int(msg.GetPromptTokens()), SharedParts: msg.GetSharedParts(),
		MaxOutputTokens: int(msg.GetMaxOutputTokens()), ExpectedOutputTokens: int(msg.GetExpectedOutputTokens()),
		LastEventID: msg.GetLastEventId(),
		Origin: &relay.Origin{
			Host: msg.GetOrigin(), Service: msg.GetService(), ConfigVersion: msg.GetConfigVersion(),
			TriedTargets: msg.GetTriedTargets(), Resumes: msg.GetResumes(),
		},
	}
}

func decodeHead(head *forwardpb.ResponseHead, body io.ReadCloser) *relay.Response {
	return &relay.Response{
		Status: int(head.GetStatus()), Header: decodeHeader(head.GetHeader()), Authentic: true, Stream: head.GetStream(), Body: body,
	}
}

func encodeRefusal(r relay.Refusal) *forwardpb.RequestRefusal {
	return &forwardpb.RequestRefusal{
		Status: int32(r.Status), //nolint:gosec // an HTTP status
		Reason: string(r.Reason), RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

func decodeRefusal(msg *forwardpb.RequestRefusal) relay.Refusal {
	return relay.Refusal{
		Status: int(msg.GetStatus()), Reason: relay.Reason(msg.GetReason()),
		RetryAfter: time.Duration(msg.GetRetryAfterMs()) * time.Millisecond,
	}
}
