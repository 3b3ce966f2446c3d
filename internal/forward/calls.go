package forward

import (
	"context"
	"errors"
	"fmt"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/internal/forward/forwardpb"
	"github.com/plantainrun/plantainrun/internal/httpwire"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/once"
)

// errOwnerReplaced is returned if the owner's host has since started another
// process.
var errOwnerReplaced = errors.New("the owner's host runs another process")

// Owner runs the calls of the tickets that this process issued.
type Owner interface {
	Self() identity.Incarnation
	Execute(ctx context.Context, call once.Call) (once.Response, error)
}

// Membership reports which processes are known to have ended.
type Membership interface {
	IncarnationGone(inc identity.Incarnation) bool
}

// CallForwarder forwards service calls to the owners of their tickets. It is safe for
// concurrent use and implements once.Forwarder.
type CallForwarder struct {
	mesh    Mesh
	members Membership
}

// NewCallForwarder returns a CallForwarder that uses m for transport.
func NewCallForwarder(m Mesh, members Membership) *CallForwarder {
	return &CallForwarder{mesh: m, members: members}
}

// ServeCalls registers the handler on m that passes calls forwarded by other hosts
// to owner.
func ServeCalls(m Mesh, owner Owner) {
	m.Handle(methodCall, func(ctx context.Context, s *mesh.Stream) error { return serveCall(ctx, s, owner) })
}

// Forward runs call on the host of its owner. An error that is not an
// *apierror.Error is an *once.OwnerUnavailableError: the owner did not respond.
func (c *CallForwarder) Forward(ctx context.Context, owner identity.Incarnation, call once.Call) (once.Response, error) {
	if c.members.IncarnationGone(owner) {
		return once.Response{}, &once.OwnerUnavailableError{Gone: true, Err: fmt.Errorf("process %s has ended", owner)}
	}
	s, err := c.mesh.Open(ctx, owner.Host, methodCall)
	if err != nil {
		return once.Response{}, &once.OwnerUnavailableError{Err: err}
	}
	defer s.Close()
	if s.Peer() != owner {
		return once.Response{}, &once.OwnerUnavailableError{Gone: true, Err: errOwnerReplaced}
	}
	if err := s.SetDeadline(call.Deadline.Add(responseMargin)); err != nil {
		return once.Response{}, &once.OwnerUnavailableError{Err: err}
	}
	if err := s.Send(encodeCall(owner, call)); err != nil {
		return once.Response{}, &once.OwnerUnavailableError{MaybeSent: !errors.Is(err, mesh.ErrNotSent), Err: err}
	}
	var reply forwardpb.ServiceAnswer
	if err := s.Recv(&reply); err != nil {
		return once.Response{}, &once.OwnerUnavailableError{MaybeSent: true, Err: err}
	}
	return decodeResponse(&reply)
}

func encodeCall(owner identity.Incarnation, call once.Call) *forwardpb.ServiceCall {
	return &forwardpb.ServiceCall{
		Id: call.ID, Ticket: call.Ticket, Organisation: call.Organisation, Service: call.Service,
		Method: call.Method, Path: call.Path, Header: encodeHeader(call.Header), Body: call.Body,
		TimeLeftMs: timeLeftMS(call.Deadline), Owner: owner.String(), Dedupes: call.Dedupes,
	}
}

func decodeResponse(reply *forwardpb.ServiceAnswer) (once.Response, error) {
	if f := reply.GetFailure(); f != nil {
		return once.Response{}, decodeError(f)
	}
	status, header := int(reply.GetStatus()), decodeHeader(reply.GetHeader())
	if err := httpwire.CheckHead(status, header); err != nil {
		return once.Response{}, &once.OwnerUnavailableError{MaybeSent: true, Err: err}
	}
	return once.ResponseOf(status, header, reply.GetBody())
}

func serveCall(ctx context.Context, s *mesh.Stream, owner Owner) error {
	var msg forwardpb.ServiceCall
	if err := s.Recv(&msg); err != nil {
		return err
	}
	reply := &forwardpb.ServiceAnswer{}
	response, err := execute(ctx, &msg, owner)
	if err != nil {
		reply.Failure = encodeError(err)
	} else {
		reply.Status = int32(response.Status) //nolint:gosec // an HTTP status
		reply.Header = encodeHeader(response.Header)
		reply.Body = response.Body
	}
	return s.Send(reply)
}

func execute(ctx context.Context, msg *forwardpb.ServiceCall, owner Owner) (once.Response, error) {
	return owner.Execute(ctx, once.Call{
		ID: msg.GetId(), Ticket: msg.GetTicket(), Organisation: msg.GetOrganisation(), Service: msg.GetService(),
		Method: msg.GetMethod(), Path: msg.GetPath(), Header: decodeHeader(msg.GetHeader()), Body: msg.GetBody(),
		Deadline: deadlineIn(msg.GetTimeLeftMs()), Dedupes: msg.GetDedupes(),
	})
}
