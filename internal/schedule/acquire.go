package schedule

import (
	"context"
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
)

type delivery struct {
	grant Grant
	err   error
}

// Acquire waits until the request may run. It returns an *apierror.Error or a
// *DomainFullError at once when the request cannot finish in time, and a
// *apierror.Error at the moment at which a waiting one no longer can.
func (l *Local) Acquire(ctx context.Context, req Request) (Grant, error) {
	delivered := make(chan delivery, 1)
	waiting, err := l.Offer(l.cfg.Clock.Now(), req, func(g Grant, err error) {
		delivered <- delivery{grant: g, err: err}
	})
	if err != nil {
		return nil, err
	}
	waiting.pool.arm(l.cfg.Clock.Now())
	select {
	case d := <-delivered:
		return d.grant, d.err
	case <-ctx.Done():
	}
	if !waiting.Cancel() {
		l.giveBack(<-delivered)
	}
	return nil, ended(ctx)
}

// giveBack releases a grant that came when nobody waited for it any more.
func (l *Local) giveBack(d delivery) {
	if d.grant != nil {
		d.grant.Release(l.cfg.Clock.Now(), outcome.NotRun)
	}
}

func ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.NotRun(apierror.KindDeadline, "allow more time or come back when there is less load",
			"the request's time limit passed while it waited")
	}
	return apierror.NotRun(apierror.KindDeadline, "send the request again", "the caller gave up while the request waited")
}

// arm sets a timer for the next poll as long as requests wait. There is one
// timer for each pool.
func (p *pool) arm(now time.Time) {
	at, ok := p.nextPoll(now)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.unlock()
	if p.armed {
		return
	}
	p.armed = true
	time.AfterFunc(max(at.Sub(now), time.Millisecond), func() {
		p.mu.Lock()
		p.armed = false
		p.mu.Unlock()
		now := p.cfg.Clock.Now()
		p.poll(now)
		p.arm(now)
	})
}
