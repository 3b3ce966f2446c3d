package once

import (
	"context"
	"errors"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/ticket"
	"github.com/plantainrun/plantainrun/internal/apierror"
)

// Router routes calls to the owners of their tickets. It is safe for concurrent
// use.
type Router struct {
	owner   *Owner
	closed  ClosedLedgers
	forward Forwarder
}

// NewRouter returns a Router for the process of owner.
func NewRouter(owner *Owner, closed ClosedLedgers, forward Forwarder) *Router {
	return &Router{owner: owner, closed: closed, forward: forward}
}

// Execute runs the call at the owner of its ticket, or returns the recorded
// outcome. A call with a missing or invalid ticket is not run; its error carries
// a new ticket.
func (r *Router) Execute(ctx context.Context, call Call) (Response, error) {
	if call.Ticket == "" {
		return Response{}, r.withTicket(apierror.NotRun(apierror.KindTicketRequired,
			"send the call again with the ticket in "+HeaderTicket, "a call that may not be repeated needs a ticket"))
	}
	owner, err := ticket.ParseOwner(call.Ticket)
	if err != nil {
		return Response{}, r.withTicket(ticketError(err))
	}
	response, err := r.route(ctx, owner, call)
	var e *apierror.Error
	if errors.As(err, &e) && e.Kind == apierror.KindTicketInvalid {
		return Response{}, r.withTicket(e)
	}
	return response, err
}

// route passes the call to the owner if that is this process, looks it up in the
// owner's closed ledger if this host has a copy, and otherwise forwards it.
func (r *Router) route(ctx context.Context, owner identity.Incarnation, call Call) (Response, error) {
	if owner == r.owner.Self() {
		return r.owner.Execute(ctx, call)
	}
	if c, ok := r.closed.Find(owner); ok {
		return lookUpClosed(c, call)
	}
	response, err := r.forward.Forward(ctx, owner, call)
	var ownerErr *apierror.Error
	if err == nil || errors.As(err, &ownerErr) {
		return response, err
	}
	return r.resolveWithoutOwner(ctx, owner, call, err)
}

// resolveWithoutOwner determines the outcome if the owner did not respond. An
// unreachable owner may have run the ticket's call earlier, so without a closed
// ledger the outcome is unknown, even if this call was never sent.
func (r *Router) resolveWithoutOwner(ctx context.Context, owner identity.Incarnation, call Call, err error) (Response, error) {
	if c, ok := r.closed.Find(owner); ok {
		return lookUpClosed(c, call)
	}
	if c, ok := r.closed.Fetch(ctx, owner); ok {
		return lookUpClosed(c, call)
	}
	var unavailable *OwnerUnavailableError
	if errors.As(err, &unavailable) && unavailable.Gone {
		return Response{}, ownerGoneError()
	}
	return Response{}, ownerUnreachableError(err)
}

// lookUpClosed returns the outcome in a closed ledger. It never runs the call.
func lookUpClosed(c *ledger.Closed, call Call) (Response, error) {
	record, err := c.Lookup(call.Ticket, call.digest())
	if err != nil {
		return Response{}, ticketError(err)
	}
	return replay(record)
}

// withTicket adds a new ticket to e. If none can be issued, it returns that error
// instead.
func (r *Router) withTicket(e *apierror.Error) *apierror.Error {
	text, err := r.owner.NewTicket()
	if err != nil {
		return apierror.From(err)
	}
	return e.WithTicket(text)
}
