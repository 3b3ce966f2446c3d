package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// defaultTimeout bounds a request where neither caller nor route say anything.
	defaultTimeout = 60 * time.Second
	// extraAttempts is how many attempts that did not run may come on top of
	// the route's attempts.
	extraAttempts = 3
	// minAttemptTime is the time below which another attempt is pointless.
	minAttemptTime = 20 * time.Millisecond
	// outputEstimateFactor and hintFloor turn the caller's estimate of the output, right
	// only at the median, into what is planned for.
	outputEstimateFactor = 1.3
	outputEstimateOffset = 200 // tokens
)

// job is one request in progress. One goroutine uses it.
type job struct {
	relay         *Relay
	req           *Request
	reply         ResponseWriter
	route         *catalog.Route
	service       *catalog.Service
	serviceName   string
	organisation  string
	authenticated bool
	deadline      time.Time

	attempts           int      // attempts made
	possibleArrivals   int      // attempts that may have reached a target
	possibleExecutions int      // attempts that may have run
	triedTargets       []string // targets tried
	// failedReserveRounds counts the rounds in which memory could not be reserved.
	failedReserveRounds int
	// reserveCalls counts the times that memory was asked for. It is part of a
	// reservation's name: a release that comes late must not end a newer one.
	reserveCalls    int
	responseStarted bool          // the caller has a part of the answer
	seq             eventSequence // of events handed on
	// longestEventGap is between two events handed on.
	longestEventGap time.Duration
	lastFailure     *bufferedResponse // the newest answer of a target that failed
}

// bufferedResponse is an answer read in full.
type bufferedResponse struct {
	response *Response
	body     []byte
}

// selectService sets the service that serves the request.
func (j *job) selectService(view *follow.View) {
	j.serviceName = pickBackend(j.route.Backends)
	if s, ok := view.Config.Service(j.serviceName); ok {
		j.service = s
		return
	}
	j.service = &catalog.Service{Name: j.serviceName}
}

// timeout is the longest time from arrival to the end of the answer.
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

// attemptResult is how one attempt ended.
type attemptResult uint8

const (
	resultFinal       attemptResult = iota // the caller has its final answer, or has left
	resultNotExecuted                      // the request did not run at that target
	resultUnknown                          // the request may have run, without a usable answer
	resultFailed                           // the target answered that it failed
	resultRejected                         // no attempt can be made
)

// run makes attempts until one ends the request.
func (j *job) run(ctx context.Context) {
	j.relay.cfg.RetryBudget.First(j.serviceName)
	j.seq.resumeAfter(j.req.LastEventID)
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
	case result != resultNotExecuted && !j.route.Repeatable():
		return false
	case j.possibleExecutions >= max(j.route.MaxAttempts, 1):
		return false
	case j.attempts >= max(j.route.MaxAttempts, 1)+extraAttempts:
		return false
	case j.possibleArrivals == 0:
		return true
	}
	if j.relay.cfg.RetryBudget.Retry(j.serviceName) {
		return true
	}
	j.log("retry refused", zap.String("cause", "retry budget is used up"))
	return false
}

// giveUp sends the final answer of a request that no target served.
func (j *job) giveUp(ctx context.Context, reason Reason) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		j.log("caller left")
	case j.responseStarted:
		j.log("stream aborted", zap.String("last_event", j.seq.lastEventID()))
		j.reply.Abort()
	case j.lastFailure != nil:
		j.log("failure handed on", zap.Int("status", j.lastFailure.response.Status))
		j.reply.WriteResponse(j.lastFailure.response.Status, j.lastFailure.response.Header, j.lastFailure.body)
	case j.possibleExecutions > 0 && j.remaining() < minAttemptTime:
		j.relay.refuse(j.req, j.reply, ReasonTimeout)
	case j.possibleExecutions > 0:
		j.relay.refuse(j.req, j.reply, ReasonNoUsableResponse)
	default:
		j.relay.refuse(j.req, j.reply, reason)
	}
}

// placementRequest describes the request to the placement.
func (j *job) placementRequest() placement.Request {
	req := placement.Request{
		Service: j.serviceName, Engine: j.service.Engine, PromptTokens: j.req.PromptTokens,
		Objective: j.route.Objective, MaxEventGap: j.route.MaxEventGap, AbandonAfter: j.route.AbandonAfter(),
		Waited: time.Since(j.req.Arrived), ExcludedTargets: j.triedTargets,
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
