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
	// reserveTimeout is the timeout of one reserve or release call to an engine.
	reserveTimeout = 400 * time.Millisecond
	// maxReserveRounds is how many placements may fail to reserve memory before
	// the request is refused.
	maxReserveRounds  = 4
	reserveRetryDelay = 150 * time.Millisecond
	// renewFraction is the fraction of a lease after which it is renewed.
	renewFraction = 0.6
	// maxReleaseAttempts limits the release calls for one reservation.
	maxReleaseAttempts = 3
)

// reservationSet is the engine memory reserved for one attempt. Its leases are
// renewed until release is called.
type reservationSet struct {
	helpers     []Helper
	stopRenewal context.CancelFunc
	releaseAll  func()
}

// helperIDs returns the target ids of the helpers for logging.
func (h *reservationSet) helperIDs() []string {
	out := make([]string, len(h.helpers))
	for i, helper := range h.helpers {
		out[i] = helper.Target.ID
	}
	return out
}

// release stops the renewal and releases the memory in the background.
func (h *reservationSet) release() {
	if h.stopRenewal != nil {
		h.stopRenewal()
		h.releaseAll()
	}
}

// releaseTracker waits for releases in progress.
type releaseTracker struct{ group sync.WaitGroup }

func (r *releaseTracker) wait(ctx context.Context) {
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

// reserve reserves the engine memory that a placement requires. If one engine
// refuses, the reservations on the others are released.
func (r *Relay) reserve(ctx context.Context, j *job, placed *placement.Placement) (*reservationSet, error) {
	set := &reservationSet{}
	j.reserveCalls++
	var reservedParts []placement.Part
	for i, part := range placed.Parts {
		helper := Helper{Target: part.Target}
		if part.Tokens > 0 {
			helper.ReservationID = r.cfg.HostID + "-" + j.req.ID + "-" + strconv.Itoa(j.reserveCalls) + "-" + strconv.Itoa(i)
			reservedParts = append(reservedParts, part)
		}
		set.helpers = append(set.helpers, helper)
	}
	if len(reservedParts) == 0 {
		return set, nil
	}
	if err := r.reserveAll(ctx, j, placed.Parts, set.helpers); err != nil {
		r.releaseAll(set.helpers)
		return nil, err
	}
	renewCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	set.stopRenewal = cancel
	set.releaseAll = func() { r.releaseAll(set.helpers) }
	go r.renew(renewCtx, placed.Parts, set.helpers)
	return set, nil
}

// reserveAll reserves memory on the engines concurrently. The error joins all
// failures.
func (r *Relay) reserveAll(ctx context.Context, j *job, parts []placement.Part, helpers []Helper) error {
	lease := r.settings.Load().ReservationLease
	errs := make([]error, len(parts))
	var group sync.WaitGroup
	for i := range parts {
		if helpers[i].ReservationID == "" {
			continue
		}
		group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
			defer cancel()
			errs[i] = r.cfg.Transport.Reserve(callCtx, parts[i].Target, helpers[i].ReservationID, parts[i].Tokens, lease)
		})
	}
	group.Wait()
	for i, err := range errs {
		if err == nil {
			continue
		}
		j.triedTargets = append(j.triedTargets, parts[i].Target.ID)
		j.log("memory not reserved", zap.String("target", parts[i].Target.ID), zap.Int("tokens", parts[i].Tokens), zap.Error(err))
	}
	return errors.Join(errs...)
}

// renew renews the leases periodically until ctx ends.
func (r *Relay) renew(ctx context.Context, parts []placement.Part, helpers []Helper) {
	lease := r.settings.Load().ReservationLease
	ticker := time.NewTicker(time.Duration(renewFraction * float64(lease)))
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
			go r.renewOne(ctx, parts[i], helpers[i], lease)
		}
	}
}

func (r *Relay) renewOne(ctx context.Context, part placement.Part, helper Helper, lease time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	err := r.cfg.Transport.Reserve(callCtx, part.Target, helper.ReservationID, part.Tokens, lease)
	if err != nil && ctx.Err() == nil {
		r.cfg.Log.Warn("reservation not renewed", zap.String("target", part.Target.ID), zap.String("reservation", helper.ReservationID), zap.Error(err))
	}
}

// releaseAll releases reservations in the background. A reservation that cannot
// be released ends when its lease expires.
func (r *Relay) releaseAll(helpers []Helper) {
	for _, h := range helpers {
		if h.ReservationID == "" {
			continue
		}
		r.releases.group.Go(func() { r.releaseOne(h) })
	}
}

func (r *Relay) releaseOne(h Helper) {
	var err error
	for range maxReleaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		err = r.cfg.Transport.Release(ctx, h.Target, h.ReservationID)
		cancel()
		if err == nil {
			return
		}
	}
	r.cfg.Log.Warn("reservation not released, waiting for its lease to expire", zap.String("target", h.Target.ID), zap.String("reservation", h.ReservationID), zap.Error(err))
}

// handleReserveFailure allows another placement after a delay, up to
// maxReserveRounds failures.
func (j *job) handleReserveFailure(ctx context.Context) (attemptResult, Reason) {
	j.failedReserveRounds++
	if j.failedReserveRounds >= maxReserveRounds || ctx.Err() != nil {
		return resultRejected, ReasonNoMemory
	}
	select {
	case <-ctx.Done():
		return resultRejected, ReasonNoMemory
	case <-time.After(reserveRetryDelay):
	}
	return resultNotExecuted, ReasonNoMemory
}
