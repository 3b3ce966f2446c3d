package server

import (
	"context"

	"github.com/plantainrun/plantainrun/internal/caller"
	"github.com/plantainrun/plantainrun/internal/idempotent"
	"github.com/plantainrun/plantainrun/internal/once"
)

// dedupeRules reports which services deduplicate calls by ticket.
type dedupeRules interface {
	Dedupes(partner, service, method, path string) bool
}

// serviceCalls runs repeatable service calls on this host and all others at the
// owner of their ticket. It implements caller.Services.
type serviceCalls struct {
	router     *once.Router
	repeatable *idempotent.Executor
	rules      dedupeRules
}

// Call runs one service call. Its errors are of type *apierror.Error.
func (c *serviceCalls) Call(ctx context.Context, call caller.ServiceCall) (caller.ServiceResponse, error) {
	resp, err := c.execute(ctx, call)
	if err != nil {
		return caller.ServiceResponse{}, err
	}
	return caller.ServiceResponse{Status: resp.Status, Header: resp.Header, Body: resp.Body}, nil
}

func (c *serviceCalls) execute(ctx context.Context, call caller.ServiceCall) (once.Response, error) {
	onceCall := once.Call{
		ID: call.ID, Ticket: call.Ticket, Organisation: call.Organisation, Service: call.Service,
		Method: call.Method, Path: call.Path, Header: call.Header, Body: call.Body, Deadline: call.Deadline,
	}
	if call.Repeatable {
		return c.repeatable.Execute(ctx, onceCall)
	}
	onceCall.Dedupes = c.rules.Dedupes(call.Partner, call.Service, call.Method, call.Path)
	return c.router.Execute(ctx, onceCall)
}
