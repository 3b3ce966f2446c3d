package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// maxSignAge is how recent the evidence must be that an attempt uses its memory for its
	// reservations to be renewed.
	maxSignAge = 250 * time.Millisecond
	// signRetryDelay is the time between two questions while there is no such evidence.
	signRetryDelay = 100 * time.Millisecond
	// askTimeout limits one question.
	askTimeout = 500 * time.Millisecond
)

// usage tells whether an attempt uses the memory reserved for it: by its events, or by what
// its target says of the reservation there. That the target answers is not enough: it may have
// ended the attempt without the host learning of it. It is safe for concurrent use.
type usage struct {
	relay         *Relay
	target        catalog.Target // that decodes
	reservationID string         // at the target

	asking chan struct{} // holds a value while a question is in progress

	mu        sync.Mutex
	signAt    time.Time // latest sign that the memory is in use
	wasInUse  bool      // the target has begun with the request
	ended     bool      // and does not use the memory any more, as it said last
	decidedAt time.Time // when the latest question was answered or timed out
	decision  bool      // its result: the memory is in use
}

func newUsage(r *Relay, target catalog.Target) *usage {
	return &usage{relay: r, target: target, asking: make(chan struct{}, 1)}
}

// seen records an event of the attempt.
func (u *usage) seen() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.signAt = time.Now()
	u.wasInUse = true
}

// inUse reports whether there is recent evidence that the attempt uses its memory, or has yet
// to begin with it, false if ctx ends. Concurrent callers share one question.
func (u *usage) inUse(ctx context.Context) bool {
	calledAt := time.Now()
	select {
	case u.asking <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-u.asking }()
	if inUse, known := u.known(calledAt); known {
		return inUse
	}
	sentAt := time.Now()
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, err := u.relay.cfg.Transport.ReservationState(askCtx, u.target, u.reservationID)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		u.log("target of an attempt with reserved memory gives no sign of life", zap.Error(err))
		return u.record(sentAt, false)
	}
	return u.record(sentAt, u.judge(state))
}

// known returns the decision if it follows from recent signs or from a question that was
// answered after calledAt.
func (u *usage) known(calledAt time.Time) (inUse, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case time.Since(u.signAt) < maxSignAge:
		return true, true
	case u.decidedAt.After(calledAt):
		return u.decision, true
	}
	return false, !u.decision && time.Since(u.decidedAt) < signRetryDelay/2
}

// judge decides by what the target says. A target that has not begun with the request, or
// does not tell, is trusted: the wait for the first event is bounded.
func (u *usage) judge(state ReservationState) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.signAt) < maxSignAge {
		return true // an event came while the target was asked
	}
	ended := u.wasInUse && (state == ReservationIdle || state == ReservationAbsent)
	if ended && !u.ended {
		u.log("attempt does not use its reserved memory any more")
	}
	u.ended = ended
	u.wasInUse = u.wasInUse || state == ReservationInUse
	return !ended
}

// record records a decision on a question sent at sentAt, and returns it.
func (u *usage) record(sentAt time.Time, inUse bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decidedAt, u.decision = time.Now(), inUse
	if inUse && sentAt.After(u.signAt) {
		u.signAt = sentAt
	}
	return inUse
}

func (u *usage) log(message string, fields ...zap.Field) {
	fields = append(fields, zap.String("target", u.target.ID), zap.String("reservation", u.reservationID))
	u.relay.cfg.Log.Warn(message, fields...)
}
