package knowledge

import (
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/dissemination"
)

// counters holds the atomic counters behind Stats.
type counters struct {
	exchanges, exchangeFailures, pushes, pushFailures atomic.Uint64
	decodeFailures, staleServiceResponses             atomic.Uint64
	bytesIn, bytesOut                                 atomic.Uint64
	serviceResponses                                  atomic.Uint64
}

// Stats counts the activity of a Replica since it was created.
type Stats struct {
	Store                 dissemination.Stats `json:"store"`
	ServiceResponses      uint64              `json:"platform_answers"`
	StaleServiceResponses uint64              `json:"platform_older"` // responses older than the current revision
	Exchanges             uint64              `json:"exchanges"`
	ExchangeFailures      uint64              `json:"exchange_failures"`
	Pushes                uint64              `json:"pushes"`
	PushFailures          uint64              `json:"push_failures"`
	DecodeFailures        uint64              `json:"undecodable"` // values from peers that were damaged or whose base version is unknown
	BytesIn               uint64              `json:"bytes_in"`    // message bodies received from peers
	BytesOut              uint64              `json:"bytes_out"`   // message bodies sent to peers
	Reader                bool                `json:"reader"`
}

// Stats returns a copy of the counters and whether this host is a reader now.
func (r *Replica) Stats() Stats {
	return Stats{
		Store:                 r.store.Stats(),
		ServiceResponses:      r.counters.serviceResponses.Load(),
		StaleServiceResponses: r.counters.staleServiceResponses.Load(),
		Exchanges:             r.counters.exchanges.Load(),
		ExchangeFailures:      r.counters.exchangeFailures.Load(),
		Pushes:                r.counters.pushes.Load(),
		PushFailures:          r.counters.pushFailures.Load(),
		DecodeFailures:        r.counters.decodeFailures.Load(),
		BytesIn:               r.counters.bytesIn.Load(),
		BytesOut:              r.counters.bytesOut.Load(),
		Reader:                r.isReader(),
	}
}

// freshness holds when one key was last adopted and confirmed.
type freshness struct {
	adoptedAt   time.Time
	confirmedAt time.Time // the service had nothing newer at this time or later
	// lastContactAt is the approximate time of the last response in which the service confirmed
	// the key, to this host or as reported by a peer. It is only a hint: it is later than the actual time if this
	// process was paused before it read the response.
	lastContactAt time.Time
}

// markConfirmed records that the service had nothing newer for key at some time after
// requestedAt. The request time is used because a response may be read long after it
// arrived; the time of reading is only used for lastContactAt, which is a hint.
func (r *Replica) markConfirmed(key string, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.freshness[key]
	f.confirmedAt = maxTime(f.confirmedAt, requestedAt)
	f.lastContactAt = time.Now()
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// KeyStatus is the revision of one key on this host and its age.
type KeyStatus struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"` // zero if there is none
	// ActiveFor is the time since this host adopted the revision.
	ActiveFor time.Duration `json:"in_force"`
	// ConfirmedAgo is an upper bound on the time since the configuration service had nothing
	// newer, learned directly or through peers. It is negative if that was never confirmed.
	ConfirmedAgo time.Duration `json:"confirmed"`
	// RefusedRevision is a later revision that was refused as invalid, or zero.
	RefusedRevision uint64 `json:"refused,omitempty"`
}

// KeyStatuses returns the status of every key, sorted by key.
func (r *Replica) KeyStatuses() []KeyStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	statuses := make([]KeyStatus, 0, len(r.freshness))
	for _, key := range r.store.Keys() {
		f := r.freshness[key]
		v, _ := r.store.Get(key)
		refused, _ := r.store.LatestInvalid(key)
		status := KeyStatus{Key: key, Revision: v.Revision, ConfirmedAgo: -1, RefusedRevision: refused.Revision}
		if v.Revision > 0 {
			status.ActiveFor = now.Sub(f.adoptedAt)
		}
		if !f.confirmedAt.IsZero() {
			status.ConfirmedAgo = now.Sub(f.confirmedAt)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// ConfirmedWithin reports whether the configuration service had nothing newer
// for key at some time within the last d. Commands to engines depend on it.
func (r *Replica) ConfirmedWithin(key string, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.freshness[key]
	return ok && !f.confirmedAt.IsZero() && time.Since(f.confirmedAt) <= d
}
