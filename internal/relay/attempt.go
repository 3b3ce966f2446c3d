package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// bufferedAnswer is the largest answer that is read in full before its
	// first byte goes to the caller, so that a broken one can be repeated.
	bufferedAnswer = 1 << 20 // bytes
	// attemptShare is the part of the time left that an attempt may take while
	// another one could follow.
	attemptShare = 0.4
	// hopelessShare is the predicted wait, in parts of the caller's patience,
	// from which on a request is refused at once.
	hopelessShare = 1.5
)

// attempt places the request, sends it once and handles the answer.
func (j *job) attempt(ctx context.Context) (step, Reason) {
	if !j.stillAllowed() {
		return stuck, ReasonUnconfirmed
	}
	placed, reason := j.place()
	if placed == nil {
		return stuck, reason
	}
	if j.hopeless(placed) {
		placed.End(placement.Abandoned)
		return stuck, ReasonHopeless
	}
	held, err := j.relay.reserve(ctx, j, placed)
	if err != nil {
		placed.End(placement.Abandoned)
		return j.withoutMemory(ctx)
	}
	defer held.release()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(cancel, j.patience())
	defer watchdog.stop()
	answer, err := j.send(sendCtx, placed, held)
	if err != nil {
		return j.unanswered(ctx, placed, err)
	}
	defer answer.Body.Close()
	return j.take(ctx, placed, answer, watchdog)
}

// stillAllowed rechecks the key: the configuration may have changed, or may no
// longer be confirmed, since the request was admitted.
func (j *job) stillAllowed() bool {
	if !j.keyed {
		return true
	}
	org, known := j.relay.cfg.Views.View().Config.Organisation(j.req.Key)
	return known && org.Name == j.organisation && j.relay.trusted()
}

func (j *job) place() (*placement.Placement, Reason) {
	targets := j.relay.cfg.Views.View().Targets(j.serviceName)
	need := j.need()
	if len(targets) > 0 && !placement.Feasible(&need, len(targets)) {
		return nil, ReasonHopeless
	}
	placed, err := j.relay.cfg.Placer.Place(need, targets)
	switch {
	case err != nil && j.reserveRounds > 0:
		return nil, ReasonNoMemory
	case err != nil:
		return nil, ReasonNoTarget
	}
	return placed, ""
}

// hopeless reports whether even the best choice would keep the caller waiting
// until it leaves. Another try a little later may meet a shorter backlog.
func (j *job) hopeless(placed *placement.Placement) bool {
	if j.route.Kind != catalog.Streaming || j.begun {
		return false
	}
	wait := time.Since(j.req.Arrived) + placed.PredictedWait
	limit := min(j.route.AbandonAfter(), j.limit())
	if float64(wait) < hopelessShare*float64(limit) {
		return false
	}
	j.log("not placed", zap.String("target", placed.Primary.ID), zap.Duration("predicted_wait", placed.PredictedWait), zap.Duration("patience", limit))
	return true
}

// patience is how long an attempt may go without a sign of progress.
func (j *job) patience() time.Duration {
	left := j.left()
	if j.route.Kind == catalog.Streaming && !j.begun {
		return left // a busy engine reads for long before its first event
	}
	if !j.route.Repeatable() || j.runs+1 >= j.route.MaxAttempts {
		return left
	}
	if j.route.Kind == catalog.Streaming {
		return min(left, time.Duration(silenceShare*float64(j.route.AbandonAfter())))
	}
	return min(left, max(time.Duration(attemptShare*float64(left)), 3*j.route.Objective))
}

func (j *job) send(ctx context.Context, placed *placement.Placement, held *holding) (*Response, error) {
	j.sends++
	j.avoid = append(j.avoid, placed.Primary.ID)
	call := Call{
		Request: j.req, Target: placed.Primary, Organisation: j.organisation, Remaining: j.left(),
		LastEventID: j.req.LastEventID, Helpers: held.helpers,
	}
	if j.service.Engine != nil {
		call.Urgency = urgency(placed)
	}
	if j.begun {
		call.LastEventID = j.seq.lastEvent()
	}
	j.log("attempt", zap.String("target", placed.Primary.ID), zap.String("domain", placed.Primary.Domain),
		zap.Duration("predicted_wait", placed.PredictedWait), zap.Bool("late", placed.Late), zap.Strings("helpers", held.ids()),
		zap.Int("prompt_tokens", j.req.PromptTokens), zap.Duration("view_age", j.relay.cfg.Views.Age()))
	return j.relay.cfg.Transport.Send(ctx, call)
}

func urgency(placed *placement.Placement) Urgency {
	if placed.Late {
		return UrgencyLate
	}
	return UrgencyTimely
}

