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

// open submits the prompt, or resumes the stream on a new connection once the
// prompt may have reached the engine. It returns an *Error or a fault.
func (a *attempt) open(ctx context.Context) (*exchange, error) {
	if !a.sent || a.resubmit {
		return a.submit(ctx)
	}
	return a.resume(ctx)
}

func (a *attempt) submit(ctx context.Context) (*exchange, error) {
	again := a.sent
	a.resubmit, a.resubmitted = false, again
	req, err := http.NewRequest(http.MethodPost, url(a.target, engineapi.PathGenerate), a.body.reader())
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Outcome: a.lostOutcome(), Target: a.target.ID, Cause: err}
	}
	req.ContentLength = a.body.size
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engineapi.HeaderRequestID, a.id)
	x, err := a.exchange(ctx, req, again, a.body.size)
	if err != nil {
		return nil, err
	}
	a.sent = true
	if x.resp.StatusCode != http.StatusOK {
		return nil, a.refused(x, again)
	}
	a.confirmed = true
	return x, nil
}

func (a *attempt) resume(ctx context.Context) (*exchange, error) {
	path := engineapi.PathStreams + "/" + a.id + "?offset=" + strconv.Itoa(a.result.Tokens)
	req, err := http.NewRequest(http.MethodGet, url(a.target, path), http.NoBody)
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Outcome: a.lostOutcome(), Target: a.target.ID, Cause: err}
	}
	req.Header.Set(engineapi.HeaderRequestID, a.id)
	a.result.Resumes++
	a.client.resumes.Add(1)
	x, err := a.exchange(ctx, req, true, 0)
	if err != nil {
		return nil, err
	}
	switch x.resp.StatusCode {
	case http.StatusOK:
		a.confirmed = true
		return x, nil
	case http.StatusNotFound:
		x.finish()
		return nil, faultUnknown
	default:
		x.abandon()
		return nil, faultClosed
	}
}

// exchange sends req and checks that the answer is to this request.
func (a *attempt) exchange(ctx context.Context, req *http.Request, fresh bool, size int64) (*exchange, error) {
	bound := a.client.bounds.Answer(a.remaining(), size)
	x, err := startExchange(ctx, a.peer, req, fresh, bound)
	if err != nil {
		return nil, a.broken(ctx, x, err, fresh)
	}
	a.unanswered = 0
	a.result.Leaving = a.result.Leaving || leaving(x.resp.Header, engineapi.HeaderLeaving)
	if x.resp.Header.Get(engineapi.HeaderRequestID) != a.id {
		a.sent = true
		x.abandon()
		return nil, faultCrossed
	}
	return x, nil
}

// broken classifies an exchange that ended without an answer.
func (a *attempt) broken(ctx context.Context, x *exchange, err error, fresh bool) error {
	x.abandon()
	if x.written() {
		a.sent = true
	}
	silent := ctx.Err() == nil && x.silent()
	if silent {
		a.noteSilent(x)
	}
	switch {
	case !a.sent && ctx.Err() == nil:
		return &Error{Kind: KindUnreachable, Outcome: outcome.NotRun, Target: a.target.ID, Cause: err}
	case !x.connected():
		a.unanswered++
		return dialFault(err)
	case silent && fresh:
		a.unanswered++
		return faultSilent
	case silent:
		return faultSilent
	default:
		return faultClosed
	}
}

func dialFault(err error) fault {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return faultRefused
	}
	return faultNoConn
}

func (a *attempt) noteSilent(x *exchange) {
	a.client.silent.Add(1)
	a.client.suspects.Add(uint64(x.suspect()))
}

// refused reads the refusal of a submitted prompt. A refusal of a prompt that
// was sent again says nothing about the first time.
func (a *attempt) refused(x *exchange, again bool) error {
	const longestRefusal = 64 << 10
	x.expect(a.client.bounds.Token(a.remaining()))
	var refusal engineapi.Refusal
	err := json.NewDecoder(io.LimitReader(x.resp.Body, longestRefusal)).Decode(&refusal)
	x.finish()
	if again && refusal.Reason == engineapi.ReasonDuplicate {
		a.confirmed = true
		return faultClosed
	}
	failed := &Error{Kind: KindRefused, Target: a.target.ID, Reason: refusal.Reason, Detail: refusal.Detail}
	failed.Outcome = refusalOutcome(x.resp)
	if again && failed.Outcome == outcome.NotRun {
		failed.Outcome = outcome.Unknown
	}
	if err != nil {
		failed.Cause = errors.New("refusal with status " + x.resp.Status + " has no readable body")
	}
	return failed
}

// refusalOutcome is what an answer other than 200 says about the call. A
// status above 499 may come from something before the engine.
func refusalOutcome(resp *http.Response) outcome.Outcome {
	switch {
	case resp.Header.Get(engineapi.HeaderNotRun) == "1":
		return outcome.NotRun
	case resp.StatusCode < http.StatusInternalServerError:
		return outcome.Failed
	default:
		return outcome.Unknown
	}
}

// pause waits before the next connection: not at all after the first fault,
// then for a random time that doubles. It reports false when ctx has ended.
func pause(ctx context.Context, faults int) bool {
	if faults <= 1 {
		return ctx.Err() == nil
	}
	limit := min(longestPause, firstPause<<min(faults-2, 10))
	t := time.NewTimer(rand.N(limit) + limit/2)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
