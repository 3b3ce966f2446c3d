package once

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/ticket"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/service"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// ServiceClient sends one request to a target. *service.Client implements it.
type ServiceClient interface {
	Do(ctx context.Context, addr netip.AddrPort, call service.Call) service.Result
}

// OwnerConfig sets the limits of an Owner.
type OwnerConfig struct {
	Ledger         ledger.Config
	TicketLifetime time.Duration
	RunTimeout     time.Duration // longest wait for the outcome of one call, over all attempts
	MaxAttempts    int           // per Execute; an attempt is retried if it did not run, or at a service that deduplicates
}

// DefaultOwnerConfig returns the limits for one host that serves callers.
func DefaultOwnerConfig() OwnerConfig {
	return OwnerConfig{
		Ledger:         ledger.DefaultConfig(),
		TicketLifetime: 5 * time.Minute,
		RunTimeout:     time.Minute,
		MaxAttempts:    3,
	}
}

// Owner issues tickets, runs their calls and records the outcomes in its ledger.
// It is safe for concurrent use.
type Owner struct {
	cfg     OwnerConfig
	issuer  *ticket.Issuer
	ledger  *ledger.Ledger
	picker  Picker
	service ServiceClient
	budget  RetryBudget
	counts  ownerCounts
}

// ownerCounts holds the counters that OwnerStats describes.
type ownerCounts struct {
	issued, accepted, retries, unknown, notRun, lateOutcomes atomic.Int64
}

// OwnerStats has the counters of an Owner since it was created.
type OwnerStats struct {
	Ledger       ledger.Stats
	Issued       int64
	Accepted     int64 // calls that this owner started to run
	Retries      int64 // attempts after the first one of a call
	Unknown      int64 // calls recorded as unknown
	NotRun       int64 // calls reported as not run
	LateOutcomes int64 // outcomes that the ledger rejected, such as after it was frozen
}

// NewOwner returns an Owner that issues the tickets of the process self.
func NewOwner(self identity.Incarnation, clk clock.Clock, cfg OwnerConfig, picker Picker, svc ServiceClient, budget RetryBudget) (*Owner, error) {
	steady := clock.NewSteady(clk)
	issuer, err := ticket.NewIssuer(self, steady, cfg.TicketLifetime)
	if err != nil {
		return nil, err
	}
	return &Owner{
		cfg:     cfg,
		issuer:  issuer,
		ledger:  ledger.New(self, steady, cfg.Ledger),
		picker:  picker,
		service: svc,
		budget:  budget,
	}, nil
}

// Self returns the incarnation of the process whose tickets the Owner issues.
func (o *Owner) Self() identity.Incarnation { return o.issuer.Owner() }

// NewTicket issues a ticket and reserves a ledger entry for it. It fails with
// KindLedgerFull, or with KindDraining after Drain.
func (o *Owner) NewTicket() (string, error) {
	text, t := o.issuer.Issue()
	if err := o.ledger.Reserve(ledger.KeyOf(t, text)); err != nil {
		return "", ticketError(err)
	}
	o.counts.issued.Add(1)
	return text, nil
}

// Execute runs the call of a ticket that this owner issued, or returns the
// recorded outcome of its first run. Nothing is sent after the call's deadline.
// Once sent, a call runs on in the background past its deadline and the end of
// ctx, up to RunTimeout, and its outcome is recorded for later requests with the
// same ticket. Execute itself returns at the deadline.
func (o *Owner) Execute(ctx context.Context, call Call) (Response, error) {
	t, err := o.issuer.Verify(call.Ticket)
	var expired *ticket.ExpiredError
	if err != nil && !errors.As(err, &expired) {
		return Response{}, ticketError(err)
	}
	key := ledger.KeyOf(t, call.Ticket)
	result, record, err := o.ledger.Begin(key, call.digest())
	switch {
	case err != nil:
		return Response{}, ticketError(err)
	case result == ledger.InProgress:
		return Response{}, ticketRunningError()
	case result == ledger.Recorded:
		return replay(record)
	}
	o.counts.accepted.Add(1)
	return o.startRun(ctx, key.Seq, call)
}

// startRun starts the only run of the ticket in the background and waits for it
// until the call's deadline.
func (o *Owner) startRun(ctx context.Context, seq uint64, call Call) (Response, error) {
	runDeadline := time.Now().Add(o.cfg.RunTimeout)
	if call.Deadline.IsZero() || call.Deadline.After(runDeadline) {
		call.Deadline = runDeadline
	}
	type runResult struct {
		response Response
		err      error
	}
	done := make(chan runResult, 1)
	detached := context.WithoutCancel(ctx)
	go func() {
		runCtx, cancel := context.WithDeadline(detached, runDeadline)
		defer cancel()
		response, err := o.recordOutcome(seq, o.runAttempts(runCtx, seq, call))
		done <- runResult{response, err}
	}()
	waitCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	select {
	case r := <-done:
		return r.response, r.err
	case <-waitCtx.Done():
		return Response{}, deadlineError()
	}
}

// attempt is the result of an attempt. If err is set, the call did not run.
type attempt struct {
	result service.Result
	err    *apierror.Error
}

