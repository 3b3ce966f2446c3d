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

// Remedies that callers are told.
const (
	remedyNewTicket  = "take a new ticket and send the call again"
	remedySameTicket = "send the same call again with the same ticket"
	remedyRecords    = "look the call up in the service's own records before you take a new ticket"
	remedyExact      = "send the ticket and the call exactly as before, or take a new ticket"
)

// When to come back, towards callers.
const (
	retryAfterRunning     = time.Second
	retryAfterUnreachable = 2 * time.Second
	retryAfterFull        = 10 * time.Second
)

// keptHeaders are the fields of an answer that are recorded and passed on.
var keptHeaders = []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag", "Last-Modified"}

// ticketError turns an error of the ticket or ledger package into one for the
// caller.
func ticketError(err error) *apierror.Error {
	var (
		full      *ledger.FullError
		mismatch  *ledger.MismatchError
		forgotten *ledger.RecordExpiredError
		closed    *ledger.ClosedError
		state     *ledger.StateError
		other     *ticket.WrongOwnerError
	)
	switch {
	case errors.As(err, &full):
		return apierror.NotRun(apierror.KindLedgerFull, "come back later, or try another host", "no room for another ticket").WithRetryAfter(retryAfterFull)
	case errors.As(err, &mismatch):
		return apierror.NotRun(apierror.KindTicketMismatch, remedyExact, "the ticket was used for a call with another method, path or body")
	case errors.As(err, &forgotten):
		return apierror.New(apierror.KindTicketUnknown, outcome.Unknown, remedyRecords, "%s", "the ticket is too old: whether its call ran is no longer known")
	case errors.As(err, &closed):
		return apierror.NotRun(apierror.KindDraining, remedyNewTicket, "the ticket's host is leaving or left; the call was never run and this ticket never will be")
	case errors.As(err, &state):
		return apierror.NotRun(apierror.KindDraining, remedyNewTicket, "the host left before the call could be sent")
	case errors.As(err, &other):
		return apierror.New(apierror.KindTicketUnknown, outcome.Unknown, remedySameTicket, "the call reached a host that is not the ticket's owner").WithRetryAfter(retryAfterUnreachable)
	default: // malformed, forged, altered, void or expired unused
		return apierror.NotRun(apierror.KindTicketInvalid, remedyNewTicket, "%s", err.Error())
	}
}

func runningError() *apierror.Error {
	return apierror.New(apierror.KindTicketRunning, outcome.Unknown, remedySameTicket, "the ticket's first run is still going").WithRetryAfter(retryAfterRunning)
}

func lateError() *apierror.Error {
	return apierror.New(apierror.KindDeadline, outcome.Unknown, remedySameTicket, "the time limit passed while the call was running").WithRetryAfter(retryAfterRunning)
}

func unreachableError(err error) *apierror.Error {
	return apierror.New(apierror.KindPeerUnreachable, outcome.Unknown, remedySameTicket, "the ticket's owner gave no answer: %v", err).WithRetryAfter(retryAfterUnreachable)
}

func goneError() *apierror.Error {
	return apierror.New(apierror.KindTicketUnknown, outcome.Unknown, remedyRecords, "the ticket's owner is gone and left no record: whether the call ran is not known")
}

func unknownRunError(why service.Reason) *apierror.Error {
	return apierror.New(apierror.KindTargetOutcomeUnknown, outcome.Unknown, remedyRecords, "the call was sent and no whole answer came back (%s): whether it ran is not known", why)
}

func droppedError(r ledger.Record) *apierror.Error {
	return apierror.New(apierror.KindIncomplete, r.Outcome, remedyRecords,
		"the call ran and was answered with status %d; its answer of %d bytes (sha256 %x) was too large to be kept", r.Status, r.BodyBytes, r.BodySum)
}

// recordOf is what the ledger keeps of an attempt.
func recordOf(r service.Result) ledger.Record {
	rec := ledger.Record{Outcome: r.Outcome}
	if r.Outcome == outcome.Unknown {
		// The body carries why, for whoever repeats the ticket.
		rec.Header = []ledger.HeaderField{{Name: reasonField, Value: string(r.Reason)}}
		return rec
	}
	rec.Status, rec.Body = r.Status, r.Body
	for _, name := range keptHeaders {
		for _, value := range r.Header.Values(name) {
			rec.Header = append(rec.Header, ledger.HeaderField{Name: name, Value: value})
		}
	}
	return rec
}

// reasonField records why an outcome is unknown.
const reasonField = "X-Unknown-Reason"

// replay turns a record into what a caller is told.
func replay(r ledger.Record) (Answer, error) {
	if r.Outcome == outcome.Unknown {
		return Answer{}, unknownRunError(reasonIn(r))
	}
	if r.ResponseDropped {
		return Answer{}, droppedError(r)
	}
	a := Answer{Outcome: r.Outcome, Status: r.Status, Body: r.Body, Header: make(http.Header), Replayed: true}
	for _, f := range r.Header {
		a.Header.Add(f.Name, f.Value)
	}
	return a, nil
}

func reasonIn(r ledger.Record) service.Reason {
	for _, f := range r.Header {
		if f.Name == reasonField {
			return service.Reason(f.Value)
		}
	}
	return service.ReasonDeadline
}
