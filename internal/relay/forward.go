package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// maxUnsentTargets is the number of targets to which a request could not be sent from
	// which it is forwarded, although the service counts as reachable.
	maxUnsentTargets = 2
	// slowFailure is the duration of an attempt that was not sent from which the request
	// is forwarded at once, if no target has answered meanwhile.
	slowFailure = 300 * time.Millisecond
)

// ErrNoHost means that no other host could take a request. It was not sent.
var ErrNoHost = errors.New("no other host can take the request; try again later")

// Forwarder passes requests to other hosts, which may reach targets that this one does
// not.
type Forwarder interface {
	// Forward asks another host to make one attempt at a request. The error is ErrNoHost
	// if no host took it, and a *SendError if the host that took it was lost.
	Forward(ctx context.Context, call ForwardCall) (*Forwarded, error)
}

// ForwardCall is a request to forward.
type ForwardCall struct {
	Request *Request
	Origin
	// LastEventID is the id of the last event that the caller has received, empty for
	// none.
	LastEventID string
	// Permits tells in which failure domains a host may get the request; nil for all.
	Permits func(domain string) bool
}

// Origin describes a forwarded request as the host that got it from the caller had it.
type Origin struct {
	Host          string // set by the Forwarder
	Service       string
	ConfigVersion int64
	TriedTargets  []string // ids of targets that it may have reached
	Resumes       bool     // the caller has part of the response
}

// Forwarded is the outcome at the host that took a request. Either Refusal or Response is
// set. The caller of Forward closes the response's body.
type Forwarded struct {
	Host     string
	Refusal  *Refusal
	Response *Response
}

// mustForward reports whether the request is better served by another host: no target of
// the service answers this one, or no attempt at this request could be sent.
func (j *job) mustForward() bool {
	switch {
	case j.relay.cfg.Forwarder == nil, j.noHostTakesIt:
		return false
	case j.req.Origin != nil && j.relay.cfg.Placer.Lost(j.serviceName):
		return true
	case j.req.Origin != nil:
		return len(j.unsentTargets) > 0
	case j.relay.cfg.Placer.Unreachable(j.serviceName), len(j.unsentTargets) >= maxUnsentTargets:
		return true
	}
	slow := len(j.unsentTargets) > 0 && time.Since(j.attemptStarted) >= slowFailure
	return slow && !j.relay.cfg.Placer.AnsweredSince(j.serviceName, j.attemptStarted)
}

// forward passes the request to another host. A request that another host has forwarded
// goes no further.
func (j *job) forward(ctx context.Context) (attemptResult, Reason) {
	if j.req.Origin != nil {
		return resultRejected, ReasonUnreachable
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(cancel, j.progressTimeout(), nil)
	defer watchdog.stop()
	j.attemptEvents = 0
	out, err := j.relay.cfg.Forwarder.Forward(sendCtx, j.forwardCall())
	switch {
	case errors.Is(err, ErrNoHost):
		return j.handleNoHost()
	case err != nil:
		return j.handleForwardLost(ctx, err)
	case out.Refusal != nil:
		return j.handleForwardRefusal(out)
	}
	defer out.Response.Body.Close()
	j.attempts++
	j.possibleArrivals++
	j.possibleExecutions++
	return j.relayAnswer(ctx, forwardedTo{relay: j.relay, host: out.Host}, out.Response, watchdog)
}

func (j *job) forwardCall() ForwardCall {
	view := j.relay.cfg.Views.View()
	call := ForwardCall{Request: j.req, LastEventID: j.req.LastEventID, Origin: Origin{
		Service: j.serviceName, ConfigVersion: view.Config.Version, TriedTargets: j.reachedTargets(), Resumes: j.responseStarted,
	}}
	if permitted := j.permittedDomains(view); permitted.restricted() {
		call.Permits = permitted.permit
	}
	if j.responseStarted {
		call.LastEventID = j.seq.lastEventID()
	}
	return call
}

// reachedTargets returns the targets that the request may have reached. Another host may
// reach the others.
func (j *job) reachedTargets() []string {
	var out []string
	for _, target := range j.triedTargets {
		if !slices.Contains(j.unsentTargets, target) {
			out = append(out, target)
		}
	}
	return out
}

// recordUnsent records that the request could not be sent to a target.
func (j *job) recordUnsent(target string) { j.unsentTargets = append(j.unsentTargets, target) }

// handleNoHost refuses the request if the service is lost, and otherwise lets it try other
// targets.
func (j *job) handleNoHost() (attemptResult, Reason) {
	j.noHostTakesIt = true
	j.relay.cfg.Observer.Forwarded(string(ReasonUnreachable))
	j.log("no host to forward to")
	if j.relay.cfg.Placer.Lost(j.serviceName) {
		return resultRejected, ReasonUnreachable
	}
	return resultPostponed, ReasonNoTarget
}

// handleForwardLost handles the loss of the host that took the request, which may have
// executed it.
func (j *job) handleForwardLost(ctx context.Context, err error) (attemptResult, Reason) {
	j.attempts++
	j.possibleArrivals++
	j.possibleExecutions++
	j.recordOutcome("unknown", forwardedTo{relay: j.relay}, zap.Error(err))
	if ctx.Err() != nil {
		return resultUnknown, ReasonTimeout
	}
	return resultUnknown, ReasonNoUsableResponse
}

// handleForwardRefusal handles a refusal by the host that took the request.
func (j *job) handleForwardRefusal(out *Forwarded) (attemptResult, Reason) {
	j.attempts++
	j.recordOutcome("refused", forwardedTo{relay: j.relay, host: out.Host}, zap.String("reason", string(out.Refusal.Reason)), zap.Int("status", out.Refusal.Status))
	if out.Refusal.mayHaveExecuted() {
		j.possibleArrivals++
		j.possibleExecutions++
		return resultUnknown, out.Refusal.Reason
	}
	j.refusal = out.Refusal
	return resultRejected, out.Refusal.Reason
}
