package once

import (
	"errors"
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/ticket"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/service"
)

// Remedies in the errors returned to callers.
const (
	remedyNewTicket    = "take a new ticket and send the call again"
	remedySameTicket   = "send the same call again with the same ticket"
	remedyCheckRecords = "look the call up in the service's own records before you take a new ticket"
	remedyResendExact  = "send the ticket and the call exactly as before, or take a new ticket"
)

// Retry-After durations in the errors returned to callers.
const (
	retryAfterRunning     = time.Second
	retryAfterUnreachable = 2 * time.Second
	retryAfterFull        = 10 * time.Second
)

// recordedHeaders lists the response headers that are recorded in the ledger and
// returned to the caller.
var recordedHeaders = []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag", "Last-Modified"}

// ticketError converts an error of the ticket or ledger package to an API error.
func ticketError(err error) *apierror.Error {
	var (
		full       *ledger.FullError
		mismatch   *ledger.MismatchError
		expired    *ledger.RecordExpiredError
		closed     *ledger.ClosedError
		state      *ledger.StateError
		wrongOwner *ticket.WrongOwnerError
	)
	switch {
	case errors.As(err, &full):
		return apierror.NotRun(apierror.KindLedgerFull, "come back later, or try another host", "no room for another ticket").WithRetryAfter(retryAfterFull)
	case errors.As(err, &mismatch):
		return apierror.NotRun(apierror.KindTicketMismatch, remedyResendExact, "the ticket was used for a call with another method, path or body")
	case errors.As(err, &expired):
		return apierror.New(apierror.KindTicketUnknown, outcome.Unknown, remedyCheckRecords, "%s", "the ticket is too old: whether its call ran is no longer known")
	case errors.As(err, &closed):
		return apierror.NotRun(apierror.KindDraining, remedyNewTicket, "the ticket's host is leaving or left; the call was never run and this ticket never will be")
	case errors.As(err, &state):
		return apierror.NotRun(apierror.KindDraining, remedyNewTicket, "the host left before the call could be sent")
	case errors.As(err, &wrongOwner):
		return apierror.New(apierror.KindTicketUnknown, outcome.Unknown, remedySameTicket, "the call reached a host that is not the ticket's owner").WithRetryAfter(retryAfterUnreachable)
	default: // the ticket is malformed, forged, altered, void, or expired without being used
		return apierror.NotRun(apierror.KindTicketInvalid, remedyNewTicket, "%s", err.Error())
	}
}

func ticketRunningError() *apierror.Error {
	return apierror.New(apierror.KindTicketRunning, outcome.Unknown, remedySameTicket, "the ticket's first run is still going").WithRetryAfter(retryAfterRunning)
}

func deadlineError() *apierror.Error {
	return apierror.New(apierror.KindDeadline, outcome.Unknown, remedySameTicket, "the time limit passed while the call was running").WithRetryAfter(retryAfterRunning)
}

func ownerUnreachableError(err error) *apierror.Error {
	return apierror.New(apierror.KindPeerUnreachable, outcome.Unknown, remedySameTicket, "the ticket's owner gave no answer: %v", err).WithRetryAfter(retryAfterUnreachable)
}

func ownerGoneError() *apierror.Error {
	return apierror.New(apierror.KindTicketUnknown, outcome.Unknown, remedyCheckRecords, "the ticket's owner is gone and left no record: whether the call ran is not known")
}

func unknownOutcomeError(reason service.Reason) *apierror.Error {
	return apierror.New(apierror.KindTargetOutcomeUnknown, outcome.Unknown, remedyCheckRecords, "the call was sent and no answer tells whether it ran (%s)", reason)
}

// ResponseOf returns the response for the caller from one that an owner passes on, or the error of
// a call of which its status does not tell whether it ran.
func ResponseOf(status int, header http.Header, body []byte) (Response, error) {
	result := outcome.OfResponse(status, false)
	if result == outcome.Unknown {
		return Response{}, unknownOutcomeError(service.ReasonUnstated)
	}
	return Response{Outcome: result, Status: status, Header: header, Body: body}, nil
}

func responseDroppedError(r ledger.Record) *apierror.Error {
	return apierror.New(apierror.KindIncomplete, r.Outcome, remedyCheckRecords,
		"the call ran and was answered with status %d; its answer of %d bytes (sha256 %x) was too large to be kept", r.Status, r.BodyBytes, r.BodySum)
}

// newRecord returns the ledger record of an attempt.
func newRecord(r service.Result) ledger.Record {
	rec := ledger.Record{Outcome: r.Outcome}
	if r.Outcome == outcome.Unknown {
		// Keeps the reason for later requests with the same ticket.
		rec.Header = []ledger.HeaderField{{Name: reasonHeader, Value: string(r.Reason)}}
		return rec
	}
	rec.Status, rec.Body = r.Status, r.Body
	for _, name := range recordedHeaders {
		for _, value := range r.Header.Values(name) {
			rec.Header = append(rec.Header, ledger.HeaderField{Name: name, Value: value})
		}
	}
	return rec
}

// reasonHeader is the name of the header field that keeps the reason for an
// unknown outcome in a record.
const reasonHeader = "X-Unknown-Reason"

// replay returns the response or error for the caller from a record.
func replay(r ledger.Record) (Response, error) {
	if r.Outcome == outcome.Unknown {
		return Response{}, unknownOutcomeError(unknownReason(r))
	}
	if r.ResponseDropped {
		return Response{}, responseDroppedError(r)
	}
	header := make(http.Header)
	for _, f := range r.Header {
		header.Add(f.Name, f.Value)
	}
	response, err := ResponseOf(r.Status, header, r.Body)
	response.Replayed = err == nil
	return response, err
}

func unknownReason(r ledger.Record) service.Reason {
	for _, f := range r.Header {
		if f.Name == reasonHeader {
			return service.Reason(f.Value)
		}
	}
	return service.ReasonDeadline
}
