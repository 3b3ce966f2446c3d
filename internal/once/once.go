// Package once runs calls that are not idempotent at most once per ticket.
//
// An Owner runs the calls of the tickets that it issued and records how they
// ended; a Router on any host brings a call to its ticket's owner, or answers
// from the owner's closed ledger. What neither can know is told as unknown,
// never as not run: "not run" is said of a ticket only by its owner or by its
// closed ledger. It is said of the ticket and not of one try: the ticket is
// void then, so that no copy of the call that is still under way can run after
// its caller was told that it was not run.
//
// The package knows nothing of servers and links. Errors are *apierror.Error.
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

// HeaderTicket carries the ticket to the service, and between caller and host.
const HeaderTicket = "Idempotency-Key"

// Call is one call that is not idempotent. Its Header and Body must not change
// any more, also after Execute returned.
type Call struct {
	ID           string // of the caller's request, for logs and the service
	Ticket       string // empty: the caller has none yet
	Organisation string // who calls; its retry budget is charged, and the ticket is bound to it
	Service      string // the service's name, as in topology.Target.Model
	Method       string
	Path         string // with the query, if any
	Header       http.Header
	Body         []byte
	Deadline     time.Time // zero: the owner's own limit applies
	// Dedupes tells that the service recognises a repeated ticket, so that an
	// attempt with an unknown outcome may be repeated with the same one.
	Dedupes bool
}

// digest binds the ticket to everything that makes the call what it is.
func (c Call) digest() ledger.Digest {
	return ledger.DigestOf(c.Body, c.Organisation, c.Service, c.Method, c.Path)
}

// Answer is the service's whole answer.
type Answer struct {
	Outcome  outcome.Outcome // Done or Failed
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // from the record, not from a run by this call
}

// Picker chooses targets from the target list.
type Picker interface {
	// Pick returns a target of the service that is not among exclude (ids), or
	// an *apierror.Error. It must return only addresses on the target list.
	Pick(ctx context.Context, service string, exclude []string) (topology.Target, error)
	// Leaving records that the target said that it is leaving.
	Leaving(target topology.Target)
}

// Budget bounds retries. Keys are organisations and targets.
type Budget interface {
	// RecordFirstAttempt counts a first try.
	RecordFirstAttempt(key string)
	// AllowRetry reports whether a retry is allowed, and counts it if so.
	AllowRetry(key string) bool
}

// Forwarder brings a call to its owner on another host.
type Forwarder interface {
	// Forward returns what the owner's Execute returned. An error that is not
	// an *apierror.Error means that no answer came; it may be a *LostError.
	Forward(ctx context.Context, owner identity.Incarnation, call Call) (Answer, error)
}

// ClosedLedgers finds the closed ledgers of processes that left.
type ClosedLedgers interface {
	// Find returns the owner's closed ledger if this host holds it.
	Find(owner identity.Incarnation) (*ledger.Closed, bool)
	// Fetch asks other hosts for it. It is called only when the owner cannot
	// be reached.
	Fetch(ctx context.Context, owner identity.Incarnation) (*ledger.Closed, bool)
}

// LostError is how a Forwarder says why no answer of the owner came.
type LostError struct {
	// Gone tells that the owner's process is known to have ended: its host runs
	// another incarnation, or is no longer on the host list.
	Gone bool
	// Sent tells that the call may have reached the owner.
	Sent bool
	Err  error
}

// Error returns the cause.
func (e *LostError) Error() string { return "owner lost: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
