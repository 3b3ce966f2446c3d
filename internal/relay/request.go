// Package relay takes one request of a caller from its arrival to its final
// answer: it finds the route and the organisation, chooses targets, makes
// attempts within the budgets, and hands on the answer or the events of a
// stream. It speaks no protocol itself; Transport and Reply are implemented by
// the adapter of a deployment.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// Request is a caller's request, read in full.
type Request struct {
	ID      string // of this attempt of the caller
	Method  string
	URI     string // path and query as sent
	Path    string // decoded, selects the route
	Host    string // virtual host, selects the route
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Timeout is how long the caller waits from Arrived on; 0 if it did not say.
	Timeout time.Duration
	Key     string // credential, empty if none was sent

	PromptTokens         int
	MaxOutputTokens      int // most output tokens
	ExpectedOutputTokens int // expected output tokens, 0 if not given
	LastEventID          string
}

// Call is one attempt at a target.
type Call struct {
	Request      *Request
	Target       catalog.Target
	Organisation string // of the caller's key, empty on public routes
	Remaining    time.Duration
	// LastEventID is the id of the last event that the caller has, empty for none.
	LastEventID string
	Helpers     []Helper
	Urgency     Urgency
}

// Urgency says which requests an engine should admit first.
type Urgency uint8

const (
	// UrgencyUnset leaves the order to the engine.
	UrgencyUnset Urgency = iota
	// UrgencyTimely is for requests that are expected in time.
	UrgencyTimely
	// UrgencyLate is for requests that will be late in any case.
	UrgencyLate
)

// Helper is an engine that reads a part of the prompt.
type Helper struct {
	Target        catalog.Target
	ReservationID string // its memory, empty for none
}

// Response is what a target answered. The caller of Send closes Body.
type Response struct {
	Status int
	Header http.Header // end to end, to be handed on
	// Authentic means that the answer carries the target's signature.
	Authentic bool
	// NotExecuted means the target states that it did not run the request.
	NotExecuted bool
	// Misdirected means that another process holds the target's address.
	Misdirected bool
	Stream      bool // the body is a stream of events
	// FaultAddr is the address of the engine at fault, empty if not stated.
	FaultAddr string
	Body      io.ReadCloser
}

// SendError is an attempt without a usable answer.
type SendError struct {
	// MaybeSent means that the request may have reached the target.
	MaybeSent bool
	Cause     error
}

// Error names what happened and whether the request may be sent again.
func (e *SendError) Error() string {
	if e.MaybeSent {
		return "no answer, the request may have run: " + e.Cause.Error()
	}
	return "not sent, try another target: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Transport reaches targets.
type Transport interface {
	// Send makes one attempt. The error is a *SendError.
	Send(ctx context.Context, call Call) (*Response, error)
	// Reserve sets engine memory aside, or renews it, for the given time from
	// its arrival. The error is ErrNoMemory if there is none.
	Reserve(ctx context.Context, target catalog.Target, id string, tokens int, lease time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, target catalog.Target, id string) error
}

// ResponseWriter is the way back to the caller. Its methods are called by one goroutine.
type ResponseWriter interface {
	// WriteRefusal sends a final answer of the host's own.
	WriteRefusal(Refusal)
	// WriteResponse sends a whole answer of a target.
	WriteResponse(status int, header http.Header, body []byte)
	// WriteHeader starts an answer whose body follows in pieces.
	WriteHeader(status int, header http.Header)
	// WriteChunk sends a part of the body at once.
	WriteChunk(p []byte) error
	// Abort breaks the connection, so that nobody takes the answer for whole.
	Abort()
}
