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

// Attempter makes one attempt at a target; *service.Client is one.
type Attempter interface {
	Do(ctx context.Context, addr netip.AddrPort, call service.Call) service.Result
}

// OwnerConfig bounds an Owner.
type OwnerConfig struct {
	Ledger         ledger.Config
	TicketLifetime time.Duration
	RunLimit       time.Duration // longest wait for the outcome of one call
	MaxAttempts    int           // per Execute; only attempts that did not run are repeated
}

// DefaultOwnerConfig returns bounds for one entry host.
func DefaultOwnerConfig() OwnerConfig {
	return OwnerConfig{
		Ledger:         ledger.DefaultConfig(),
		TicketLifetime: 5 * time.Minute,
		RunLimit:       time.Minute,
		MaxAttempts:    3,
	}
}

// Owner issues tickets and runs their calls. It is safe for concurrent use.
type Owner struct {
	cfg     OwnerConfig
	issuer  *ticket.Issuer
	ledger  *ledger.Ledger
	picker  Picker
	service Attempter
	budget  Budget
	counts  ownerCounts
}

type ownerCounts struct {
	issued, first, retries, unknown, notRun, late atomic.Int64
}

// OwnerStats counts what an Owner did.
type OwnerStats struct {
	Ledger  ledger.Stats
	Issued  int64
	First   int64 // calls that this owner took on
	Retries int64 // further attempts after one that did not run
	Unknown int64 // calls recorded as unknown
	NotRun  int64 // calls told as not run
	Late    int64 // runs whose outcome came after the ledger was frozen
}

// NewOwner returns the Owner of self's tickets.
func NewOwner(self identity.Incarnation, clk clock.Clock, cfg OwnerConfig, picker Picker, svc Attempter, budget Budget) (*Owner, error) {
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

// Self is the process whose tickets the Owner issues.
func (o *Owner) Self() identity.Incarnation { return o.issuer.Owner() }

// NewTicket issues a ticket, for which a place is kept. It fails with
// KindLedgerFull, or KindDraining after Drain.
func (o *Owner) NewTicket() (string, error) {
	text, t := o.issuer.Issue()
	if err := o.ledger.Reserve(ledger.KeyOf(t, text)); err != nil {
		return "", ticketError(err)
	}
	o.counts.issued.Add(1)
	return text, nil
}

// Execute runs the call of a ticket of this owner, or returns how its first
// run ended. Nothing is sent after the call's deadline. A call that was sent is
// waited for beyond its deadline, up to the run limit, and when ctx ends: its
// outcome is recorded for whoever repeats the ticket. Execute itself returns at
// the deadline.
func (o *Owner) Execute(ctx context.Context, call Call) (Answer, error) {
	t, err := o.issuer.Verify(call.Ticket)
	var expired *ticket.ExpiredError
	if err != nil && !errors.As(err, &expired) {
		return Answer{}, ticketError(err)
	}
	key := ledger.KeyOf(t, call.Ticket)
	verdict, record, err := o.ledger.Begin(key, call.digest())
	switch {
	case err != nil:
		return Answer{}, ticketError(err)
	case verdict == ledger.InProgress:
		return Answer{}, runningError()
	case verdict == ledger.Recorded:
		return replay(record)
	}
	o.counts.first.Add(1)
	return o.first(ctx, key.Seq, call)
}

// first makes the ticket's run and waits for it until the call's deadline.
func (o *Owner) first(ctx context.Context, seq uint64, call Call) (Answer, error) {
	limit := time.Now().Add(o.cfg.RunLimit)
	if call.Deadline.IsZero() || call.Deadline.After(limit) {
		call.Deadline = limit
	}
	type reply struct {
		answer Answer
		err    error
	}
	done := make(chan reply, 1)
	background := context.WithoutCancel(ctx)
	go func() {
		runCtx, cancel := context.WithDeadline(background, limit)
		defer cancel()
		answer, err := o.settle(seq, o.run(runCtx, seq, call))
		done <- reply{answer, err}
	}()
	waitCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-waitCtx.Done():
		return Answer{}, lateError()
	}
}

// attempt is how a run ended. With err the call certainly did not run.
type attempt struct {
	result service.Result
	err    *apierror.Error
}

