package engine

import (
	"context"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Result is what an attempt came to. On an error it holds what was known by then.
type Result struct {
	Outcome      outcome.Outcome
	Tokens       int    // passed to the sink
	FinishReason string // "stop" or "length" of a whole answer
	Usage        engineapi.Usage
	Resumes      int  // connections beyond the first
	Leaving      bool // the engine said that it is leaving
}

// Sink takes the tokens of an answer, in order and each once. The end marker is
// not passed to it. An error ends the attempt and cancels the engine's stream.
type Sink func(engineapi.Chunk) error

const (
	// maxConsecutiveFaults bounds the connections in a row that break without a new token.
	maxConsecutiveFaults = 4
	// maxConsecutiveUnanswered bounds the new connections in a row that could not be opened
	// or brought no header.
	maxConsecutiveUnanswered = 2
	// maxProtocolErrors bounds the wrong answers within one attempt.
	maxProtocolErrors = 8
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = time.Second
)

// Generate runs one attempt of req at the target and passes its tokens to
// sink. It returns nil only for a whole answer: every token from 0 to the
// count in the end marker, of this request's id. The attempt ends with ctx or
// with the request's deadline, whichever is first.
//
// A connection is judged by its progress, see Bounds. A silent, lost or wrong
// connection is replaced by a new one to the same engine, where the stream is
// resumed at the next token. Any other error is an *Error; its outcome is
// NotRun only when no byte of the request can have left, or the engine said
// so. An engine stream that is not known to have ended is cancelled in the
// background. The id must be fresh for each attempt at one engine, for an engine
// refuses one that it knows.
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
	engineDeadline  time.Time // the engine's
	attemptDeadline time.Time // of the attempt
	result          Result

	maybeSent    bool // a byte of the request can have left
	accepted     bool // the engine said that it holds the stream
	streamEnded  bool // the engine said that the stream has ended
	resubmitNext bool // the prompt goes again, since the engine did not know the stream
	resubmitted  bool // it went again
	// connClosed is set when a connection ended, which is also how an engine that
	// the prompt crashed looks: the prompt must not go there again.
	connClosed            bool
	consecutiveFaults     int // broken connections since the last token
	consecutiveUnanswered int // new connections in a row without an answer
	protocolErrors        int // contradictions
}

// mayHoldStream reports whether the engine may still hold the stream.
func (a *attempt) mayHoldStream(failure *Error) bool {
	return a.maybeSent && !a.streamEnded && failure.Outcome != outcome.NotRun
}

// run opens connections until the answer is whole or the attempt has failed.
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

// handleFailure returns the attempt's final error, or nil if another connection may
// mend it.
func (a *attempt) handleFailure(ctx context.Context, err error) *Error {
	if final, ok := err.(*Error); ok { //nolint:errorlint // own errors come unwrapped
		return final
	}
	if a.finished(ctx) {
		return a.ctxError(ctx)
	}
	f, _ := err.(fault) //nolint:errorlint // own errors come unwrapped
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

// newError is an error after which nobody knows how far the engine came.
func (a *attempt) newError(kind Kind, cause error) *Error {
	return &Error{Kind: kind, Outcome: a.failureOutcome(), Target: a.target.ID, Cause: cause}
}

// lostError is the error of an engine that went away, died or not.
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

// ctxError tells the end of the time limit from the caller's going away.
func (a *attempt) ctxError(ctx context.Context) *Error {
	if a.remaining() == 0 {
		return a.newError(KindDeadline, context.DeadlineExceeded)
	}
	return a.newError(KindCancelled, context.Cause(ctx))
}

// finished reports whether the attempt has ended. After a pause of the process the
// time limit may have passed before ctx hears of it.
func (a *attempt) finished(ctx context.Context) bool { return ctx.Err() != nil || a.remaining() == 0 }

// remaining is the time left to the attempt.
func (a *attempt) remaining() time.Duration { return max(0, time.Until(a.attemptDeadline)) }
