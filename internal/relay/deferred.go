package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainrun/plantainrun/internal/placement"
)

// deferredJitter spreads the requests that wait for the same targets.
const deferredJitter = 50 * time.Millisecond

// waitUntilWanted waits until a target may accept another request. A request whose
// objective passes before is refused, unless the caller has part of the answer already.
func (j *job) waitUntilWanted(ctx context.Context, deferred *placement.DeferredError) (attemptResult, Reason) {
	reason := ReasonRateLimited
	wait := deferred.RetryAfter + rand.N(deferredJitter)
	if deferred.OnlyHere {
		reason = ReasonTargetsResting
	}
	if !j.callerHasEvents() && time.Now().Add(wait).After(j.req.Arrived.Add(j.route.Objective)) {
		j.retryAfter = wait
		return resultRejected, reason
	}
	select {
	case <-ctx.Done():
		return resultRejected, reason
	case <-time.After(wait):
	}
	return resultPostponed, reason
}
