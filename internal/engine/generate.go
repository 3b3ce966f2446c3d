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
	// maxFaults bounds the connections in a row that break without a new token.
	maxFaults = 4
	// maxUnanswered bounds the new connections in a row that could not be opened
	// or brought no header.
	maxUnanswered = 2
	// maxContradictions bounds the wrong answers within one attempt.
	maxContradictions = 8
	firstPause        = 20 * time.Millisecond
	longestPause      = time.Second
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
		client: c, peer: c.peer(target), target: target, id: req.ID, body: body, sink: sink,
		deadline: time.UnixMilli(req.DeadlineMS),
	}
	if d, ok := ctx.Deadline(); ok {
		a.limit = d
	}
	failed := a.run(ctx)
	if failed == nil {
		a.result.Outcome = outcome.Done
		return a.result, nil
	}
	a.result.Outcome = failed.Outcome
	if a.mayRun(failed) {
		c.canceller.Cancel(target, req.ID, a.deadline, a.confirmed)
	}
	return a.result, failed
}

// attempt is one call to Generate.
type attempt struct {
	client   *Client
	peer     *peer
	target   topology.Target
	id       string
	body     *promptBody
	sink     Sink
	deadline time.Time // the engine's
	limit    time.Time // of the attempt
	result   Result

	sent        bool // a byte of the request can have left
	confirmed   bool // the engine said that it holds the stream
	ended       bool // the engine said that the stream has ended
	resubmit    bool // the prompt goes again, since the engine did not know the stream
	resubmitted bool // it went again
	// closed is set when a connection ended, which is also how an engine that
	// the prompt crashed looks: the prompt must not go there again.
	closed     bool
	faults     int // broken connections since the last token
	unanswered int // new connections in a row without an answer
	wrong      int // contradictions
}

// mayRun reports whether the engine may still hold the stream.
func (a *attempt) mayRun(failed *Error) bool {
	return a.sent && !a.ended && failed.Outcome != outcome.NotRun
}

// run opens connections until the answer is whole or the attempt has failed.
func (a *attempt) run(ctx context.Context) *Error {
	for {
		if a.over(ctx) {
			return a.ctxError(ctx)
		}
		x, err := a.open(ctx)
		if err == nil {
			err = a.consume(ctx, x)
		}
		if err == nil {
			return nil
		}
		if failed := a.judge(ctx, err); failed != nil {
			return failed
		}
		if !pause(ctx, a.faults) {
			return a.ctxError(ctx)
		}
	}
}

// judge returns the attempt's final error, or nil if another connection may
// mend it.
func (a *attempt) judge(ctx context.Context, err error) *Error {
	if final, ok := err.(*Error); ok { //nolint:errorlint // own errors come unwrapped
		return final
	}
	if a.over(ctx) {
		return a.ctxError(ctx)
	}
	f, _ := err.(fault) //nolint:errorlint // own errors come unwrapped
	a.faults++
	if f.contradicts() {
		a.wrong++
		a.client.contradictions.Add(1)
	}
	if f == faultClosed || f == faultRefused {
		a.closed = true
	}
	switch {
	case f == faultUnknown && (a.confirmed || a.resubmitted || a.closed):
		return a.lost(f, a.confirmed)
	case f == faultUnknown:
		a.resubmit, a.faults = true, 1
		a.client.resubmits.Add(1)
	case f.contradicts() && (a.faults > maxFaults || a.wrong > maxContradictions):
		return a.fail(KindIncomplete, f)
	case a.faults > maxFaults || a.unanswered > maxUnanswered:
		return a.lost(f, f == faultRefused)
	}
	return nil
}

// fail is an error after which nobody knows how far the engine came.
func (a *attempt) fail(kind Kind, cause error) *Error {
	return &Error{Kind: kind, Outcome: a.lostOutcome(), Target: a.target.ID, Cause: cause}
}

// lost is the error of an engine that went away, died or not.
func (a *attempt) lost(cause error, died bool) *Error {
	failed := a.fail(KindLost, cause)
	failed.ProcessExited = died
	return failed
}

func (a *attempt) lostOutcome() outcome.Outcome {
	if a.sent {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// ctxError tells the end of the time limit from the caller's going away.
func (a *attempt) ctxError(ctx context.Context) *Error {
	if a.remaining() == 0 {
		return a.fail(KindDeadline, context.DeadlineExceeded)
	}
	return a.fail(KindCancelled, context.Cause(ctx))
}

// over reports whether the attempt has ended. After a pause of the process the
// time limit may have passed before ctx hears of it.
func (a *attempt) over(ctx context.Context) bool { return ctx.Err() != nil || a.remaining() == 0 }

// remaining is the time left to the attempt.
func (a *attempt) remaining() time.Duration { return max(0, time.Until(a.limit)) }
