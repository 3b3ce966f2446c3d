// Package once runs calls that are not idempotent at most once per ticket.
//
// An Owner runs the calls of the tickets that it issued and records their
// outcomes. A Router on any host forwards a call to the owner of its ticket, or
// responds from the owner's closed ledger. If neither has the outcome, it is
// reported as unknown and never as not run: only the owner or its closed ledger
// may report "not run". That outcome applies to the ticket and not to a single
// attempt. It voids the ticket, so that no copy of the call in flight can run
// after the caller was told that the call was not run.
//
// The package does not depend on servers or transports. Errors are
// *apierror.Error.
package once

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// HeaderTicket is the HTTP header that carries the ticket, both from the caller
// to the host and from the host to the service.
const HeaderTicket = "Idempotency-Key"

// Call is a call to a service. Header and Body must not be modified once it is
// passed to Execute, even after Execute has returned.
type Call struct {
	ID           string // id of the caller's request, for logs and the service
	Ticket       string // empty if the caller has none yet
	Organisation string // the caller's organisation; its retry budget is charged, and the ticket is bound to it
	Service      string // the service's name, as in topology.Target.Model
	Method       string
	Path         string // including the query
	Header       http.Header
	Body         []byte
	Deadline     time.Time // zero: only OwnerConfig.RunTimeout applies
	// Dedupes is set if the service deduplicates calls by ticket, so that an
	// attempt with an unknown outcome may be retried with the same ticket.
	Dedupes bool
}

// digest identifies the call: a ticket cannot be reused with another body,
// organisation, service, method or path.
func (c Call) digest() ledger.Digest {
	return ledger.DigestOf(c.Body, c.Organisation, c.Service, c.Method, c.Path)
}

// Response is the complete response of the service.
type Response struct {
	Outcome  outcome.Outcome // Done or Failed
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // read from the ledger, not from a run by this call
}

// Picker chooses targets from the target list.
type Picker interface {
	// Pick returns a target of the service whose id is not in exclude, or an
	// *apierror.Error. It must return only addresses on the target list.
	Pick(ctx context.Context, service string, exclude []string) (topology.Target, error)
	// MarkLeaving records that the target announced that it is leaving.
	MarkLeaving(target topology.Target)
}

// RetryBudget limits retries to a fraction of first attempts. Keys are
// organisations and targets.
type RetryBudget interface {
	// RecordFirstAttempt counts a first attempt, which adds to the key's retry budget.
	RecordFirstAttempt(key string)
	// AllowRetry reports whether a retry is allowed, and counts it if so.
	AllowRetry(key string) bool
}

// Forwarder forwards calls to the owners of their tickets on other hosts.
type Forwarder interface {
	// Forward returns the result of the owner's Execute. An error that is not an
	// *apierror.Error means that the owner did not respond; it may be an
	// *OwnerUnavailableError.
	Forward(ctx context.Context, owner identity.Incarnation, call Call) (Response, error)
}

// ClosedLedgers finds the closed ledgers of processes that were shut down.
type ClosedLedgers interface {
	// Find returns the owner's closed ledger if this host has a copy.
	Find(owner identity.Incarnation) (*ledger.Closed, bool)
	// Fetch requests the ledger from other hosts. It is called only if the owner
	// is unreachable.
	Fetch(ctx context.Context, owner identity.Incarnation) (*ledger.Closed, bool)
}

// OwnerUnavailableError is returned by a Forwarder if the owner did not respond.
type OwnerUnavailableError struct {
	// Gone is set if the owner's process is known to have ended: its host runs
	// another incarnation, or is no longer on the host list.
	Gone bool
	// MaybeSent is set if the call may have reached the owner.
	MaybeSent bool
	Err       error
}

// Error returns the message of the cause.
func (e *OwnerUnavailableError) Error() string { return "owner lost: " + e.Err.Error() }

// Unwrap returns the cause, such as a transport error.
func (e *OwnerUnavailableError) Unwrap() error { return e.Err }
