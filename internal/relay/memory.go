package relay

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// reserveTimeout bounds one order to an engine.
	reserveTimeout = 400 * time.Millisecond
	// maxReserveRounds is how often other engines are tried.
	maxReserveRounds = 4
	reservePause     = 150 * time.Millisecond
	// renewShare is the part of a lease after which it is renewed.
	renewShare = 0.6
	// releaseTries is how often a release without an answer is repeated.
	releaseTries = 3
)

// holding is the memory reserved for one attempt. It is renewed until release.
type holding struct {
	helpers []Helper
	stop    context.CancelFunc
	done    func()
}

// ids names the helpers, for the log.
func (h *holding) ids() []string {
	out := make([]string, len(h.helpers))
	for i, helper := range h.helpers {
		out[i] = helper.Target.ID
	}
	return out
}

// release gives the memory back in the background.
func (h *holding) release() {
	if h.stop != nil {
		h.stop()
		h.done()
	}
}

// releases tracks releases under way.
type releases struct{ group sync.WaitGroup }

func (r *releases) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// reserve sets aside the memory that a placement asks for, all or nothing.
func (r *Relay) reserve(ctx context.Context, j *job, placed *placement.Placement) (*holding, error) {
	h := &holding{}
	j.reservations++
	var reserved []placement.Part
	for i, part := range placed.Parts {
		helper := Helper{Target: part.Target}
		if part.Tokens > 0 {
			helper.ReservationID = r.cfg.HostID + "-" + j.req.ID + "-" + strconv.Itoa(j.reservations) + "-" + strconv.Itoa(i)
			reserved = append(reserved, part)
		}
		h.helpers = append(h.helpers, helper)
	}
	if len(reserved) == 0 {
		return h, nil
	}
	if err := r.reserveAll(ctx, j, placed.Parts, h.helpers); err != nil {
		r.releaseAll(h.helpers)
		return nil, err
	}
	renewCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.stop = cancel
	h.done = func() { r.releaseAll(h.helpers) }
	go r.renew(renewCtx, placed.Parts, h.helpers)
	return h, nil
}

// reserveAll asks the engines side by side. The error is the first one met.
func (r *Relay) reserveAll(ctx context.Context, j *job, parts []placement.Part, helpers []Helper) error {
	hold := r.settings.Load().ReservationLease
	errs := make([]error, len(parts))
	var group sync.WaitGroup
	for i := range parts {
		if helpers[i].ReservationID == "" {
			continue
		}
		group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
			defer cancel()
			errs[i] = r.cfg.Transport.Reserve(callCtx, parts[i].Target, helpers[i].ReservationID, parts[i].Tokens, hold)
		})
	}
	group.Wait()
	for i, err := range errs {
		if err == nil {
			continue
		}
		j.avoid = append(j.avoid, parts[i].Target.ID)
		j.log("memory not reserved", zap.String("target", parts[i].Target.ID), zap.Int("tokens", parts[i].Tokens), zap.Error(err))
	}
	return errors.Join(errs...)
}

// renew extends the leases until ctx ends.
func (r *Relay) renew(ctx context.Context, parts []placement.Part, helpers []Helper) {
	hold := r.settings.Load().ReservationLease
	ticker := time.NewTicker(time.Duration(renewShare * float64(hold)))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range parts {
			if helpers[i].ReservationID == "" || ctx.Err() != nil {
				continue
			}
			go r.renewOne(ctx, parts[i], helpers[i], hold)
		}
	}
}

func (r *Relay) renewOne(ctx context.Context, part placement.Part, helper Helper, hold time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	err := r.cfg.Transport.Reserve(callCtx, part.Target, helper.ReservationID, part.Tokens, hold)
	if err != nil && ctx.Err() == nil {
		r.cfg.Log.Warn("reservation not renewed", zap.String("target", part.Target.ID), zap.String("reservation", helper.ReservationID), zap.Error(err))
	}
}

// releaseAll ends reservations in the background. One whose release gets no
// answer ends with its lease.
func (r *Relay) releaseAll(helpers []Helper) {
	for _, h := range helpers {
		if h.ReservationID == "" {
			continue
		}
		r.releasing.group.Go(func() { r.releaseOne(h) })
	}
}

func (r *Relay) releaseOne(h Helper) {
	var err error
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		err = r.cfg.Transport.Release(ctx, h.Target, h.ReservationID)
		cancel()
		if err == nil {
			return
		}
	}
	r.cfg.Log.Warn("reservation left to its lease", zap.String("target", h.Target.ID), zap.String("reservation", h.ReservationID), zap.Error(err))
}

// withoutMemory decides what follows when memory could not be reserved.
func (j *job) withoutMemory(ctx context.Context) (step, Reason) {
	j.reserveRounds++
	if j.reserveRounds >= maxReserveRounds || ctx.Err() != nil {
		return stuck, ReasonNoMemory
	}
	select {
	case <-ctx.Done():
		return stuck, ReasonNoMemory
	case <-time.After(reservePause):
	}
	return notRun, ReasonNoMemory
}
