package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// maxBufferedBytes is the largest response body that is buffered in full
	// before its first byte is sent to the caller. A buffered response that
	// breaks off can still be retried.
	maxBufferedBytes = 1 << 20 // bytes
	// chunkBytes is the size of the pieces in which a larger response is relayed.
	chunkBytes = 64 << 10 // bytes
	// attemptTimeoutFraction is the fraction of the remaining time that an
	// attempt may take while a further attempt is allowed.
	attemptTimeoutFraction = 0.4
	// maxWaitRatio is the ratio of the expected total wait to the time that the
	// caller is expected to wait; a request at or above it is refused
	// immediately.
	maxWaitRatio = 1.0
	// reservedWaitRatio is the ratio of the wait for the first event to the predicted
	// one from which a target with reserved memory counts as unresponsive, and
	// minReservedWait is the shortest such wait.
	reservedWaitRatio = 4
	minReservedWait   = 4 * time.Second
)

// attempt places the request, sends it once and handles the response.
func (j *job) attempt(ctx context.Context) (attemptResult, Reason) {
	if !j.keyStillValid() {
		return resultRejected, ReasonConfigUnconfirmed
	}
	if j.quarantined() {
		return resultRejected, ReasonQuarantined
	}
	if j.mustForward() {
		return j.forward(ctx)
	}
	placed, err := j.place()
	var deferred *placement.DeferredError
	var backlogged *placement.BacklogError
	switch {
	case errors.As(err, &backlogged):
		return j.refuseBacklogged(backlogged)
	case errors.As(err, &deferred):
		return j.waitUntilWanted(ctx, deferred)
	case err != nil:
		return resultRejected, j.placementReason(err)
	}
	defer placed.End(placement.Abandoned) // unless it has ended
	if j.waitTooLong(placed) {
		return resultRejected, j.waitReason()
	}
	reservations, err := j.relay.reserve(ctx, j, placed)
	if err != nil {
		placed.End(placement.Abandoned)
		return j.handleReserveFailure(ctx)
	}
	defer reservations.release()
	if reason := j.withdrawn(placed); reason != "" { // since memory was reserved
		return resultPostponed, reason
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(cancel, j.firstEventTimeout(placed, reservations), reservations.usage)
	defer watchdog.stop()
	sentAt := time.Now()
	resp, err := j.send(sendCtx, placed, reservations)
	if err != nil {
		return j.handleSendError(ctx, placed, err)
	}
	defer resp.Body.Close()
	if !resp.Misdirected {
		j.recordRateLimit(placed.Primary, resp.RateLimit, sentAt)
		j.recordLeaving(placed.Primary, resp.Leaving)
	}
	return j.handleResponse(ctx, placed, resp, watchdog)
}

// keyStillValid rechecks the key. Since the request was admitted, the
// configuration may have changed or its last confirmation may have become too
// old.
func (j *job) keyStillValid() bool {
	if !j.authenticated {
		return true
	}
	org, found := j.relay.cfg.Views.View().Config.Organisation(j.req.Key)
	return found && org.Name == j.organisation && j.relay.viewFresh()
}

// at returns the destination of an attempt that this host has placed.
func (j *job) at(placed *placement.Placement) destination {
	return placedAt{Placement: placed, relay: j.relay}
}

func (j *job) place() (*placement.Placement, error) {
	view := j.relay.cfg.Views.View()
	all := view.Targets(j.serviceName)
	targets := j.permittedDomains(view).filter(all)
	if len(targets) == 0 && len(all) > 0 {
		return nil, errNotPermitted
	}
	req := j.placementRequest()
	if len(targets) > 0 && !placement.Feasible(&req, len(targets)) {
		return nil, errInfeasible
	}
	return j.relay.cfg.Placer.Place(req, targets)
}

// withdrawn returns why a placement must not be used any more: a target wants no requests
// now, or has left the view since the placement was made. It returns "" if it may be used.
func (j *job) withdrawn(placed *placement.Placement) Reason {
	if j.relay.cfg.Placer.Declines(placed.Primary) {
		return ReasonTargetsResting
	}
	view := j.relay.cfg.Views.View()
	if !view.Usable(placed.Primary.TargetKey) {
		return ReasonNoTarget
	}
	for _, part := range placed.Parts {
		if !view.Usable(part.Target.TargetKey) {
			return ReasonNoTarget
		}
	}
	return ""
}

// errInfeasible means that a prompt does not fit into the memory of all engines that it
// could be split over.
var errInfeasible = errors.New("prompt exceeds the memory of the engines")

// errFailureTooLarge means that a target failed with a response that is not buffered whole, so
// that it cannot be told whether the caller should get it.
var errFailureTooLarge = errors.New("response of a failed target exceeds the size limit")

// errNotPermitted means that all targets are in regions where the request may not run.
var errNotPermitted = errors.New("no target in a permitted region")

// placementReason is why a request that cannot be placed is refused.
func (j *job) placementReason(err error) Reason {
	switch {
	case errors.Is(err, errInfeasible):
		return ReasonInfeasible
	case errors.Is(err, errNotPermitted):
		return ReasonNotPermitted
	case j.reserveFailed:
		return ReasonNoMemory
	case j.relay.cfg.Views.View().AllEvacuated(j.serviceName):
		return ReasonEvacuated
	}
	return ReasonNoTarget
}

// waitTooLong reports whether the caller is expected to disconnect before the
// first event even with the best placement. The backlog may be shorter when the
// caller retries later.
func (j *job) waitTooLong(placed *placement.Placement) bool {
	if j.route.Kind != catalog.Streaming || j.callerHasEvents() {
		return false
	}
	wait := time.Since(j.req.Arrived) + placed.PredictedWait
	limit := min(j.route.AbandonAfter(), j.timeout())
	if float64(wait) < maxWaitRatio*float64(limit) {
		return false
	}
	j.log("placement rejected, predicted wait too long", zap.String("target", placed.Primary.ID), zap.Duration("predicted_wait", placed.PredictedWait), zap.Duration("patience", limit))
	return true
}

// firstEventTimeout returns how long an attempt may take until its first event. One
// that holds reserved memory must not keep it for a target that does not respond.
func (j *job) firstEventTimeout(placed *placement.Placement, reservations *reservationSet) time.Duration {
	timeout := j.progressTimeout()
	maxIdle := j.relay.settings.Load().MaxIdleReservation
	if !reservations.holdsMemory() || maxIdle == 0 {
		return timeout
	}
	expected := max(minReservedWait, time.Duration(reservedWaitRatio*float64(placed.PredictedWait)))
	return min(timeout, expected, maxIdle)
}

// waitReason is why a request whose wait is too long is refused.
func (j *job) waitReason() Reason {
	if j.reserveFailed {
		return ReasonNoMemory
	}
	return ReasonInfeasible
}

// progressTimeout returns how long an attempt may take without progress before
// it is cancelled.
func (j *job) progressTimeout() time.Duration {
	left := j.remaining()
	if j.route.Kind == catalog.Streaming && !j.callerHasEvents() {
		return left // prefill on a busy engine delays the first event
	}
	if !j.route.Repeatable() || j.possibleExecutions+1 >= j.maxExecutions() {
		return left
	}
	if j.route.Kind == catalog.Streaming {
		return min(left, time.Duration(stallTimeoutFraction*float64(j.route.AbandonAfter())))
	}
	return min(left, max(time.Duration(attemptTimeoutFraction*float64(left)), 3*j.route.Objective))
}

func (j *job) send(ctx context.Context, placed *placement.Placement, reservations *reservationSet) (*Response, error) {
	j.attempts++
	j.attemptEvents = 0
	j.attemptStarted = time.Now()
	j.recordSent(placed.PredictedWait)
	j.triedTargets = append(j.triedTargets, placed.Primary.ID)
	call := Call{
		Request: j.req, Target: placed.Primary, Organisation: j.organisation, Remaining: j.remaining(),
		LastEventID: j.req.LastEventID, Helpers: reservations.helpers,
	}
	if j.service.Engine != nil {
		call.Urgency = urgency(placed)
		call.Rank = j.precedence().Rank
	}
	if j.responseStarted {
		call.LastEventID = j.seq.lastEventID()
	}
	j.log("attempt", append(j.callerFields(), zap.String("target", placed.Primary.ID), zap.String("domain", placed.Primary.Domain),
		zap.Duration("predicted_wait", placed.PredictedWait), zap.Bool("late", placed.Late), zap.Bool("returned", j.earlier.Returned), zap.Duration("waited_before", j.earlier.Waited), zap.Strings("helpers", reservations.helperIDs()),
		zap.Duration("view_age", j.relay.cfg.Views.Age()))...)
	return j.relay.cfg.Transport.Send(ctx, call)
}

func urgency(placed *placement.Placement) Urgency {
	if placed.Late {
		return UrgencyLate
	}
	return UrgencyTimely
}

// handleSendError handles an attempt that got no response. The request counts as
// possibly executed unless it is certain that it was not sent.
func (j *job) handleSendError(ctx context.Context, placed *placement.Placement, err error) (attemptResult, Reason) {
	var sendErr *SendError
	sent := !errors.As(err, &sendErr) || sendErr.MaybeSent
	label := "not_sent"
	if sent {
		label = "unknown"
		j.possibleArrivals++
		j.possibleExecutions++
	} else {
		j.recordUnsent(placed.Primary.ID)
	}
	j.recordOutcome(label, j.at(placed), j.brokenAttemptFields(err)...)
	if ctx.Err() != nil {
		placed.End(placement.Abandoned)
		return resultUnknown, ReasonTimeout
	}
	if !sent {
		placed.End(placement.Unconnected)
		return resultNotExecuted, ReasonNoTarget
	}
	placed.End(sendErr.placementResult())
	j.recordCrash(placed.Primary.TargetKey)
	return resultUnknown, ReasonNoUsableResponse
}

// handleResponse decides whether the request was executed and relays the
// response or returns why another attempt is needed.
func (j *job) handleResponse(ctx context.Context, placed *placement.Placement, resp *Response, watchdog *watchdog) (attemptResult, Reason) {
	j.possibleArrivals++
	switch {
	case resp.Refused() && resp.Misdirected:
		placed.End(placement.Misdirected)
		j.recordOutcome("misdirected", j.at(placed), resp.logFields()...)
		return resultNotExecuted, ReasonNoTarget
	case resp.Refused():
		j.recordRefusal(placed, resp)
		j.recordOutcome("not_run", j.at(placed), append(resp.logFields(), zap.Duration("retry_after", resp.RetryAfter))...)
		return resultNotExecuted, ReasonTargetsBusy
	}
	j.possibleExecutions++
	if !resp.Authentic {
		placed.End(placement.Failed)
		j.recordOutcome("not_authentic", j.at(placed), resp.logFields()...)
		return resultUnknown, ReasonNoUsableResponse
	}
	return j.relayAnswer(ctx, j.at(placed), resp, watchdog)
}

// relayAnswer relays the response to a request that may have been executed, or returns
// why another attempt is needed.
func (j *job) relayAnswer(ctx context.Context, dest destination, resp *Response, watchdog *watchdog) (attemptResult, Reason) {
	switch {
	case resp.outcome() == outcome.Unknown:
		return j.rejectAnswer(dest, resp)
	case resp.Stream && resp.Status == http.StatusOK:
		return j.relayStream(ctx, dest, resp, watchdog)
	}
	return j.relayResponse(ctx, dest, resp)
}

// rejectAnswer handles a response that does not tell whether the request was executed: its
// status would promise the caller that it was not, which the target does not state, or it
// contradicts what the target states. Nothing of it reaches the caller, so its body is not
// waited for.
func (j *job) rejectAnswer(dest destination, resp *Response) (attemptResult, Reason) {
	dest.End(placement.Failed)
	j.recordOutcome("unstated", dest, resp.logFields()...)
	return resultUnknown, ReasonNoUsableResponse
}

// recordRefusal records a refusal against the engine that caused it, which may be
// a helper rather than the primary target.
func (j *job) recordRefusal(placed *placement.Placement, resp *Response) {
	if resp.RetryAfter > 0 {
		j.relay.cfg.Placer.RecordRest(placed.Primary, resp.RetryAfter)
	}
	if resp.FaultAddr == "" || resp.FaultAddr == placed.Primary.Addr.String() {
		placed.End(placement.Shed)
		return
	}
	for _, part := range placed.Parts {
		if part.Target.Addr.String() == resp.FaultAddr {
			j.relay.cfg.Placer.RecordResult(part.Target, placement.Unreachable)
		}
	}
	placed.End(placement.Served)
}

// relayResponse relays a response that is not an event stream.
func (j *job) relayResponse(ctx context.Context, dest destination, resp *Response) (attemptResult, Reason) {
	held := j.relay.cfg.Memory.Hold(membudget.ResponseBody)
	body, err := held.ReadAll(resp.Body, maxBufferedBytes+1)
	failed := resp.Status >= http.StatusInternalServerError
	if failed && err == nil && len(body) <= maxBufferedBytes && !j.responseStarted {
		dest.End(placement.Failed)
		return j.handleFailure(dest, &bufferedResponse{response: resp, body: body, held: held})
	}
	defer held.Release()
	full := errors.Is(err, membudget.ErrExhausted)
	switch {
	case failed && full, err != nil && !full:
		return j.handleBrokenResponse(ctx, dest, err)
	case failed && len(body) > maxBufferedBytes:
		return j.handleBrokenResponse(ctx, dest, errFailureTooLarge)
	case j.responseStarted:
		dest.End(placement.Failed)
		j.recordOutcome("failed", dest, resp.logFields()...)
		return resultFailed, ReasonNoUsableResponse
	case full, len(body) > maxBufferedBytes:
		j.relayLargeResponse(ctx, dest, resp, body)
		return resultFinal, ""
	}
	dest.End(placement.Served)
	j.recordAnswer(dest)
	j.logLateness(time.Since(j.req.Arrived))
	j.recordOutcome("done", dest, resp.logFields()...)
	j.writer.WriteResponse(resp.Status, resp.Header, body)
	return resultFinal, ""
}

// handleFailure keeps the response of a target that failed.
func (j *job) handleFailure(dest destination, failure *bufferedResponse) (attemptResult, Reason) {
	j.recordOutcome("failed", dest, failure.response.logFields()...)
	j.releaseLastFailure()
	j.lastFailure = failure
	return resultFailed, ReasonNoUsableResponse
}

// releaseLastFailure gives the memory of the latest response of a target that failed back.
func (j *job) releaseLastFailure() {
	if j.lastFailure != nil {
		j.lastFailure.held.Release()
	}
}

// relayLargeResponse streams a response that is not buffered whole to the caller as it
// arrives, beginning with the prefix already read.
func (j *job) relayLargeResponse(ctx context.Context, dest destination, resp *Response, prefix []byte) {
	j.responseStarted = true
	j.writer.WriteHeader(resp.Status, resp.Header)
	readErr, writeErr := j.relayBody(resp.Body, prefix)
	switch {
	case readErr != nil:
		j.handleBrokenResponse(ctx, dest, readErr)
		j.writer.Abort()
	case writeErr != nil:
		dest.End(placement.Served)
		j.recordOutcome("broken", dest, zap.Error(writeErr))
		j.writer.Abort()
	default:
		dest.End(placement.Served)
		j.recordOutcome("done", dest, resp.logFields()...)
	}
}

// relayBody sends a prefix and the rest of a body to the caller. It returns the error of reading
// or that of writing; both are nil at the end of the body.
func (j *job) relayBody(body io.Reader, prefix []byte) (readErr, writeErr error) {
	writeErr = j.writer.WriteChunk(prefix)
	buf := make([]byte, chunkBytes)
	for writeErr == nil {
		n, err := body.Read(buf)
		if n > 0 {
			writeErr = j.writer.WriteChunk(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
	}
	return nil, writeErr
}

// handleBrokenResponse handles a response that ended prematurely.
func (j *job) handleBrokenResponse(ctx context.Context, dest destination, err error) (attemptResult, Reason) {
	j.recordOutcome("broken", dest, j.brokenAttemptFields(err)...)
	if ctx.Err() != nil {
		dest.End(placement.Abandoned)
		return resultUnknown, ReasonTimeout
	}
	if errors.Is(err, membudget.ErrExhausted) {
		dest.End(placement.Abandoned) // the target is not at fault
		return resultUnknown, ReasonNoUsableResponse
	}
	dest.End(placement.Failed)
	if target, ok := dest.target(); ok {
		j.recordCrash(target)
	}
	return resultUnknown, ReasonNoUsableResponse
}

// brokenAttemptFields returns what helps to tell a request that crashes its target from
// one that ran beside it: how far the answer got, and what the prompt shares with others.
func (j *job) brokenAttemptFields(err error) []zap.Field {
	fields := []zap.Field{zap.Error(err), zap.Int("events", j.attemptEvents), zap.Strings("shared_parts", j.req.SharedParts)}
	if errors.Is(err, membudget.ErrExhausted) {
		fields = append(fields, zap.Object("memory", j.relay.cfg.Memory.Usage()))
	}
	return fields
}

func (j *job) recordOutcome(outcome string, dest destination, fields ...zap.Field) {
	dest.recordOutcome(j.serviceName, outcome)
	fields = append(fields, zap.String("outcome", outcome))
	j.log("attempt ended", append(fields, dest.fields()...)...)
}