// runAttempts makes attempts until one may not be retried: it may have run, the
// deadline passed, or the attempts or the retry budget are used up.
func (o *Owner) runAttempts(ctx context.Context, seq uint64, call Call) attempt {
	var last attempt
	var tried []string
	o.budget.RecordFirstAttempt(call.Organisation)
	for n := 1; n <= o.cfg.MaxAttempts; n++ {
		target, err := o.pickTarget(ctx, n, call, tried)
		if err != nil && n == 1 {
			return attempt{err: pickError(err)}
		}
		if err != nil {
			return last
		}
		tried = append(tried, target.ID)
		last = o.doAttempt(ctx, seq, n, target, call).combineWith(last)
		if !time.Now().Before(call.Deadline) || !last.result.Outcome.Retryable(call.Dedupes) {
			return last
		}
		if err := o.prepareRetry(seq, last); err != nil {
			return last
		}
	}
	return last
}

// errBudgetExhausted ends a run because its organisation or target has no retry
// budget left.
var errBudgetExhausted = errors.New("retry budget is used up")

// pickTarget picks the target of the n-th attempt and charges the retry budgets.
func (o *Owner) pickTarget(ctx context.Context, n int, call Call, tried []string) (topology.Target, error) {
	target, err := o.picker.Pick(ctx, call.Service, tried)
	if err != nil {
		return topology.Target{}, err
	}
	if n == 1 {
		o.budget.RecordFirstAttempt(target.ID)
		return target, nil
	}
	if !o.budget.AllowRetry(call.Organisation) || !o.budget.AllowRetry(target.ID) {
		return topology.Target{}, errBudgetExhausted
	}
	o.counts.retries.Add(1)
	return target, nil
}

// doAttempt sends the call to target once.
func (o *Owner) doAttempt(ctx context.Context, seq uint64, n int, target topology.Target, call Call) attempt {
	r := o.service.Do(ctx, target.Addr, o.attemptCall(seq, n, call))
	if r.Leaving {
		o.picker.MarkLeaving(target)
	}
	return attempt{result: r, err: notRunError(r)}
}

// combineWith returns the attempt to report after previous: if a did not run but
// previous may have run, the outcome of previous applies.
func (a attempt) combineWith(previous attempt) attempt {
	if a.err != nil && previous.result.Outcome == outcome.Unknown && previous.result.Err != nil {
		return previous
	}
	return a
}

// prepareRetry resets the ticket to not started if the last attempt did not run.
// After an unknown outcome the ticket stays started; the service deduplicates the
// retry.
func (o *Owner) prepareRetry(seq uint64, last attempt) error {
	if last.err == nil {
		return nil
	}
	return o.ledger.MarkNotStarted(seq)
}

// attemptCall returns the request of one attempt. Its id is unique per attempt,
// so that a late response to an earlier attempt is not mistaken for the response
// to this one.
func (o *Owner) attemptCall(seq uint64, n int, call Call) service.Call {
	header := call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(HeaderTicket, call.Ticket)
	return service.Call{
		ID:          fmt.Sprintf("%s.%x.%d.%d", call.ID, o.Self().Start, seq, n),
		Method:      call.Method,
		Path:        call.Path,
		Header:      header,
		Body:        call.Body,
		BeforeWrite: func() error { return o.ledger.MarkStarted(seq) },
		SendBy:      call.Deadline,
	}
}

// recordOutcome records the outcome of the run in the ledger and returns the
// response or error for the caller.
func (o *Owner) recordOutcome(seq uint64, a attempt) (Response, error) {
	if a.err != nil {
		o.counts.notRun.Add(1)
		_ = o.ledger.Void(seq) // fails only if this run does not hold the ticket's claim
		return Response{}, a.err
	}
	record := newRecord(a.result)
	if record.Outcome == outcome.Unknown {
		o.counts.unknown.Add(1)
	}
	if err := o.ledger.Finish(seq, record); err != nil {
		o.counts.lateOutcomes.Add(1)
	}
	if record.Outcome == outcome.Unknown {
		return Response{}, unknownOutcomeError(a.result.Reason)
	}
	response, _ := replay(record)
	response.Replayed = false
	return response, nil
}

// Drain rejects new calls, waits for running calls to finish, and returns the
// closed ledger, to be replicated to other hosts. If ctx ends first, calls that
// are still running are recorded in it as unknown.
func (o *Owner) Drain(ctx context.Context) *ledger.Closed {
	select {
	case <-o.ledger.Seal():
	case <-ctx.Done():
	}
	return o.ledger.Freeze()
}

// Stats returns the current counters.
func (o *Owner) Stats() OwnerStats {
	return OwnerStats{
		Ledger:       o.ledger.Stats(),
		Issued:       o.counts.issued.Load(),
		Accepted:     o.counts.accepted.Load(),
		Retries:      o.counts.retries.Load(),
		Unknown:      o.counts.unknown.Load(),
		NotRun:       o.counts.notRun.Load(),
		LateOutcomes: o.counts.lateOutcomes.Load(),
	}
}

// notRunError returns the caller's error for an attempt that did not run, and nil
// for any other attempt.
func notRunError(r service.Result) *apierror.Error {
	if r.Outcome != outcome.NotRun {
		return nil
	}
	if r.Reason == service.ReasonHookRefused {
		return ticketError(&ledger.ClosedError{})
	}
	if r.Reason == service.ReasonDeadline {
		return apierror.NotRun(apierror.KindDeadline, remedyNewTicket, "the time limit passed before the call was sent")
	}
	return apierror.NotRun(apierror.KindNoTarget, remedyNewTicket, "no target took the call (%s)", r.Reason).WithRetryAfter(retryAfterUnreachable)
}

// pickError returns the caller's error if no target could be picked.
func pickError(err error) *apierror.Error {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e
	}
	return apierror.NotRun(apierror.KindNoTarget, remedyNewTicket, "no target can be picked: %v", err).WithRetryAfter(retryAfterUnreachable)
}
