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
	// orderTimeout is the timeout of one reserve or release call to an engine.
	orderTimeout = 400 * time.Millisecond
	// reserveRetryDelay is the delay after a placement whose memory could not be
	// reserved, and minReserveWait the shortest time for which further placements are
	// tried; a request with a longer objective waits until then.
	reserveRetryDelay = 250 * time.Millisecond
	minReserveWait    = 500 * time.Millisecond
)

// reservationSet is the engine memory reserved for one attempt. Its leases are
// renewed until release is called.
type reservationSet struct {
	helpers []Helper
	leases  []*lease
	usage   *usage // of the memory by the attempt
}

// helperIDs returns the target ids of the helpers for logging.
func (h *reservationSet) helperIDs() []string {
	out := make([]string, len(h.helpers))
	for i, helper := range h.helpers {
		out[i] = helper.Target.ID
	}
	return out
}

// holdsMemory reports whether any memory is reserved.
func (h *reservationSet) holdsMemory() bool { return len(h.leases) > 0 }

// release stops the renewal and releases the memory in the background.
func (h *reservationSet) release() {
	for _, l := range h.leases {
		l.relay.releases.group.Go(l.releaseAfterUse)
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
	set := &reservationSet{usage: newUsage(r, placed.Primary)}
	j.reserveCalls++
	for i, part := range placed.Parts {
		helper := Helper{Target: part.Target}
		if part.Tokens > 0 {
			helper.ReservationID = r.cfg.HostID + "-" + j.req.ID + "-" + strconv.Itoa(j.reserveCalls) + "-" + strconv.Itoa(i)
			set.leases = append(set.leases, r.newLease(part, helper.ReservationID, set.usage))
		}
		if part.Target.ID == placed.Primary.ID {
			set.usage.reservationID = helper.ReservationID
		}
		set.helpers = append(set.helpers, helper)
	}
	if err := r.acquireAll(ctx, j, set.leases); err != nil {
		return nil, err
	}
	for _, l := range set.leases {
		go l.keepRenewed()
	}
	if set.holdsMemory() {
		j.log("memory reserved", zap.Strings("targets", set.helperIDs()), zap.Int("tokens", placed.Parts[0].Tokens))
	}
	return set, nil
}

// acquireAll acquires the leases concurrently. If one fails, the others are
// released in the background; the error joins all failures.
func (r *Relay) acquireAll(ctx context.Context, j *job, leases []*lease) error {
	errs := make([]error, len(leases))
	var group sync.WaitGroup
	for i, l := range leases {
		group.Go(func() { errs[i] = l.acquire(ctx) })
	}
	group.Wait()
	err := errors.Join(errs...)
	if err == nil {
		return nil
	}
	for i, l := range leases {
		j.handleAcquireError(l, errs[i])
		if !errors.Is(errs[i], ErrNoMemory) {
			r.releases.group.Go(l.releaseUnused)
		}
	}
	return err
}

// handleAcquireError records why an engine's memory could not be reserved. An engine
// without free memory may have some soon; one that does not respond is not tried again.
func (j *job) handleAcquireError(l *lease, err error) {
	if err == nil {
		return
	}
	var sendErr *SendError
	switch {
	case errors.Is(err, ErrNoMemory):
		j.relay.cfg.Placer.RecordNoMemory(l.part.Target)
	case errors.As(err, &sendErr) && !sendErr.MaybeSent:
		j.relay.cfg.Placer.RecordUnconnected(l.part.Target)
		j.recordUnsent(l.part.Target.ID)
		j.triedTargets = append(j.triedTargets, l.part.Target.ID)
	default:
		j.triedTargets = append(j.triedTargets, l.part.Target.ID)
	}
	j.log("memory not reserved", zap.String("target", l.part.Target.ID), zap.Int("tokens", l.part.Tokens), zap.Error(err))
}

// handleReserveFailure allows another placement after a delay, until the objective has
// passed: memory becomes free as other requests end.
func (j *job) handleReserveFailure(ctx context.Context) (attemptResult, Reason) {
	j.reserveFailed = true
	waitUntil := j.req.Arrived.Add(max(minReserveWait, j.route.Objective))
	if time.Now().Add(reserveRetryDelay).After(waitUntil) {
		return resultRejected, ReasonNoMemory
	}
	select {
	case <-ctx.Done():
		return resultRejected, ReasonNoMemory
	case <-time.After(reserveRetryDelay):
	}
	return resultNotExecuted, ReasonNoMemory
}
