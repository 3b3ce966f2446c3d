package relay

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"
)

// ErrNoMemory means that an engine has no free memory for a reservation.
var ErrNoMemory = errors.New("the engine has no free memory: try another one")

// Reason says why a host answers a request itself.
type Reason string

// The reasons and what they tell the caller about its request.
const (
	ReasonBadRequest        Reason = "bad_request" // not run: malformed
	ReasonBodyTooLarge      Reason = "too_large"   // not run: body above the limit
	ReasonUnknownKey        Reason = "unknown_key" // not run: no organisation holds the key
	ReasonNoRoute           Reason = "no_route"    // not run: no route matches
	ReasonConfigUnconfirmed Reason = "unconfirmed" // not run: the configuration cannot be confirmed
	ReasonNoTarget          Reason = "no_target"   // not run: no target is usable
	ReasonTargetsBusy       Reason = "busy"        // not run: every target tried was full
	ReasonInfeasible        Reason = "hopeless"    // not run: it cannot be answered in time
	ReasonNoMemory          Reason = "no_memory"   // not run: the prompt's memory could not be reserved
	ReasonQuarantined       Reason = "quarantined" // not run: it has crashed targets
	ReasonTimeout           Reason = "timeout"     // may have run: the time ran out
	ReasonNoUsableResponse  Reason = "lost"        // may have run: the targets gave no usable answer
	ReasonExpired           Reason = "out_of_time" // not run: the time ran out before an attempt
)

// Refusal is an answer of the host's own.
type Refusal struct {
	Status int
	Reason Reason
	// RetryAfter is when another attempt is worthwhile; 0 for no statement.
	RetryAfter time.Duration
}

// Statuses of refusals. 503 is used only for requests that have not run and
// never will.
var statusByReason = map[Reason]int{
	ReasonBadRequest:        http.StatusBadRequest,
	ReasonBodyTooLarge:      http.StatusRequestEntityTooLarge,
	ReasonUnknownKey:        http.StatusUnauthorized,
	ReasonNoRoute:           http.StatusNotFound,
	ReasonTimeout:           http.StatusGatewayTimeout,
	ReasonNoUsableResponse:  http.StatusBadGateway,
	ReasonConfigUnconfirmed: http.StatusServiceUnavailable,
	ReasonNoTarget:          http.StatusServiceUnavailable,
	ReasonTargetsBusy:       http.StatusServiceUnavailable,
	ReasonInfeasible:        http.StatusServiceUnavailable,
	ReasonNoMemory:          http.StatusServiceUnavailable,
	ReasonQuarantined:       http.StatusServiceUnavailable,
	ReasonExpired:           http.StatusServiceUnavailable,
}

// Base times after which another attempt is worthwhile.
var retryAfterByReason = map[Reason]time.Duration{
	ReasonConfigUnconfirmed: 50 * time.Millisecond, // another host may be in touch
	ReasonNoTarget:          400 * time.Millisecond,
	ReasonTargetsBusy:       300 * time.Millisecond,
	ReasonNoMemory:          700 * time.Millisecond,
	ReasonInfeasible:        500 * time.Millisecond,
	ReasonQuarantined:       5 * time.Second,
}

// NewRefusal returns the refusal for a reason, its retry time spread so that
// callers do not come back together.
func NewRefusal(reason Reason) Refusal {
	r := Refusal{Status: statusByReason[reason], Reason: reason}
	if base, ok := retryAfterByReason[reason]; ok {
		r.RetryAfter = base/2 + rand.N(base)
	}
	return r
}
