package server

import (
	"context"
	"errors"

	"github.com/plantainrun/plantainrun/coord/suspect"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/completion"
	"github.com/plantainrun/plantainrun/internal/forward"
)

// suspectsAdapter adapts suspect.Tracker to completion.Suspects.
type suspectsAdapter struct {
	tracker     *suspect.Tracker
	incarnation func(target string) string
}

// Acquire waits until the prompt may run. It returns an error if the prompt is
// quarantined.
func (s *suspectsAdapter) Acquire(ctx context.Context, fp suspect.Fingerprint) (completion.TrackedRun, error) {
	run, err := s.tracker.Acquire(ctx, fp)
	if err != nil {
		return nil, quarantineError(err)
	}
	return &suspectRun{Run: run, incarnation: s.incarnation}, nil
}

// suspectRun adapts suspect.Run to completion.SuspectRun by adding the target's
// incarnation.
type suspectRun struct {
	*suspect.Run
	incarnation func(target string) string
}

// Assign records that the prompt is about to run on target.
func (r *suspectRun) Assign(target string) error {
	return quarantineError(r.Run.Assign(target, r.incarnation(target)))
}

func quarantineError(err error) error {
	var quarantined *suspect.QuarantinedError
	if errors.As(err, &quarantined) {
		return apierror.NotRun(apierror.KindQuarantined, "change the request, or come back when the quarantine is over",
			"the same request crashed the targets that ran it").WithRetryAfter(quarantined.RetryAfter)
	}
	return err
}

// arbiter forwards suspects to the host that runs all suspects of the failure
// domain. It implements completion.Arbiter.
type arbiter struct {
	fleet   *fleet
	prompts *forward.PromptForwarder
}

// Run runs a suspect at the arbiter. It returns false if the arbiter is this host or
// unreachable.
func (a *arbiter) Run(ctx context.Context, req completion.Request, sink completion.Sink) (completion.Result, bool, error) {
	host := suspect.Arbiter(a.fleet.host.Domain, a.fleet.LiveHosts(a.fleet.host.Domain))
	if host == "" || host == a.fleet.host.ID {
		return completion.Result{}, false, nil
	}
	return a.prompts.RunOnHost(ctx, host, req, sink)
}
