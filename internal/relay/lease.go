package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// renewFraction is the fraction of a lease after which it is renewed. It leaves time for
	// a target that is silent for a second, and for orders that are not answered. Each renewal
	// may be carried out late, and then shortens the lease.
	renewFraction = 0.55
	// renewRetryDelay is the time without a response to a renewal after which another one is
	// sent. The earlier ones are still waited for: the way to the engine may be slow.
	renewRetryDelay = 150 * time.Millisecond
	// questionInterval is the longest time between two questions whether the memory is in use.
	questionInterval = 600 * time.Millisecond
	// lateOrderWindow is how long an order without a response may still be carried
	// out by its engine.
	lateOrderWindow = 15 * time.Second
)

// lease is one reservation of engine memory.
//
// An engine may carry out an order that it has not answered at any later time, also
// after newer orders; the lease then runs from the order's arrival. So a lease is as long as
// its bound allows, and renewed as rarely. A renewal is repeated while the lease lasts until
// one is answered; the release waits a little for the last renewal, and is repeated until it
// is answered or the lease must have expired. If the outcome of a renewal is unknown, it may
// reserve the memory anew after the release. The release is then repeated for lateOrderWindow.
//
// A lease is renewed only on evidence that its attempt uses the memory: the host may learn
// seconds later that the target has gone dark or has ended the attempt, and a release may get
// lost.
type lease struct {
	relay    *Relay
	part     placement.Part
	id       string
	duration time.Duration
	usage    *usage // of the memory by its attempt

	renewedAt    time.Time // when the latest answered order was sent
	unansweredAt time.Time // when the last renewal without a response was sent
	orderedAt    time.Time // when the last order to reserve was sent, answered or not
	renewals     int       // sent
	unanswered   int       // renewals without a response

	ctx     context.Context // ends with the attempt
	end     context.CancelFunc
	stopped chan struct{} // closed when no renewal is in progress any more
}

func (r *Relay) newLease(part placement.Part, id string, usage *usage) *lease {
	l := &lease{relay: r, part: part, id: id, usage: usage, duration: r.settings.Load().ReservationLease, stopped: make(chan struct{})}
	l.ctx, l.end = context.WithCancel(context.Background())
	return l
}

// acquire makes the reservation. The error is ErrNoMemory if the engine has refused
// it; otherwise the memory may be reserved.
func (l *lease) acquire(ctx context.Context) error {
	l.renewedAt = time.Now()
	l.orderedAt = l.renewedAt
	return l.sendReserve(ctx, orderTimeout)
}

// renewal is the outcome of an order to renew.
type renewal struct {
	sentAt time.Time
	err    error
}

// keepRenewed renews the lease until its attempt ends, the engine has no memory for it any
// more, or it has expired.
func (l *lease) keepRenewed() {
	defer close(l.stopped)
	ctx, cancel := context.WithCancel(context.Background())
	outcomes := make(chan renewal)
	inProgress := 0
	defer func() {
		l.awaitRenewals(outcomes, inProgress, cancel)
	}()
	due := l.nextRenewal()
	next := l.nextQuestion(due)
	for {
		select {
		case <-l.ctx.Done():
			return
		case done := <-outcomes:
			inProgress--
			if l.record(done) {
				due = later(due, l.nextRenewal())
				next = l.nextQuestion(due)
			}
			if errors.Is(done.err, ErrNoMemory) {
				l.log("reservation lost, its attempt will break off", done.err)
				return
			}
			continue
		case <-time.After(time.Until(next)):
		}
		inUse := l.usage.inUse(l.ctx)
		switch {
		case l.ctx.Err() != nil:
			return
		case time.Since(l.renewedAt) >= l.duration:
			l.log("reservation expired without a renewal", nil)
			return
		case !inUse:
			next = time.Now().Add(signRetryDelay)
			continue
		case time.Now().Before(due):
			next = l.nextQuestion(due)
			continue
		}
		inProgress++
		l.orderedAt = time.Now()
		l.renewals++
		due = l.orderedAt.Add(renewRetryDelay)
		next = due
		go l.renew(ctx, l.orderedAt, outcomes)
	}
}

// nextQuestion is when to ask whether the memory is in use: before the renewal that is due, and
// until then often enough to learn that a short attempt has begun.
func (l *lease) nextQuestion(due time.Time) time.Time {
	soon := time.Now().Add(questionInterval)
	if soon.Before(due) {
		return soon
	}
	return due
}

// nextRenewal is when the lease is renewed again.
func (l *lease) nextRenewal() time.Time {
	return l.renewedAt.Add(time.Duration(renewFraction * float64(l.duration)))
}