// run makes attempts until one may have run, or no further one is allowed.
func (o *Owner) run(ctx context.Context, seq uint64, call Call) attempt {
	var last attempt
	var tried []string
	o.budget.First(call.Organisation)
	for n := 1; n <= o.cfg.MaxAttempts; n++ {
		target, err := o.next(ctx, n, call, tried)
		if err != nil && n == 1 {
			return attempt{err: pickError(err)}
		}
		if err != nil {
			return last
		}
		tried = append(tried, target.ID)
		last = o.try(ctx, seq, n, target, call).after(last)
		if !time.Now().Before(call.Deadline) || !last.result.Outcome.Retryable(call.Dedupes) {
			return last
		}
		if err := o.again(seq, last); err != nil {
			return last
		}
	}
	return last
}

// errBudget ends a run whose retry budget is used up.
var errBudget = errors.New("retry budget is used up")

// next picks the target of the n-th attempt and charges it.
func (o *Owner) next(ctx context.Context, n int, call Call, tried []string) (topology.Target, error) {
	target, err := o.picker.Pick(ctx, call.Service, tried)
	if err != nil {
		return topology.Target{}, err
	}
	if n == 1 {
		o.budget.First(target.ID)
		return target, nil
	}
	if !o.budget.Retry(call.Organisation) || !o.budget.Retry(target.ID) {
		return topology.Target{}, errBudget
	}
	o.counts.retries.Add(1)
	return target, nil
}

// try makes one attempt.
func (o *Owner) try(ctx context.Context, seq uint64, n int, target topology.Target, call Call) attempt {
	r := o.service.Do(ctx, target.Addr, o.attemptCall(seq, n, call))
	if r.Leaving {
		o.picker.Leaving(target)
	}
	return attempt{result: r, err: notRunError(r)}
}

// after weighs an attempt with the one before: one that did not run does not
// change that an earlier one may have.
func (a attempt) after(before attempt) attempt {
	if a.err != nil && before.result.Outcome == outcome.Unknown && before.result.Err != nil {
		return before
	}
	return a
}

// again prepares the claim for another attempt. After an unknown outcome the
// ticket stays started; the service recognises it.
func (o *Owner) again(seq uint64, last attempt) error {
	if last.err == nil {
		return nil
	}
	return o.ledger.MarkNotStarted(seq)
}

// attemptCall is the request of one attempt. Its id differs for each attempt,
// so that the answer to an earlier one cannot be taken for this one's.
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

// settle ends the claim and returns what the caller is told.
func (o *Owner) settle(seq uint64, a attempt) (Answer, error) {
	if a.err != nil {
		o.counts.notRun.Add(1)
		_ = o.ledger.Void(seq) // fails only if the claim is not this run's
		return Answer{}, a.err
	}
	record := recordOf(a.result)
	if record.Outcome == outcome.Unknown {
		o.counts.unknown.Add(1)
	}
	if err := o.ledger.Finish(seq, record); err != nil {
		o.counts.late.Add(1)
	}
	if record.Outcome == outcome.Unknown {
		return Answer{}, unknownRunError(a.result.Reason)
	}
	answer, _ := replay(record)
	answer.Replayed = false
	return answer, nil
}

// Drain starts no more calls, waits for those that are running, and returns
// the closed ledger for other hosts. When ctx ends first, the calls that still
// run are unknown in it.
func (o *Owner) Drain(ctx context.Context) *ledger.Closed {
	select {
	case <-o.ledger.Seal():
	case <-ctx.Done():
	}
	return o.ledger.Freeze()
}

// Stats returns the current counts.
func (o *Owner) Stats() OwnerStats {
	return OwnerStats{
		Ledger:  o.ledger.Stats(),
		Issued:  o.counts.issued.Load(),
		First:   o.counts.first.Load(),
		Retries: o.counts.retries.Load(),
		Unknown: o.counts.unknown.Load(),
		NotRun:  o.counts.notRun.Load(),
		Late:    o.counts.late.Load(),
	}
}

// notRunError is what a caller is told of an attempt that did not run, and nil
// for any other.
func notRunError(r service.Result) *apierror.Error {
	if r.Outcome != outcome.NotRun {
		return nil
	}
	if r.Reason == service.ReasonHeld {
		return ticketError(&ledger.ClosedError{})
	}
	if r.Reason == service.ReasonDeadline {
		return apierror.NotRun(apierror.KindDeadline, remedyNewTicket, "the time limit passed before the call was sent")
	}
	return apierror.NotRun(apierror.KindNoTarget, remedyNewTicket, "no target took the call (%s)", r.Reason).WithRetryAfter(retryAfterUnreachable)
}

// pickError is what a caller is told when no target could be picked.
func pickError(err error) *apierror.Error {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e
	}
	return apierror.NotRun(apierror.KindNoTarget, remedyNewTicket, "no target can be picked: %v", err).WithRetryAfter(retryAfterUnreachable)
}