// unanswered handles an attempt without an answer.
func (j *job) unanswered(ctx context.Context, placed *placement.Placement, err error) (step, Reason) {
	var sendErr *SendError
	sent := !errors.As(err, &sendErr) || sendErr.MaybeSent
	outcome := "not_sent"
	if sent {
		outcome = "unknown"
		j.arrivals++
		j.runs++
	}
	j.observe(outcome, placed, zap.Error(err))
	if ctx.Err() != nil {
		placed.End(placement.Abandoned)
		return lost, ReasonTimeout
	}
	placed.End(placement.Unreachable)
	if !sent {
		return notRun, ReasonNoTarget
	}
	j.crashed(placed.Primary.TargetKey)
	return lost, ReasonLost
}

// take handles an answer.
func (j *job) take(ctx context.Context, placed *placement.Placement, answer *Response, watchdog *watchdog) (step, Reason) {
	j.arrivals++
	switch {
	case answer.Misdirected:
		placed.End(placement.Misdirected)
		j.observe("misdirected", placed)
		return notRun, ReasonNoTarget
	case answer.NotExecuted:
		j.blame(placed, answer)
		j.observe("not_run", placed, zap.Int("status", answer.Status))
		return notRun, ReasonBusy
	}
	j.runs++
	if !answer.Authentic {
		placed.End(placement.Failed)
		j.observe("not_authentic", placed, zap.Int("status", answer.Status))
		return lost, ReasonLost
	}
	if answer.Stream && answer.Status == http.StatusOK {
		return j.takeStream(ctx, placed, answer, watchdog)
	}
	return j.takeWhole(ctx, placed, answer)
}

// blame notes a refusal at the engine that caused it.
func (j *job) blame(placed *placement.Placement, answer *Response) {
	if answer.FaultAddr == "" || answer.FaultAddr == placed.Primary.Addr.String() {
		placed.End(placement.Shed)
		return
	}
	for _, part := range placed.Parts {
		if part.Target.Addr.String() == answer.FaultAddr {
			j.relay.cfg.Placer.RecordResult(part.Target, placement.Unreachable)
		}
	}
	placed.End(placement.Served)
}

// takeWhole handles an answer that is no stream.
func (j *job) takeWhole(ctx context.Context, placed *placement.Placement, answer *Response) (step, Reason) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, bufferedAnswer+1))
	if err != nil {
		return j.broken(ctx, placed, err)
	}
	if j.begun {
		placed.End(placement.Failed)
		return failed, ReasonLost
	}
	if len(body) > bufferedAnswer {
		j.passOn(placed, answer, body)
		return finished, ""
	}
	if answer.Status >= http.StatusInternalServerError {
		placed.End(placement.Failed)
		return j.takeFailure(placed, &whole{answer: answer, body: body})
	}
	placed.End(placement.Served)
	j.observe("done", placed, zap.Int("status", answer.Status))
	j.reply.WriteResponse(answer.Status, answer.Header, body)
	return finished, ""
}

// takeFailure keeps the answer of a target that failed. One whose status
// promises that the request did not run is not handed on: it has run.
func (j *job) takeFailure(placed *placement.Placement, w *whole) (step, Reason) {
	j.observe("failed", placed, zap.Int("status", w.answer.Status))
	if w.answer.Status != http.StatusServiceUnavailable {
		j.failure = w
	}
	return failed, ReasonLost
}

// passOn hands on a large answer while it arrives.
func (j *job) passOn(placed *placement.Placement, answer *Response, start []byte) {
	j.begun = true
	j.reply.WriteHeader(answer.Status, answer.Header)
	err := j.reply.WriteChunk(start)
	buf := make([]byte, 64<<10)
	for err == nil {
		var n int
		n, err = answer.Body.Read(buf)
		if n > 0 {
			if sendErr := j.reply.WriteChunk(buf[:n]); sendErr != nil {
				err = sendErr
			}
		}
	}
	placed.End(placement.Served)
	if !errors.Is(err, io.EOF) {
		j.observe("broken", placed, zap.Error(err))
		j.reply.Abort()
		return
	}
	j.observe("done", placed, zap.Int("status", answer.Status))
}

// broken handles an answer that ended early.
func (j *job) broken(ctx context.Context, placed *placement.Placement, err error) (step, Reason) {
	j.observe("broken", placed, zap.Error(err))
	if ctx.Err() != nil {
		placed.End(placement.Abandoned)
		return lost, ReasonTimeout
	}
	placed.End(placement.Failed)
	j.crashed(placed.Primary.TargetKey)
	return lost, ReasonLost
}

func (j *job) observe(outcome string, placed *placement.Placement, fields ...zap.Field) {
	j.relay.cfg.Observer.AttemptEnded(j.serviceName, outcome)
	fields = append(fields, zap.String("outcome", outcome), zap.String("target", placed.Primary.ID))
	j.log("attempt ended", fields...)
}