// renew sends one order to renew. An answer that takes longer than a lease is of no use.
func (l *lease) renew(ctx context.Context, sentAt time.Time, outcomes chan<- renewal) {
	outcomes <- renewal{sentAt: sentAt, err: l.sendReserve(ctx, l.duration)}
}

// record records the outcome of an order to renew, and reports whether the lease was renewed.
func (l *lease) record(done renewal) bool {
	switch {
	case done.err == nil:
		l.renewedAt = later(l.renewedAt, done.sentAt)
		return true
	case errors.Is(done.err, ErrNoMemory):
		return false
	}
	l.unansweredAt = later(l.unansweredAt, done.sentAt)
	l.unanswered++
	l.log("reservation not renewed", done.err)
	return false
}

// awaitRenewals waits for the renewals in progress, at most until the last one has had the
// timeout of an order, and ends the others.
func (l *lease) awaitRenewals(outcomes <-chan renewal, inProgress int, cancel context.CancelFunc) {
	stop := time.AfterFunc(time.Until(l.orderedAt.Add(orderTimeout)), cancel)
	defer stop.Stop()
	defer cancel()
	for ; inProgress > 0; inProgress-- {
		l.record(<-outcomes)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// releaseAfterUse ends the renewal and releases the memory of an attempt that has
// ended.
func (l *lease) releaseAfterUse() {
	endedAt := time.Now()
	l.end()
	<-l.stopped
	l.release(endedAt, true)
	if !l.unansweredAt.IsZero() {
		l.undoLateRenewals()
	}
}

// releaseUnused releases memory that no attempt has used. A first reserve call that is
// carried out after that holds the memory for one lease.
func (l *lease) releaseUnused() { l.release(time.Now(), false) }

// release releases memory that is not renewed any more. It returns when the release is
// answered or the lease must have expired. endedAt is the end of the attempt.
func (l *lease) release(endedAt time.Time, used bool) {
	expiredAt := time.Now().Add(l.duration)
	var err error
	timeout := orderTimeout
	for sentAt := time.Now(); sentAt.Before(expiredAt); sentAt = time.Now() {
		if err = l.sendRelease(timeout); err == nil {
			l.logEnd("reservation released", endedAt, earlier(time.Now(), l.expiry()), used, nil)
			return
		}
		time.Sleep(time.Until(sentAt.Add(timeout)))
		timeout *= 2 // the way to the engine may be slow
	}
	l.logEnd("reservation not released, its lease has expired", endedAt, l.expiry(), used, err)
}

// expiry is when the lease ends by itself, unless an order is carried out late.
func (l *lease) expiry() time.Time { return l.orderedAt.Add(orderTimeout + l.duration) }

// logEnd logs how long after the end of its attempt the memory was free at the latest.
func (l *lease) logEnd(message string, endedAt, freeAt time.Time, used bool, err error) {
	l.relay.cfg.Log.Info(message, zap.String("target", l.part.Target.ID), zap.String("reservation", l.id), zap.Int("tokens", l.part.Tokens), zap.Bool("used", used),
		zap.Duration("free_after", freeAt.Sub(endedAt)), zap.Duration("last_order_before_end", endedAt.Sub(l.orderedAt)), zap.Int("renewals", l.renewals), zap.Int("unanswered_renewals", l.unanswered), zap.Error(err))
	if used {
		l.relay.cfg.Observer.ReservationEnded(err == nil, max(freeAt.Sub(endedAt), 0))
	}
}

// undoLateRenewals repeats the release for as long as a renewal may still be carried
// out.
func (l *lease) undoLateRenewals() {
	until := l.unansweredAt.Add(lateOrderWindow)
	failed := 0
	for sentAt := time.Now(); sentAt.Before(until); sentAt = time.Now() {
		if err := l.sendRelease(orderTimeout); err != nil {
			failed++
		}
		time.Sleep(time.Until(sentAt.Add(orderTimeout)))
	}
	l.relay.cfg.Log.Info("reservation released again after an unanswered renewal", zap.String("target", l.part.Target.ID), zap.String("reservation", l.id), zap.Int("failed", failed))
}

func (l *lease) sendReserve(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.relay.cfg.Transport.Reserve(ctx, l.part.Target, l.id, l.part.Tokens, l.duration)
}

func (l *lease) sendRelease(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.relay.cfg.Transport.Release(ctx, l.part.Target, l.id)
}

func (l *lease) log(message string, err error) {
	l.relay.cfg.Log.Warn(message, zap.String("target", l.part.Target.ID), zap.String("reservation", l.id), zap.Error(err))
}
