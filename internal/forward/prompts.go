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

// maxElsewhere is how many other hosts are asked for one prompt.
const maxElsewhere = 2

// retryPause is how long a caller should wait after another host was lost.
const retryPause = time.Second

// Chooser picks hosts of other failure domains that may take a prompt.
type Chooser interface {
	// Elsewhere returns up to count hosts, the most promising first.
	Elsewhere(model string, promptTokens, count int) []string
}

// Directory finds organisations by name.
type Directory interface {
	ByName(name string) (rules.Organisation, string, bool)
}

// Prompts forwards prompts to hosts of other failure domains. It is safe for
// concurrent use and implements completion.Overflow.
type Prompts struct {
	mesh     Mesh
	chooser  Chooser
	estimate completion.Estimator
}

// NewPrompts returns a forwarder over m.
func NewPrompts(m Mesh, chooser Chooser, estimate completion.Estimator) *Prompts {
	return &Prompts{mesh: m, chooser: chooser, estimate: estimate}
}

// Run runs req at a host of another failure domain. It reports false when no
// host took the prompt.
func (p *Prompts) Run(ctx context.Context, req completion.Request, sink completion.Sink) (completion.Result, bool, error) {
	tokens := p.estimate.PromptTokens(req.Model, len(req.Prompt))
	for _, host := range p.chooser.Elsewhere(req.Model, tokens, maxElsewhere) {
		result, taken, err := p.RunAt(ctx, host, req, sink)
		if taken {
			return result, true, err
		}
	}
	return completion.Result{}, false, nil
}

// RunAt runs req at one host. It reports taken once the prompt may run at host.
func (p *Prompts) RunAt(ctx context.Context, host string, req completion.Request, sink completion.Sink) (completion.Result, bool, error) {
	s, err := p.mesh.Open(ctx, host, methodPrompt)
	if err != nil {
		return completion.Result{}, false, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.SetDeadline(req.Deadline.Add(answerMargin)); err != nil {
		return completion.Result{}, false, err
	}
	if err := s.Send(promptMessage(req)); err != nil {
		return completion.Result{}, !errors.Is(err, mesh.ErrNotSent), lostPrompt(host, err)
	}
	if err := s.CloseSend(); err != nil {
		return completion.Result{}, true, lostPrompt(host, err)
	}
	return receive(s, host, sink)
}

// receive passes the tokens on. The answer is whole only with its end and the
// count of tokens in it.
func receive(s *mesh.Stream, host string, sink completion.Sink) (completion.Result, bool, error) {
	for count := 0; ; {
		var event forwardpb.PromptEvent
		if err := s.Recv(&event); err != nil {
			return completion.Result{}, true, lostPrompt(host, err)
		}
		switch e := event.GetEvent().(type) {
		case *forwardpb.PromptEvent_Token:
			if err := sink.Token(e.Token); err != nil {
				return completion.Result{}, true, err
			}
			count++
		case *forwardpb.PromptEvent_Failure:
			failure := errorOf(e.Failure)
			return completion.Result{}, count > 0 || failure.Outcome != outcome.NotRun, failure
		case *forwardpb.PromptEvent_End:
			if int(e.End.GetCount()) != count {
				return completion.Result{}, true, apierror.New(apierror.KindIncomplete, outcome.Done, "ask again", "host %s sent %d of %d tokens", host, count, e.End.GetCount()).WithRetryAfter(retryPause)
			}
			return resultOf(e.End), true, nil
		default:
			return completion.Result{}, true, lostPrompt(host, mesh.ErrProtocol)
		}
	}
}

func lostPrompt(host string, err error) error {
	return apierror.New(apierror.KindIncomplete, outcome.Unknown, "ask again", "host %s was lost before the answer was whole: %s", host, err).WithRetryAfter(retryPause)
}

func promptMessage(req completion.Request) *forwardpb.PromptCall {
	return &forwardpb.PromptCall{
		Id: req.ID, Partner: req.Partner, Organisation: req.Organisation.Name, Model: req.Model, Adapter: req.Adapter,
		Prompt: req.Prompt, MaxTokens: int32(req.MaxTokens), Stop: req.Stop, TimeLeftMs: timeLeft(req.Deadline), //nolint:gosec // bounded by the settings
	}
}

func resultOf(end *forwardpb.PromptEnd) completion.Result {
	return completion.Result{Reason: end.GetReason(), Usage: engineapi.Usage{
		PromptTokens: int(end.GetPromptTokens()),
		CachedTokens: int(end.GetCachedTokens()),
		OutputTokens: int(end.GetOutputTokens()),
	}}
}

// ServePrompts serves the prompts that other hosts forward here.
func ServePrompts(m Mesh, runner completion.Runner, dir Directory) {
	m.Handle(methodPrompt, func(ctx context.Context, s *mesh.Stream) error { return servePrompt(ctx, s, runner, dir) })
}

func servePrompt(ctx context.Context, s *mesh.Stream, runner completion.Runner, dir Directory) error {
	var msg forwardpb.PromptCall
	if err := s.Recv(&msg); err != nil {
		return err
	}
	org, _, ok := dir.ByName(msg.GetOrganisation())
	if !ok {
		return sendFailure(s, apierror.NotRun(apierror.KindUnauthorized, "ask again later", "organisation %s is not known here yet", msg.GetOrganisation()))
	}
	watched, stop := s.CancelOnPeerClose(ctx)
	defer stop()
	req := requestOf(&msg, org)
	limited, cancel := context.WithDeadline(watched, req.Deadline)
	defer cancel()
	sink := &streamSink{stream: s}
	result, err := runner.Run(limited, req, sink)
	if err != nil {
		return sendFailure(s, err)
	}
	return s.Send(&forwardpb.PromptEvent{Event: &forwardpb.PromptEvent_End{End: endOf(result, sink.count)}})
}

func requestOf(msg *forwardpb.PromptCall, org rules.Organisation) completion.Request {
	now := time.Now()
	return completion.Request{
		ID: msg.GetId(), Partner: msg.GetPartner(), Organisation: org, Model: msg.GetModel(), Adapter: msg.GetAdapter(),
		Prompt: msg.GetPrompt(), MaxTokens: int(msg.GetMaxTokens()), Stop: msg.GetStop(),
		Arrival: now, Deadline: deadlineOf(msg.GetTimeLeftMs()), Forwarded: true,
	}
}

func sendFailure(s *mesh.Stream, err error) error {
	return s.Send(&forwardpb.PromptEvent{Event: &forwardpb.PromptEvent_Failure{Failure: failureOf(err)}})
}

func endOf(result completion.Result, count int) *forwardpb.PromptEnd {
	return &forwardpb.PromptEnd{
		Reason:       result.Reason,
		Count:        int32(count),                     //nolint:gosec // bounded by the settings
		PromptTokens: int32(result.Usage.PromptTokens), //nolint:gosec // as above
		CachedTokens: int32(result.Usage.CachedTokens), //nolint:gosec // as above
		OutputTokens: int32(result.Usage.OutputTokens), //nolint:gosec // as above
	}
}

// streamSink sends each token to the host that forwarded the prompt.
type streamSink struct {
	stream *mesh.Stream
	count  int
}

// Token sends one token.
func (s *streamSink) Token(text string) error {
	s.count++
	return s.stream.Send(&forwardpb.PromptEvent{Event: &forwardpb.PromptEvent_Token{Token: text}})
}

// Reset reports whether nothing was sent yet.
func (s *streamSink) Reset() bool { return s.count == 0 }
