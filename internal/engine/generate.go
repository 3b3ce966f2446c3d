package engine

import (
	"context"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Result describes an attempt. After an error it holds what was known at that point.
type Result struct {
	Outcome      outcome.Outcome
	Tokens       int    // number of tokens delivered to the sink
	FinishReason string // "stop" or "length" if the response is complete
	Usage        engineapi.Usage
	Resumes      int  // connections opened to resume the stream
	Leaving      bool // the engine reported that it is leaving and takes no new work
}

// Sink receives the tokens of a response, in order and each exactly once. It does not
// receive the end marker. An error ends the attempt and cancels the engine's stream.
type Sink func(engineapi.Chunk) error

const (
	// maxConsecutiveFaults is the number of connections in a row that may fail
	// without delivering a new token.
	maxConsecutiveFaults = 4
	// maxConsecutiveUnanswered is the number of new connections in a row that may
	// fail to open or to deliver a response header.
	maxConsecutiveUnanswered = 2
	// maxProtocolErrors is the number of invalid responses allowed in one attempt.
	maxProtocolErrors = 8
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = time.Second
)

// Generate runs one attempt of req at the target and delivers its tokens to sink.
// It returns a nil error only for a complete response: every token from 0 to the
// count in the end marker, all with the id of this request. The attempt ends with
// ctx or with the request's deadline, whichever is first.
//
// A connection is monitored for progress; see Timeouts. A connection that stalls, is
// lost or delivers invalid data is replaced by a new one to the same engine, where
// the stream is resumed at the next token. Any other error is an *Error. Its outcome
// is NotRun only if no byte of the request can have been sent, or if the engine
// reported that it did not run the request. A stream that is not known to have ended
// is cancelled in the background. The id must be unique to each attempt at an engine,
// because an engine refuses an id that it already knows.
func (c *Client) Generate(ctx context.Context, target topology.Target, req engineapi.GenerateRequest, sink Sink) (Result, error) {
	c.attempts.Add(1)
	body, err := newPromptBody(req)
	if err != nil {
		return Result{Outcome: outcome.NotRun}, &Error{Kind: KindInvalid, Outcome: outcome.NotRun, Target: target.ID, Cause: err}
	}
	ctx, stop := context.WithDeadline(ctx, time.UnixMilli(req.DeadlineMS))
	defer stop()
	a := &attempt{
		client: c, endpoint: c.endpoint(target), target: target, id: req.ID, body: body, sink: sink,
		engineDeadline: time.UnixMilli(req.DeadlineMS),
	}
	if d, ok := ctx.Deadline(); ok {
		a.attemptDeadline = d
	}
	failure := a.run(ctx)
	if failure == nil {
		a.result.Outcome = outcome.Done
		return a.result, nil
	}
	a.result.Outcome = failure.Outcome
	if a.mayHoldStream(failure) {
		c.canceller.Cancel(target, req.ID, a.engineDeadline, a.accepted)
	}
	return a.result, failure
}

// attempt is one call to Generate.
type attempt struct {
	client          *Client
	endpoint        *endpoint
	target          topology.Target
	id              string
	body            *promptBody
	sink            Sink
	engineDeadline  time.Time // when the engine drops the stream
	attemptDeadline time.Time // the earlier of engineDeadline and the caller's deadline
	result          Result

	maybeSent    bool // a byte of the request may have been sent
	accepted     bool // the engine reported that it holds the stream
	streamEnded  bool // the engine reported that the stream has ended
	resubmitNext bool // submit the prompt again, because the engine did not know the stream
	resubmitted  bool // the prompt was submitted again
	// connClosed is set when a connection was lost or refused. As a prompt that
	// crashes the engine looks the same, the prompt must not be sent to it again.
	connClosed            bool
	consecutiveFaults     int // failed connections since the last token
	consecutiveUnanswered int // new connections in a row without a response header
	protocolErrors        int // invalid responses in this attempt
}

// mayHoldStream reports whether the engine may still hold the stream.
func (a *attempt) mayHoldStream(failure *Error) bool {
	return a.maybeSent && !a.streamEnded && failure.Outcome != outcome.NotRun
}

// run opens connections until the response is complete or the attempt has failed.
func (a *attempt) run(ctx context.Context) *Error {
	for {
		if a.finished(ctx) {
			return a.ctxError(ctx)
		}
		x, err := a.open(ctx)
		if err == nil {
			err = a.readTokens(ctx, x)
		}
		if err == nil {
			return nil
		}
		if failure := a.handleFailure(ctx, err); failure != nil {
			return failure
		}
		if !backoff(ctx, a.consecutiveFaults) {
			return a.ctxError(ctx)
		}
	}
}

// handleFailure returns the final error of the attempt, or nil if the stream may be
// resumed on another connection.
func (a *attempt) handleFailure(ctx context.Context, err error) *Error {
	if final, ok := err.(*Error); ok { //nolint:errorlint // errors of this package are not wrapped
		return final
	}
	if a.finished(ctx) {
		return a.ctxError(ctx)
	}
	f, _ := err.(fault) //nolint:errorlint // errors of this package are not wrapped
	a.consecutiveFaults++
	if f.isProtocolError() {
		a.protocolErrors++
		a.client.protocolErrors.Add(1)
	}
	if f == faultConnLost || f == faultConnRefused {
		a.connClosed = true
	}
	switch {
	case f == faultUnknownStream && (a.accepted || a.resubmitted || a.connClosed):
		return a.lostError(f, a.accepted)
	case f == faultUnknownStream:
		a.resubmitNext, a.consecutiveFaults = true, 1
		a.client.resubmits.Add(1)
	case f.isProtocolError() && (a.consecutiveFaults > maxConsecutiveFaults || a.protocolErrors > maxProtocolErrors):
		return a.newError(KindIncomplete, f)
	case a.consecutiveFaults > maxConsecutiveFaults || a.consecutiveUnanswered > maxConsecutiveUnanswered:
		return a.lostError(f, f == faultConnRefused)
	}
	return nil
}

// newError returns an error for a failure after which the engine's progress is unknown.
func (a *attempt) newError(kind Kind, cause error) *Error {
	return &Error{Kind: kind, Outcome: a.failureOutcome(), Target: a.target.ID, Cause: cause}
}

// lostError returns the error for an engine that became unreachable, because its
// process exited or for another reason.
func (a *attempt) lostError(cause error, processExited bool) *Error {
	failure := a.newError(KindLost, cause)
	failure.ProcessExited = processExited
	return failure
}

func (a *attempt) failureOutcome() outcome.Outcome {
	if a.maybeSent {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// ctxError returns the error for an expired time limit or a cancelled caller.
func (a *attempt) ctxError(ctx context.Context) *Error {
	if a.remaining() == 0 {
		return a.newError(KindDeadline, context.DeadlineExceeded)
	}
	return a.newError(KindCancelled, context.Cause(ctx))
}

// finished reports whether the attempt has ended. It checks the clock too, because
// after a pause of the process the time limit may have passed before ctx is done.
func (a *attempt) finished(ctx context.Context) bool { return ctx.Err() != nil || a.remaining() == 0 }

// remaining returns the time left before the attempt's deadline.
func (a *attempt) remaining() time.Duration { return max(0, time.Until(a.attemptDeadline)) }
