package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// defaultTimeout applies if the caller sets no timeout; the route can only
	// shorten it.
	defaultTimeout = 60 * time.Second
	// extraAttempts is added to the route's MaxAttempts to limit all attempts,
	// including those that the target did not execute.
	extraAttempts = 3
	// minAttemptTime is the least remaining time that justifies another attempt.
	minAttemptTime = 20 * time.Millisecond
	// outputEstimateFactor and outputEstimateOffset convert the caller's estimate
	// of the output length, which is accurate only at the median, into the number
	// of output tokens used for placement.
	outputEstimateFactor = 1.3
	outputEstimateOffset = 200 // tokens
)

// job is the state of one request in progress. It is used by a single goroutine.
type job struct {
	relay         *Relay
	req           *Request
	writer        ResponseWriter
	route         *catalog.Route
	service       *catalog.Service
	serviceName   string
	organisation  string
	authenticated bool
	deadline      time.Time

	attempts           int                 // all attempts, including those not executed
	possibleArrivals   int                 // attempts that may have reached a target
	possibleExecutions int                 // attempts that the target may have executed
	triedTargets       []string            // ids of targets that placement excludes
	unsentTargets      []string            // ids of those to which the request could not be sent
	attemptStarted     time.Time           // of the latest attempt at a target of this host's choice
	noHostTakesIt      bool                // no other host could take the request
	refusal            *Refusal            // by the host to which the request was forwarded
	reserveFailed      bool                // the memory of a placement could not be reserved
	promptKey          placement.PromptKey // of a prompt under admission; 0 before its first placement
	earlier            placement.Return    // what is known of an earlier refusal
	// reserveCalls counts the calls of reserve. It is part of the reservation
	// id, so that a delayed release cannot end a newer reservation.
	reserveCalls    int
	responseStarted bool          // the status and header have been sent to the caller
	seq             eventSequence // of the events sent to the caller
	attemptEvents   int           // events of the current attempt
	sentAfter       time.Duration // from arrival to the first attempt
	firstEventAfter time.Duration // from arrival to the first event; 0 before it
	predictedWait   time.Duration // of the latest placement
	// longestEventGap is the longest time between two events of one attempt.
	longestEventGap time.Duration
	lastFailure     *bufferedResponse // latest response of a target that failed
	// retryAfter is when a refused caller should come back, if that is known.
	retryAfter time.Duration
}

// bufferedResponse is a response whose body has been read in full.
type bufferedResponse struct {
	response *Response
	body     []byte
	held     membudget.Holding
}

// selectService picks one of the route's backends. A service that is not
// configured gets an empty definition.
func (j *job) selectService(view *follow.View) {
	j.serviceName = j.pickService()
	if s, ok := view.Config.Service(j.serviceName); ok {
		j.service = s
		return
	}
	j.service = &catalog.Service{Name: j.serviceName}
}

// pickService returns the backend that the host that forwarded the request has picked, if
// the route has it here, or picks one.
func (j *job) pickService() string {
	if o := j.req.Origin; o != nil && slices.ContainsFunc(j.route.Backends, func(b catalog.Backend) bool { return b.Service == o.Service }) {
		return o.Service
	}
	return pickBackend(j.route.Backends)
}

// timeout returns the longest time from arrival to the end of the response.
func (j *job) timeout() time.Duration {
	timeout := defaultTimeout
	if j.req.Timeout > 0 {
		timeout = j.req.Timeout
	}
	if j.route.Timeout > 0 {
		timeout = min(timeout, j.route.Timeout)
	}
	return timeout
}

func (j *job) remaining() time.Duration { return time.Until(j.deadline) }

// attemptResult is the result of one attempt.
type attemptResult uint8

const (
	resultFinal       attemptResult = iota // the response to the caller is complete or was aborted
	resultNotExecuted                      // the target did not execute the request
	resultUnknown                          // the target may have executed the request but gave no usable response
	resultFailed                           // the target executed the request and failed
	resultPostponed                        // nothing was sent; the request may be placed again
	resultRejected                         // nothing was sent, and no further attempt is allowed
)

// run makes attempts until the response is complete or no retry is allowed.
func (j *job) run(ctx context.Context) {
	if j.req.Origin == nil {
		j.relay.cfg.RetryBudget.RecordFirstAttempt(j.serviceName)
	}
	j.seq.resumeAfter(j.req.LastEventID)
	defer j.releaseLastFailure()
	defer func() { j.relay.cfg.Observer.Finished(j.route.Name, time.Since(j.req.Arrived)) }()
	reason := ReasonTargetsBusy
	for {
		result, attemptReason := j.attempt(ctx)
		if result == resultFinal {
			return
		}
		if attemptReason != "" {
			reason = attemptReason
		}
		if result == resultRejected || !j.mayRetry(ctx, result) {
			j.giveUp(ctx, reason)
			return
		}
	}
}

