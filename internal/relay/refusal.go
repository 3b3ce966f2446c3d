package relay

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"
)

// ErrNoMemory means that an engine has no free memory for a reservation.
var ErrNoMemory = errors.New("engine has no free memory; try another engine")

// Reason is why a host refuses a request instead of relaying a response.
type Reason string

// The reasons, and whether the request may have been executed.
const (
	ReasonBadRequest        Reason = "bad_request"   // not executed: malformed
	ReasonBodyTooLarge      Reason = "too_large"     // not executed: body above the limit
	ReasonUnknownKey        Reason = "unknown_key"   // not executed: no organisation has the key
	ReasonNoRoute           Reason = "no_route"      // not executed: no route matches
	ReasonConfigUnconfirmed Reason = "unconfirmed"   // not executed: the configuration is missing or its confirmation is too old
	ReasonNoTarget          Reason = "no_target"     // not executed: no usable target
	ReasonNotPermitted      Reason = "not_permitted" // not executed: no target is in a region where it may run
	ReasonEvacuated         Reason = "evacuated"     // not executed: all targets are in evacuated failure domains
	ReasonUnreachable       Reason = "unreachable"   // not executed: this host reaches no target, and no other host takes the request
	ReasonHostMemory        Reason = "host_memory"   // not executed: this host cannot hold the request's body for now
	ReasonOverloaded        Reason = "overloaded"    // not executed: this host takes no more requests of others for now
	ReasonDraining          Reason = "draining"      // not executed: this host takes no requests of others any more
	ReasonTargetsBusy       Reason = "busy"          // not executed: every target tried was at capacity
	ReasonRateLimited       Reason = "rate_limited"  // not executed: every target is at the rate limit that it names
	ReasonTargetsResting    Reason = "resting"       // not executed: every target has asked this host to send none for a while
	ReasonInfeasible        Reason = "hopeless"      // not executed: it exceeds the engines' capacity or the predicted wait is too long
	ReasonBacklogged        Reason = "backlogged"    // not executed: engines would begin with the prompt too late
	ReasonNoMemory          Reason = "no_memory"     // not executed: the prompt's memory could not be reserved
	ReasonQuarantined       Reason = "quarantined"   // not executed: it has crashed targets
	ReasonTimeout           Reason = "timeout"       // may have been executed: the deadline passed
	ReasonNoUsableResponse  Reason = "lost"          // may have been executed: no target gave a usable response
	ReasonExpired           Reason = "out_of_time"   // not executed: its deadline passed before the first attempt
)

// Refusal is a response that the host itself gives to a request.
type Refusal struct {
	Status int
	Reason Reason
	// RetryAfter is the delay after which the caller should retry; 0 for none.
	RetryAfter time.Duration
}

// statusByReason maps reasons to HTTP status codes. 503 is used only for requests
// that have not been executed and never will be.
var statusByReason = map[Reason]int{
	ReasonBadRequest:        http.StatusBadRequest,
	ReasonBodyTooLarge:      http.StatusRequestEntityTooLarge,
	ReasonUnknownKey:        http.StatusUnauthorized,
	ReasonNoRoute:           http.StatusNotFound,
	ReasonTimeout:           http.StatusGatewayTimeout,
	ReasonNoUsableResponse:  http.StatusBadGateway,
	ReasonConfigUnconfirmed: http.StatusServiceUnavailable,
	ReasonNoTarget:          http.StatusServiceUnavailable,
	ReasonNotPermitted:      http.StatusServiceUnavailable,
	ReasonEvacuated:         http.StatusServiceUnavailable,
	ReasonUnreachable:       http.StatusServiceUnavailable,
	ReasonHostMemory:        http.StatusServiceUnavailable,
	ReasonOverloaded:        http.StatusServiceUnavailable,
	ReasonDraining:          http.StatusServiceUnavailable,
	ReasonTargetsBusy:       http.StatusServiceUnavailable,
	ReasonRateLimited:       http.StatusServiceUnavailable,
	ReasonTargetsResting:    http.StatusServiceUnavailable,
	ReasonInfeasible:        http.StatusServiceUnavailable,
	ReasonBacklogged:        http.StatusServiceUnavailable,
	ReasonNoMemory:          http.StatusServiceUnavailable,
	ReasonQuarantined:       http.StatusServiceUnavailable,
	ReasonExpired:           http.StatusServiceUnavailable,
}

// retryAfterByReason holds the base retry delays, before jitter.
var retryAfterByReason = map[Reason]time.Duration{
	ReasonConfigUnconfirmed: 50 * time.Millisecond, // another host may have a confirmed configuration
	ReasonNoTarget:          400 * time.Millisecond,
	ReasonNotPermitted:      time.Second,
	ReasonEvacuated:         time.Second,            // an operator ends it
	ReasonUnreachable:       300 * time.Millisecond, // another host may reach the targets
	ReasonHostMemory:        300 * time.Millisecond, // another host may have room
	ReasonOverloaded:        300 * time.Millisecond,
	ReasonDraining:          50 * time.Millisecond,
	ReasonTargetsBusy:       300 * time.Millisecond,
	ReasonNoMemory:          700 * time.Millisecond,
	ReasonRateLimited:       300 * time.Millisecond,
	ReasonTargetsResting:    300 * time.Millisecond,
	ReasonInfeasible:        500 * time.Millisecond,
	ReasonQuarantined:       5 * time.Second,
}

// mayHaveExecuted reports whether the request may have been executed.
func (r Refusal) mayHaveExecuted() bool {
	return r.Status == http.StatusBadGateway || r.Status == http.StatusGatewayTimeout
}

// OnlyHere reports whether a host refuses a request for a reason that need not hold at
// another host.
func (r Reason) OnlyHere() bool {
	switch r {
	case ReasonConfigUnconfirmed, ReasonUnreachable, ReasonHostMemory, ReasonOverloaded, ReasonDraining, ReasonTargetsResting:
		return true
	}
	return false
}

// after returns the refusal with a retry delay of at least d.
func (r Refusal) after(d time.Duration) Refusal {
	r.RetryAfter = max(r.RetryAfter, d)
	return r
}

// NewRefusal returns the refusal for a reason. Its retry delay has jitter, so that
// callers do not retry simultaneously.
func NewRefusal(reason Reason) Refusal {
	r := Refusal{Status: statusByReason[reason], Reason: reason}
	if base, ok := retryAfterByReason[reason]; ok {
		r.RetryAfter = base/2 + rand.N(base)
	}
	return r
}
