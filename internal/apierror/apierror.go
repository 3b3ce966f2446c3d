// Package apierror defines the typed errors returned to callers and operators.
// Every error states what happened, how to remedy it, whether the request was
// run and, if a retry can succeed, when to retry.
package apierror

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
)

// Kind classifies an error in API responses, metrics and the operators' documentation.
type Kind string

// Error kinds. Each one is documented in docs/OPERATIONS.md.
const (
	KindBadRequest           Kind = "bad_request"
	KindUnauthorized         Kind = "unauthorized"
	KindNotFound             Kind = "not_found"
	KindTooLarge             Kind = "too_large"
	KindUnknownModel         Kind = "unknown_model"
	KindPromptTooLong        Kind = "prompt_too_long"
	KindOverloaded           Kind = "overloaded"
	KindLimitExceeded        Kind = "limit_exceeded"
	KindDeadline             Kind = "deadline_exceeded"
	KindTicketRequired       Kind = "ticket_required"
	KindTicketInvalid        Kind = "ticket_invalid"
	KindTicketMismatch       Kind = "ticket_mismatch"
	KindTicketRunning        Kind = "ticket_running"
	KindTicketUnknown        Kind = "ticket_unknown"
	KindLedgerFull           Kind = "ledger_full"
	KindQuarantined          Kind = "quarantined"
	KindTargetFailed         Kind = "target_failed"
	KindTargetOutcomeUnknown Kind = "target_outcome_unknown"
	KindIncomplete           Kind = "answer_incomplete"
	KindNoTarget             Kind = "no_target"
	KindNotReady             Kind = "not_ready"
	KindDraining             Kind = "draining"
	KindPeerUnreachable      Kind = "peer_unreachable"
	KindInternal             Kind = "internal"
)

// Kinds lists all kinds in the order of their declaration.
func Kinds() []Kind {
	return []Kind{
		KindBadRequest, KindUnauthorized, KindNotFound, KindTooLarge, KindUnknownModel, KindPromptTooLong,
		KindOverloaded, KindLimitExceeded, KindDeadline, KindTicketRequired, KindTicketInvalid,
		KindTicketMismatch, KindTicketRunning, KindTicketUnknown, KindLedgerFull, KindQuarantined,
		KindTargetFailed, KindTargetOutcomeUnknown, KindIncomplete, KindNoTarget, KindNotReady, KindDraining,
		KindPeerUnreachable, KindInternal,
	}
}

var statusByKind = map[Kind]int{
	KindBadRequest:           http.StatusBadRequest,
	KindUnauthorized:         http.StatusUnauthorized,
	KindNotFound:             http.StatusNotFound,
	KindTooLarge:             http.StatusRequestEntityTooLarge,
	KindUnknownModel:         http.StatusNotFound,
	KindPromptTooLong:        http.StatusRequestEntityTooLarge,
	KindOverloaded:           http.StatusServiceUnavailable,
	KindLimitExceeded:        http.StatusTooManyRequests,
	KindDeadline:             http.StatusGatewayTimeout,
	KindTicketRequired:       http.StatusPreconditionRequired,
	KindTicketInvalid:        http.StatusPreconditionRequired,
	KindTicketMismatch:       http.StatusUnprocessableEntity,
	KindTicketRunning:        http.StatusConflict,
	KindTicketUnknown:        http.StatusBadGateway,
	KindLedgerFull:           http.StatusServiceUnavailable,
	KindQuarantined:          http.StatusUnprocessableEntity,
	KindTargetFailed:         http.StatusBadGateway,
	KindTargetOutcomeUnknown: http.StatusBadGateway,
	KindIncomplete:           http.StatusBadGateway,
	KindNoTarget:             http.StatusServiceUnavailable,
	KindNotReady:             http.StatusServiceUnavailable,
	KindDraining:             http.StatusServiceUnavailable,
	KindPeerUnreachable:      http.StatusBadGateway,
	KindInternal:             http.StatusInternalServerError,
}

// Error is an error response: its kind, a message, a remedy and whether the
// request was run.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	Outcome    outcome.Outcome
	RetryAfter time.Duration // zero: a retry does not help
	Ticket     string        // a new ticket, set only with KindTicketRequired and KindTicketInvalid
}

// NotRun returns an error for a request that was definitely not run.
func NotRun(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Outcome: outcome.NotRun}
}

// New returns an error for an attempt whose outcome is o.
func New(kind Kind, o outcome.Outcome, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Outcome: o}
}

// WithRetryAfter sets the delay after which the caller may retry, and returns the error.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithTicket attaches a new ticket and returns the error.
func (e *Error) WithTicket(ticket string) *Error {
	e.Ticket = ticket
	return e
}

// Error returns the message followed by the remedy, if there is one.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// HTTPStatus returns the HTTP status code for the error's kind. Where that would promise
// that the request was not run, and it may have been, it is 502.
func (e *Error) HTTPStatus() int {
	status, known := statusByKind[e.Kind]
	switch {
	case !known:
		return http.StatusInternalServerError
	case outcome.PromisesNotRun(status) && e.Outcome != outcome.NotRun:
		return http.StatusBadGateway
	}
	return status
}

// From returns the *Error in err's chain. Any other error is converted to
// KindInternal with an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(KindInternal, outcome.Unknown, "report this to the maintainers with the host's log", "%s", err.Error())
}
