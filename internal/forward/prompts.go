package forward

import (
	"context"
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/completion"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/forward/forwardpb"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// maxOverflowHosts is how many other hosts one prompt is offered to.
const maxOverflowHosts = 2

// retryAfter is the Retry-After of the error if the connection to another host
// was lost.
const retryAfter = time.Second

// HostPicker picks hosts of other failure domains that may accept a prompt.
type HostPicker interface {
	// OverflowHosts returns up to count hosts, the preferred ones first.
	OverflowHosts(model string, promptTokens, count int) []string
}

// OrganisationDirectory looks up organisations by name.
type OrganisationDirectory interface {
	ByName(name string) (rules.Organisation, string, bool)
}

// PromptForwarder forwards prompts to hosts of other failure domains. It is safe for
// concurrent use and implements completion.Overflow.
type PromptForwarder struct {
	mesh      Mesh
	picker    HostPicker
	estimator completion.Estimator
}

// NewPromptForwarder returns a PromptForwarder that uses m for transport.
func NewPromptForwarder(m Mesh, picker HostPicker, estimator completion.Estimator) *PromptForwarder {
	return &PromptForwarder{mesh: m, picker: picker, estimator: estimator}
}

// Run runs req on a host of another failure domain. It reports false if no host
// accepted the prompt.
func (p *PromptForwarder) Run(ctx context.Context, req completion.Request, sink completion.Sink) (completion.Result, bool, error) {
	tokens := p.estimator.PromptTokens(req.Model, len(req.Prompt))
	for _, host := range p.picker.OverflowHosts(req.Model, tokens, maxOverflowHosts) {
		result, maybeRun, err := p.RunOnHost(ctx, host, req, sink)
		if maybeRun {
			return result, true, err
		}
	}
	return completion.Result{}, false, nil
}

// RunOnHost runs req on host. It reports true if the prompt may have been run
// there.
func (p *PromptForwarder) RunOnHost(ctx context.Context, host string, req completion.Request, sink completion.Sink) (completion.Result, bool, error) {
	s, err := p.mesh.Open(ctx, host, methodPrompt)
	if err != nil {
		return completion.Result{}, false, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.SetDeadline(req.Deadline.Add(responseMargin)); err != nil {
		return completion.Result{}, false, err
	}
	if err := s.Send(encodePrompt(req)); err != nil {
		return completion.Result{}, !errors.Is(err, mesh.ErrNotSent), hostLostError(host, err)
	}
	if err := s.CloseSend(); err != nil {
		return completion.Result{}, true, hostLostError(host, err)
	}
	return receiveTokens(s, host, sink)
}

// receiveTokens passes the tokens to sink. The response is complete only if it ends
// with the end event and the token count in that event matches.
func receiveTokens(s *mesh.Stream, host string, sink completion.Sink) (completion.Result, bool, error) {
	for count := 0; ; {
		var event forwardpb.PromptEvent
		if err := s.Recv(&event); err != nil {
			return completion.Result{}, true, hostLostError(host, err)
		}
		switch e := event.GetEvent().(type) {
		case *forwardpb.PromptEvent_Token:
			if err := sink.Token(e.Token); err != nil {
				return completion.Result{}, true, err
			}
			count++
		case *forwardpb.PromptEvent_Failure:
			failure := decodeError(e.Failure)
			return completion.Result{}, count > 0 || failure.Outcome != outcome.NotRun, failure
		case *forwardpb.PromptEvent_End:
			if int(e.End.GetCount()) != count {
				return completion.Result{}, true, apierror.New(apierror.KindIncomplete, outcome.Done, "ask again", "host %s sent %d of %d tokens", host, count, e.End.GetCount()).WithRetryAfter(retryAfter)
			}
			return decodeResult(e.End), true, nil
		default:
			return completion.Result{}, true, hostLostError(host, mesh.ErrProtocol)
		}
	}
}

func hostLostError(host string, err error) error {
	return apierror.New(apierror.KindIncomplete, outcome.Unknown, "ask again", "host %s was lost before the answer was whole: %s", host, err).WithRetryAfter(retryAfter)
}

func encodePrompt(req completion.Request) *forwardpb.PromptCall {
	return &forwardpb.PromptCall{
		Id: req.ID, Partner: req.Partner, Organisation: req.Organisation.Name, Model: req.Model, Adapter: req.Adapter,
		Prompt: req.Prompt, MaxTokens: int32(req.MaxTokens), Stop: req.Stop, TimeLeftMs: timeLeftMS(req.Deadline), //nolint:gosec // bounded by the settings
	}
}

func decodeResult(end *forwardpb.PromptEnd) completion.Result {
	return completion.Result{FinishReason: end.GetReason(), Usage: engineapi.Usage{
		PromptTokens: int(end.GetPromptTokens()),
		CachedTokens: int(end.GetCachedTokens()),
		OutputTokens: int(end.GetOutputTokens()),
	}}
}

// ServePrompts registers the handler on m that runs prompts forwarded by other
// hosts.
func ServePrompts(m Mesh, runner completion.Runner, dir OrganisationDirectory) {
	m.Handle(methodPrompt, func(ctx context.Context, s *mesh.Stream) error { return servePrompt(ctx, s, runner, dir) })
}

func servePrompt(ctx context.Context, s *mesh.Stream, runner completion.Runner, dir OrganisationDirectory) error {
	var msg forwardpb.PromptCall
	if err := s.Recv(&msg); err != nil {
		return err
	}
	org, _, ok := dir.ByName(msg.GetOrganisation())
	if !ok {
		return sendFailure(s, apierror.NotRun(apierror.KindUnauthorized, "ask again later", "organisation %s is not known here yet", msg.GetOrganisation()))
	}
	streamCtx, stop := s.CancelOnPeerClose(ctx)
	defer stop()
	req := decodePrompt(&msg, org)
	runCtx, cancel := context.WithDeadline(streamCtx, req.Deadline)
	defer cancel()
	sink := &streamSink{stream: s}
	result, err := runner.Run(runCtx, req, sink)
	if err != nil {
		return sendFailure(s, err)
	}
	return s.Send(&forwardpb.PromptEvent{Event: &forwardpb.PromptEvent_End{End: encodeEnd(result, sink.count)}})
}

func decodePrompt(msg *forwardpb.PromptCall, org rules.Organisation) completion.Request {
	now := time.Now()
	return completion.Request{
		ID: msg.GetId(), Partner: msg.GetPartner(), Organisation: org, Model: msg.GetModel(), Adapter: msg.GetAdapter(),
		Prompt: msg.GetPrompt(), MaxTokens: int(msg.GetMaxTokens()), Stop: msg.GetStop(),
		Arrival: now, Deadline: deadlineIn(msg.GetTimeLeftMs()), Forwarded: true,
	}
}

func sendFailure(s *mesh.Stream, err error) error {
	return s.Send(&forwardpb.PromptEvent{Event: &forwardpb.PromptEvent_Failure{Failure: encodeError(err)}})
}

func encodeEnd(result completion.Result, count int) *forwardpb.PromptEnd {
	return &forwardpb.PromptEnd{
		Reason:       result.FinishReason,
		Count:        int32(count),                     //nolint:gosec // bounded by the settings
		PromptTokens: int32(result.Usage.PromptTokens), //nolint:gosec // as above
		CachedTokens: int32(result.Usage.CachedTokens), //nolint:gosec // as above
		OutputTokens: int32(result.Usage.OutputTokens), //nolint:gosec // as above
	}
}

// streamSink is a completion.Sink that sends each token to the host that forwarded
// the prompt.
type streamSink struct {
	stream *mesh.Stream
	count  int
}

// Token sends text as one event and counts it.
func (s *streamSink) Token(text string) error {
	s.count++
	return s.stream.Send(&forwardpb.PromptEvent{Event: &forwardpb.PromptEvent_Token{Token: text}})
}

// Reset reports whether no token was sent yet; sent tokens cannot be discarded.
func (s *streamSink) Reset() bool { return s.count == 0 }
