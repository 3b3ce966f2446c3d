// Package relay processes one request of a caller from its arrival to its final
// response: it determines the route and the organisation, selects targets, makes
// attempts within the retry budget, and relays the response or the events of a
// stream. It is independent of the wire protocol; Transport and ResponseWriter
// are implemented by the adapter of a deployment.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// Request is a caller's request with its complete body.
type Request struct {
	ID      string // of this attempt by the caller
	Method  string
	URI     string // path and query as sent
	Path    string // decoded, selects the route
	Host    string // virtual host, selects the route
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Timeout is how long the caller waits, counted from Arrived; 0 if not given.
	Timeout time.Duration
	Key     string // credential, empty if none was sent

	PromptTokens         int
	SharedParts          []string // ids of the parts of the prompt that other prompts may share, in order
	MaxOutputTokens      int      // 0 if not given
	ExpectedOutputTokens int      // 0 if not given
	LastEventID          string
	// Origin is set if another host has forwarded the request.
	Origin *Origin
}

// minConfigVersion is the version of the configuration that is needed to judge the
// request: a host with an older one may lack its route or key.
func (r *Request) minConfigVersion() int64 {
	if r.Origin == nil {
		return 0
	}
	return r.Origin.ConfigVersion
}

// Call is one attempt to send a request to a target.
type Call struct {
	Request      *Request
	Target       catalog.Target
	Organisation string // of the caller's key, empty on public routes
	Remaining    time.Duration
	// LastEventID is the id of the last event that the caller has received, empty
	// for none.
	LastEventID string
	Helpers     []Helper
	Urgency     Urgency
	Rank        int // among timely requests; 0 for the most urgent ones
}

// Urgency tells an engine which requests to admit first.
type Urgency uint8

const (
	// UrgencyUnset leaves the admission order to the engine.
	UrgencyUnset Urgency = iota
	// UrgencyTimely is for requests that are expected to meet their objective.
	UrgencyTimely
	// UrgencyLate is for requests that are expected to miss their objective anyway.
	UrgencyLate
)

// Helper is an engine that prefills a part of the prompt.
type Helper struct {
	Target        catalog.Target
	ReservationID string // of its memory, empty if none is reserved
}

// Response is the response of a target. The caller of Send closes Body.
type Response struct {
	Status int
	Header http.Header // end-to-end headers, relayed to the caller
	// Authentic means that the response carries the target's signature.
	Authentic bool
	// NotExecuted means that the target declares it did not execute the request.
	NotExecuted bool
	// Misdirected means that the status tells that another process now uses the target's
	// address.
	Misdirected bool
	Stream      bool // the body is an event stream
	// FaultAddr is the address of the engine that caused the refusal, which may be
	// a helper; empty if not given.
	FaultAddr string
	// RateLimit is the rate of requests that the target accepts from all hosts.
	RateLimit placement.RateLimit
	// Leaving means that the target is about to end and wants no further requests.
	Leaving bool
	// RetryAfter is how long a target that refused the request wants no more from this
	// host; 0 if it does not say.
	RetryAfter time.Duration
	Body       io.ReadCloser
}

// Refused reports whether the request did not run, as the target says.
func (r *Response) Refused() bool { return r.outcome() == outcome.NotRun }

// outcome returns what the response says of the attempt. Another process at the target's address
// states by its status alone that it did not run the request, and does not sign that.
func (r *Response) outcome() outcome.Outcome {
	return outcome.OfResponse(r.Status, r.NotExecuted || (r.Misdirected && !r.Authentic))
}

// logFields tells in a log line whether the response is a refusal or has only the status of one.
func (r *Response) logFields() []zap.Field {
	return []zap.Field{zap.Int("status", r.Status), zap.Bool("states_not_run", r.NotExecuted), zap.Bool("signed", r.Authentic)}
}

// SendError is the error of an attempt that got no usable response.
type SendError struct {
	// MaybeSent means that the request may have reached the target.
	MaybeSent bool
	// Unacknowledged means that the data sent to the target's host were not acknowledged.
	Unacknowledged bool
	Cause          error
}

// placementResult is the result of an attempt that may have reached its target. e is nil
// for an error of another type.
func (e *SendError) placementResult() placement.Result {
	if e != nil && e.Unacknowledged {
		return placement.Unconnected
	}
	return placement.Unreachable
}

// Error returns the cause and whether the request may have been executed.
func (e *SendError) Error() string {
	if e.MaybeSent {
		return "no answer, the request may have run: " + e.Cause.Error()
	}
	return "request not sent, try another target: " + e.Cause.Error()
}

// Unwrap returns the cause for errors.Is and errors.As.
func (e *SendError) Unwrap() error { return e.Cause }

// Transport sends requests to targets and reserves engine memory.
type Transport interface {
	// Send makes one attempt. The error is a *SendError.
	Send(ctx context.Context, call Call) (*Response, error)
	// Reserve reserves engine memory or renews a reservation. The lease starts
	// when the call arrives at the engine. The error is ErrNoMemory if there is
	// not enough free memory, and a *SendError if the call may not have arrived.
	Reserve(ctx context.Context, target catalog.Target, id string, tokens int, lease time.Duration) error
	// Release releases a reservation.
	Release(ctx context.Context, target catalog.Target, id string) error
	// ReservationState asks an engine what it knows of a reservation. The answer may be some
	// hundred milliseconds old. The error means that the engine gave none.
	ReservationState(ctx context.Context, target catalog.Target, id string) (ReservationState, error)
	// Probe asks a target of a service for a sign of life that takes up no place there, if
	// it offers one.
	Probe(ctx context.Context, service *catalog.Service, target catalog.Target) error
}

// ReservationState is what an engine says of a reservation.
type ReservationState uint8

// The states of a reservation.
const (
	ReservationNotReported ReservationState = iota // the engine does not tell
	ReservationAbsent                              // the engine has none of that id
	ReservationIdle                                // no request uses it
	ReservationInUse
)

// ResponseWriter writes the response to the caller. Its methods are called by a
// single goroutine. A request for which nothing is written ends as by Abort.
type ResponseWriter interface {
	// WriteRefusal writes a complete response that the host itself gives.
	WriteRefusal(Refusal)
	// WriteResponse writes a complete response of a target.
	WriteResponse(status int, header http.Header, body []byte)
	// WriteHeader starts a response whose body is written with WriteChunk.
	WriteHeader(status int, header http.Header)
	// WriteChunk writes a part of the body and flushes it.
	WriteChunk(p []byte) error
	// Begun reports whether any part of a response was written.
	Begun() bool
	// Abort closes the connection, so that the caller can tell that the response
	// is incomplete.
	Abort()
}
