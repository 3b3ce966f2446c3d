package schedule

import (
	"context"
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
)

// delivery is the result of a queued request: a grant, or the error if it expired.
type delivery struct {
	grant Grant
	err   error
}

// Acquire blocks until the request may run. It returns an *apierror.Error or a
// *DomainFullError immediately when the request cannot finish before its deadline,
// and an *apierror.Error as soon as a queued request no longer can.
func (l *Local) Acquire(ctx context.Context, req Request) (Grant, error) {
	delivered := make(chan delivery, 1)
	queued, err := l.Offer(l.cfg.Clock.Now(), req, func(g Grant, err error) {
		delivered <- delivery{grant: g, err: err}
	})
	if err != nil {
		return nil, err
	}
	queued.pool.armTimer(l.cfg.Clock.Now())
	select {
	case d := <-delivered:
		return d.grant, d.err
	case <-ctx.Done():
	}
	if !queued.Cancel() {
		l.discardGrant(<-delivered)
	}
	return nil, contextError(ctx)
}

// discardGrant releases a grant that was delivered after its caller had stopped
// waiting.
func (l *Local) discardGrant(d delivery) {
	if d.grant != nil {
		d.grant.Release(l.cfg.Clock.Now(), outcome.NotRun)
	}
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.NotRun(apierror.KindDeadline, "allow more time or come back when there is less load",
			"the request's time limit passed while it waited")
	}
	return apierror.NotRun(apierror.KindDeadline, "send the request again", "the caller gave up while the request waited")
}

// armTimer sets a timer for the next poll while requests are queued. Each pool has
// one timer.
func (p *pool) armTimer(now time.Time) {
	at, ok := p.nextPoll(now)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.unlock()
	if p.timerArmed {
		return
	}
	p.timerArmed = true
	time.AfterFunc(max(at.Sub(now), time.Millisecond), func() {
		p.mu.Lock()
		p.timerArmed = false
		p.mu.Unlock()
		now := p.cfg.Clock.Now()
		p.poll(now)
		p.armTimer(now)
	})
}
