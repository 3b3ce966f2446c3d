package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// open submits the prompt, or resumes the stream on a new connection if the prompt
// may already have reached the engine. It returns an *Error or a fault.
func (a *attempt) open(ctx context.Context) (*exchange, error) {
	if !a.maybeSent || a.resubmitNext {
		return a.submit(ctx)
	}
	return a.resume(ctx)
}

// submit sends the prompt. The engine has accepted it if the error is nil.
func (a *attempt) submit(ctx context.Context) (*exchange, error) {
	resubmission := a.maybeSent
	a.resubmitNext, a.resubmitted = false, resubmission
	req, err := http.NewRequest(http.MethodPost, targetURL(a.target, engineapi.PathGenerate), a.body.reader())
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Outcome: a.failureOutcome(), Target: a.target.ID, Cause: err}
	}
	req.ContentLength = a.body.size
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engineapi.HeaderRequestID, a.id)
	x, err := a.roundTrip(ctx, req, resubmission, a.body.size)
	if err != nil {
		return nil, err
	}
	a.maybeSent = true
	if x.resp.StatusCode != http.StatusOK {
		return nil, a.readRefusal(x, resubmission)
	}
	a.accepted = true
	return x, nil
}

// resume requests the stream from the next token on.
func (a *attempt) resume(ctx context.Context) (*exchange, error) {
	path := engineapi.PathStreams + "/" + a.id + "?offset=" + strconv.Itoa(a.result.Tokens)
	req, err := http.NewRequest(http.MethodGet, targetURL(a.target, path), http.NoBody)
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Outcome: a.failureOutcome(), Target: a.target.ID, Cause: err}
	}
	req.Header.Set(engineapi.HeaderRequestID, a.id)
	a.result.Resumes++
	a.client.resumes.Add(1)
	x, err := a.roundTrip(ctx, req, true, 0)
	if err != nil {
		return nil, err
	}
	switch x.resp.StatusCode {
	case http.StatusOK:
		a.accepted = true
		return x, nil
	case http.StatusNotFound:
		x.release()
		return nil, faultUnknownStream
	default:
		x.abandon()
		return nil, faultConnLost
	}
}

// roundTrip sends req and verifies that the response belongs to this request.
func (a *attempt) roundTrip(ctx context.Context, req *http.Request, newConn bool, size int64) (*exchange, error) {
	timeout := a.client.timeouts.FirstByte(a.remaining(), size)
	x, err := startExchange(ctx, a.endpoint, req, newConn, timeout)
	if err != nil {
		return nil, a.classifyFailure(ctx, x, err, newConn)
	}
	a.consecutiveUnanswered = 0
	a.result.Leaving = a.result.Leaving || headerIsSet(x.resp.Header, engineapi.HeaderLeaving)
	if x.resp.Header.Get(engineapi.HeaderRequestID) != a.id {
		a.maybeSent = true
		x.abandon()
		return nil, faultWrongRequest
	}
	return x, nil
}

// classifyFailure classifies an exchange that ended without a response header.
func (a *attempt) classifyFailure(ctx context.Context, x *exchange, err error, newConn bool) error {
	x.abandon()
	if x.closeAndCheckSent() {
		a.maybeSent = true
	}
	stalled := ctx.Err() == nil && x.stalled()
	if stalled {
		a.recordStall(x)
	}
	switch {
	case !a.maybeSent && ctx.Err() == nil:
		return &Error{Kind: KindUnreachable, Outcome: outcome.NotRun, Target: a.target.ID, Cause: err}
	case !x.connected():
		a.consecutiveUnanswered++
		return classifyDialError(err)
	case stalled && newConn:
		a.consecutiveUnanswered++
		return faultStalled
	case stalled:
		return faultStalled
	default:
		return faultConnLost
	}
}

func classifyDialError(err error) fault {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return faultConnRefused
	}
	return faultDialFailed
}

// recordStall counts a stalled connection and closes others that have probably
// stalled too.
func (a *attempt) recordStall(x *exchange) {
	a.client.stalledConnections.Add(1)
	a.client.preemptiveCloses.Add(uint64(x.closeLikelyStalled()))
}

// readRefusal reads the refusal of a submitted prompt. The refusal of a resubmission
// does not tell whether the first submission ran, so its outcome is never NotRun.
func (a *attempt) readRefusal(x *exchange, resubmission bool) error {
	const maxRefusalBytes = 64 << 10
	x.resetTimer(a.client.timeouts.NextToken(a.remaining()))
	var refusal engineapi.Refusal
	err := json.NewDecoder(io.LimitReader(x.resp.Body, maxRefusalBytes)).Decode(&refusal)
	x.release()
	if resubmission && refusal.Reason == engineapi.ReasonDuplicate {
		a.accepted = true
		return faultConnLost
	}
	failure := &Error{Kind: KindRefused, Target: a.target.ID, Reason: refusal.Reason, Detail: refusal.Detail}
	failure.Outcome = refusalOutcome(x.resp)
	if resubmission && failure.Outcome == outcome.NotRun {
		failure.Outcome = outcome.Unknown
	}
	if err != nil {
		failure.Cause = errors.New("refusal with status " + x.resp.Status + " has no readable body")
	}
	return failure
}

// refusalOutcome derives the outcome of a call from the status and header of its
// refusal. A status of 500 or above may come from an intermediary in front of the
// engine.
func refusalOutcome(resp *http.Response) outcome.Outcome {
	result := outcome.OfResponse(resp.StatusCode, resp.Header.Get(engineapi.HeaderNotRun) == "1")
	switch result {
	case outcome.Done:
		return outcome.Failed
	case outcome.Failed:
		return outcome.Unknown
	default:
		return result
	}
}

// backoff waits before the next connection: not at all after the first fault, then
// for a random time that doubles with each fault. It returns false if ctx has ended.
func backoff(ctx context.Context, faults int) bool {
	if faults <= 1 {
		return ctx.Err() == nil
	}
	limit := min(maxBackoff, initialBackoff<<min(faults-2, 10))
	t := time.NewTimer(rand.N(limit) + limit/2)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