// mayRetry reports whether another attempt is allowed and worthwhile.
func (j *job) mayRetry(ctx context.Context, result attemptResult) bool {
	switch {
	case ctx.Err() != nil, j.remaining() < minAttemptTime:
		return false
	case result == resultPostponed:
		return true
	case result != resultNotExecuted && !j.route.Repeatable():
		return false
	case j.possibleExecutions >= j.maxExecutions():
		return false
	case j.attempts >= max(j.route.MaxAttempts, 1)+extraAttempts:
		return false
	case j.possibleArrivals == 0:
		return true
	}
	decision := j.relay.cfg.RetryBudget.DecideRetry(j.serviceName)
	j.relay.cfg.Observer.RetryDecided(j.serviceName, decision.Allowed)
	if decision.Allowed {
		j.log("retry allowed", zap.Object("budget", decision))
		return true
	}
	j.log("retry refused", zap.String("cause", "retry budget is exhausted"), zap.Object("budget", decision))
	return false
}

// maxExecutions is the number of attempts that may execute the request. The host that
// forwards a request decides whether another one is made.
func (j *job) maxExecutions() int {
	if j.req.Origin != nil {
		return 1
	}
	return max(j.route.MaxAttempts, 1)
}

// adoptOrigin takes over what the host that forwarded the request has decided.
func (j *job) adoptOrigin() {
	if j.req.Origin != nil {
		j.triedTargets = slices.Clone(j.req.Origin.TriedTargets)
	}
}

// callerHasEvents reports whether the caller has received part of the response.
func (j *job) callerHasEvents() bool {
	return j.responseStarted || (j.req.Origin != nil && j.req.Origin.Resumes)
}

// giveUp ends a request that no target served: it relays the latest failure,
// refuses the request or aborts a response that has been started.
func (j *job) giveUp(ctx context.Context, reason Reason) {
	switch {
	case errors.Is(context.Cause(ctx), errShutdown):
		j.endWithHost()
	case errors.Is(context.Cause(ctx), context.Canceled):
		j.log("caller left")
		j.writer.Abort() // the caller may still read
	case j.responseStarted:
		j.log("stream aborted", zap.String("last_event", j.seq.lastEventID()))
		j.writer.Abort()
	case j.lastFailure != nil:
		j.log("relaying failed response", zap.Int("status", j.lastFailure.response.Status))
		j.writer.WriteResponse(j.lastFailure.response.Status, j.lastFailure.response.Header, j.lastFailure.body)
	case j.possibleExecutions > 0 && j.remaining() < minAttemptTime:
		j.refuse(NewRefusal(ReasonTimeout))
	case j.possibleExecutions > 0:
		j.refuse(NewRefusal(ReasonNoUsableResponse))
	case j.refusal != nil:
		j.refuse(*j.refusal)
	default:
		j.refuse(NewRefusal(reason).after(j.retryAfter))
	}
}

// endWithHost ends a request that is in progress when the host ends.
func (j *job) endWithHost() {
	switch {
	case j.responseStarted:
		j.log("stream aborted, the host ends", zap.String("last_event", j.seq.lastEventID()))
		j.writer.Abort()
	case j.possibleExecutions > 0:
		j.refuse(NewRefusal(ReasonNoUsableResponse))
	default:
		j.refuse(NewRefusal(ReasonDraining))
	}
}

// placementRequest returns the request's requirements for placement.
func (j *job) placementRequest() placement.Request {
	req := placement.Request{
		Service: j.serviceName, Engine: j.service.Engine, PromptTokens: j.req.PromptTokens,
		Objective: j.route.Objective, MaxEventGap: j.route.MaxEventGap, AbandonAfter: j.route.AbandonAfter(),
		Waited: time.Since(j.req.Arrived), ExcludedTargets: j.triedTargets,
		ColdRate: j.service.ColdRate, ColdPeriod: j.service.ColdPeriod,
		Importance: j.precedence().Importance,
	}
	if j.contended() {
		req.Contended = true
		j.recogniseReturn()
		req.Waited += j.earlier.Waited
		req.Key, req.Returned, req.Promised = j.promptKey, j.earlier.Returned, j.earlier.Promised
		req.Patience = j.remaining()
	}
	req.OutputTokens = outputEstimateOffset + int(outputEstimateFactor*float64(j.req.ExpectedOutputTokens))
	if j.req.MaxOutputTokens > 0 {
		req.OutputTokens = min(req.OutputTokens, j.req.MaxOutputTokens)
	}
	return req
}

func (j *job) log(message string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request", j.req.ID), zap.String("route", j.route.Name), zap.String("service", j.serviceName),
		zap.Int("sends", j.attempts), zap.Duration("elapsed", time.Since(j.req.Arrived)))
	j.relay.cfg.Log.Info(message, fields...)
}
