// Package forward sends work to other hosts: service calls to the owner of their
// ticket, prompts to a host of another failure domain, and closed ledgers to the
// hosts that store copies of them.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/forward/forwardpb"
	"github.com/plantainrun/plantainrun/internal/mesh"
)

// Stream methods on the mesh.
const (
	methodCall      = mesh.ForwardPrefix + "service-call"
	methodPrompt    = mesh.ForwardPrefix + "prompt"
	methodReplicate = mesh.ForwardPrefix + "ledger-handover"
	methodQuery     = mesh.ForwardPrefix + "ledger-query"
)

// responseMargin is how long after the deadline of a call or prompt a host waits
// for the response of the host that runs it, which ends the request at its
// deadline.
const responseMargin = 2 * time.Second

// Mesh opens streams to other hosts and serves the streams that they open.
type Mesh interface {
	Open(ctx context.Context, host, method string) (*mesh.Stream, error)
	Handle(method string, h mesh.Handler)
}

func encodeError(err error) *forwardpb.Failure {
	e := apierror.From(err)
	return &forwardpb.Failure{
		Kind:         string(e.Kind),
		Message:      e.Message,
		Remedy:       e.Remedy,
		Outcome:      uint32(e.Outcome),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Ticket:       e.Ticket,
	}
}

func decodeError(f *forwardpb.Failure) *apierror.Error {
	result := outcome.Unknown
	if f.GetOutcome() <= uint32(outcome.Failed) {
		result = outcome.Outcome(f.GetOutcome())
	}
	e := apierror.New(apierror.Kind(f.GetKind()), result, f.GetRemedy(), "%s", f.GetMessage())
	e.RetryAfter = time.Duration(f.GetRetryAfterMs()) * time.Millisecond
	e.Ticket = f.GetTicket()
	return e
}

func encodeHeader(h http.Header) []*forwardpb.Header {
	out := make([]*forwardpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &forwardpb.Header{Name: name, Values: values})
	}
	return out
}

func decodeHeader(fields []*forwardpb.Header) http.Header {
	out := make(http.Header, len(fields))
	for _, f := range fields {
		out[f.GetName()] = f.GetValues()
	}
	return out
}

func timeLeftMS(deadline time.Time) int64 {
	return max(time.Until(deadline).Milliseconds(), 0)
}

func deadlineIn(leftMS int64) time.Time {
	return time.Now().Add(time.Duration(max(leftMS, 0)) * time.Millisecond)
}
