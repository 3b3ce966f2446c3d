package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	// deferredJitter spreads the requests that wait for the same targets.
	deferredJitter = 50 * time.Millisecond
	// maxRetryAfterElsewhere is the longest time after which a caller is told to come back
	// if another host may serve it earlier.
	maxRetryAfterElsewhere = 500 * time.Millisecond
)

// waitUntilWanted waits until a target may accept another request. A request whose
// objective passes before is refused, unless the caller has part of the answer already.
func (j *job) waitUntilWanted(ctx context.Context, deferred *placement.DeferredError) (attemptResult, Reason) {
	reason := ReasonRateLimited
	wait := deferred.RetryAfter + rand.N(deferredJitter)
	retryAfter := wait
	if deferred.OnlyHere {
		reason = ReasonTargetsResting
		retryAfter = min(wait, maxRetryAfterElsewhere)
	}
	if !j.callerHasEvents() && time.Now().Add(wait).After(j.req.Arrived.Add(j.route.Objective)) {
		j.retryAfter = retryAfter
		return resultRejected, reason
	}
	select {
	case <-ctx.Done():
		return resultRejected, reason
	case <-time.After(wait):
	}
	return resultPostponed, reason
}
