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
	// defaultLimit bounds a request where neither caller nor route say anything.
	defaultLimit = 60 * time.Second
	// sendsBeyondRuns is how many attempts that did not run may come on top of
	// the route's attempts.
	sendsBeyondRuns = 3
	// minAttempt is the time below which another attempt is pointless.
	minAttempt = 20 * time.Millisecond
	// hintFactor and hintFloor turn the caller's estimate of the output, right
	// only at the median, into what is planned for.
	hintFactor = 1.3
	hintFloor  = 200 // tokens
)

// job is one request in progress. One goroutine uses it.
type job struct {
	relay        *Relay
	req          *Request
	reply        ResponseWriter
	route        *catalog.Route
	service      *catalog.Service
	serviceName  string
	organisation string
	keyed        bool
	deadline     time.Time

	sends    int      // attempts made
	arrivals int      // attempts that may have reached a target
	runs     int      // attempts that may have run
	avoid    []string // targets tried
	// reserveRounds counts the rounds in which memory could not be reserved.
	reserveRounds int
	// reservations counts the times that memory was asked for. It is part of a
	// reservation's name: a release that comes late must not end a newer one.
	reservations int
	begun        bool     // the caller has a part of the answer
	seq          sequence // of events handed on
	// longestPause is between two events handed on.
	longestPause time.Duration
	failure      *whole // the newest answer of a target that failed
}

// whole is an answer read in full.
type whole struct {
	answer *Response
	body   []byte
}

// choose sets the service that serves the request.
func (j *job) choose(view *follow.View) {
	j.serviceName = pickBackend(j.route.Backends)
	if s, ok := view.Config.Service(j.serviceName); ok {
		j.service = s
		return
	}
	j.service = &catalog.Service{Name: j.serviceName}
}

// limit is the longest time from arrival to the end of the answer.
func (j *job) limit() time.Duration {
	limit := defaultLimit
	if j.req.Timeout > 0 {
		limit = j.req.Timeout
	}
	if j.route.Timeout > 0 {
		limit = min(limit, j.route.Timeout)
	}
	return limit
}

func (j *job) left() time.Duration { return time.Until(j.deadline) }

// step is how one attempt ended.
type step uint8

const (
	finished step = iota // the caller has its final answer, or has left
	notRun               // the request did not run at that target
	lost                 // the request may have run, without a usable answer
	failed               // the target answered that it failed
	stuck                // no attempt can be made
)

// run makes attempts until one ends the request.
func (j *job) run(ctx context.Context) {
	j.relay.cfg.RetryBudget.First(j.serviceName)
	j.seq.startAfter(j.req.LastEventID)
	defer func() { j.relay.cfg.Observer.Finished(j.route.Name, time.Since(j.req.Arrived)) }()
	reason := ReasonBusy
	for {
		end, why := j.attempt(ctx)
		if end == finished {
			return
		}
		if why != "" {
			reason = why
		}
		if end == stuck || !j.mayRetry(ctx, end) {
			j.giveUp(ctx, reason)
			return
		}
	}
}

// mayRetry reports whether another attempt is allowed and worthwhile.
func (j *job) mayRetry(ctx context.Context, end step) bool {
	switch {
	case ctx.Err() != nil, j.left() < minAttempt:
		return false
	case end != notRun && !j.route.Repeatable():
		return false
	case j.runs >= max(j.route.MaxAttempts, 1):
		return false
	case j.sends >= max(j.route.MaxAttempts, 1)+sendsBeyondRuns:
		return false
	case j.arrivals == 0:
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
	case j.begun:
		j.log("stream aborted", zap.String("last_event", j.seq.lastEvent()))
		j.reply.Abort()
	case j.failure != nil:
		j.log("failure handed on", zap.Int("status", j.failure.answer.Status))
		j.reply.WriteResponse(j.failure.answer.Status, j.failure.answer.Header, j.failure.body)
	case j.runs > 0 && j.left() < minAttempt:
		j.relay.refuse(j.req, j.reply, ReasonTimeout)
	case j.runs > 0:
		j.relay.refuse(j.req, j.reply, ReasonLost)
	default:
		j.relay.refuse(j.req, j.reply, reason)
	}
}

// need describes the request to the placement.
func (j *job) need() placement.Request {
	n := placement.Request{
		Service: j.serviceName, Engine: j.service.Engine, PromptTokens: j.req.PromptTokens,
		Objective: j.route.Objective, MaxEventGap: j.route.MaxEventGap, AbandonAfter: j.route.AbandonAfter(),
		Waited: time.Since(j.req.Arrived), ExcludedTargets: j.avoid,
	}
	n.OutputTokens = hintFloor + int(hintFactor*float64(j.req.ExpectedOutputTokens))
	if j.req.MaxOutputTokens > 0 {
		n.OutputTokens = min(n.OutputTokens, j.req.MaxOutputTokens)
	}
	return n
}

func (j *job) log(message string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request", j.req.ID), zap.String("route", j.route.Name), zap.String("service", j.serviceName),
		zap.Int("sends", j.sends), zap.Duration("elapsed", time.Since(j.req.Arrived)))
	j.relay.cfg.Log.Info(message, fields...)
}
