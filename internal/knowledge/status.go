package knowledge

import (
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/dissemination"
)

// counters count what a Knowledge did.
type counters struct {
	exchanges, exchangeFailures, pushes, pushFailures atomic.Uint64
	undecodable, platformOlder                        atomic.Uint64
	bytesIn, bytesOut                                 atomic.Uint64
	platformAnswers                                   atomic.Uint64
}

// Stats counts what a Knowledge did.
type Stats struct {
	Store            dissemination.Stats `json:"store"`
	PlatformAnswers  uint64              `json:"platform_answers"`
	PlatformOlder    uint64              `json:"platform_older"` // answers older than what is in force
	Exchanges        uint64              `json:"exchanges"`
	ExchangeFailures uint64              `json:"exchange_failures"`
	Pushes           uint64              `json:"pushes"`
	PushFailures     uint64              `json:"push_failures"`
	Undecodable      uint64              `json:"undecodable"` // values that were damaged or build on an unknown one
	BytesIn          uint64              `json:"bytes_in"`    // message bodies from peers
	BytesOut         uint64              `json:"bytes_out"`   // message bodies to peers
	Reader           bool                `json:"reader"`
}

// Stats returns the counters.
func (k *Replica) Stats() Stats {
	return Stats{
		Store:            k.store.Stats(),
		PlatformAnswers:  k.counters.platformAnswers.Load(),
		PlatformOlder:    k.counters.platformOlder.Load(),
		Exchanges:        k.counters.exchanges.Load(),
		ExchangeFailures: k.counters.exchangeFailures.Load(),
		Pushes:           k.counters.pushes.Load(),
		PushFailures:     k.counters.pushFailures.Load(),
		Undecodable:      k.counters.undecodable.Load(),
		BytesIn:          k.counters.bytesIn.Load(),
		BytesOut:         k.counters.bytesOut.Load(),
		Reader:           k.isReader(),
	}
}

// freshness is how old the knowledge of one key is.
type freshness struct {
	adoptedAt   time.Time
	confirmedAt time.Time // the service had nothing newer then, or later
	// heardAt is a hint: about when the service was last heard of. An answer that
	// waited while this process was paused makes it too late.
	heardAt time.Time
}

// confirmed notes that the service had nothing newer for key at some time after
// asked. An answer may be read long after it came, so its own time is a hint only.
func (k *Replica) confirmed(key string, asked time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.freshness[key]
	f.confirmedAt = later(f.confirmedAt, asked)
	f.heardAt = time.Now()
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Age is how old the knowledge of one key is.
type Age struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"` // zero: none in force
	// InForce is how long the revision has been in force here.
	InForce time.Duration `json:"in_force"`
	// ConfirmedAgo is how long ago at most the configuration service had nothing newer,
	// as heard directly or through peers; negative: never.
	ConfirmedAgo time.Duration `json:"confirmed"`
	// RefusedRevision is a later revision that was kept out, or zero.
	RefusedRevision uint64 `json:"refused,omitempty"`
}

// KeyStatuses returns how old the knowledge of each key is, in the order of keys.
func (k *Replica) KeyStatuses() []Age {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	ages := make([]Age, 0, len(k.freshness))
	for _, key := range k.store.Keys() {
		f := k.freshness[key]
		v, _ := k.store.Get(key)
		bad, _ := k.store.Bad(key)
		age := Age{Key: key, Revision: v.Revision, ConfirmedAgo: -1, RefusedRevision: bad.Revision}
		if v.Revision > 0 {
			age.InForce = now.Sub(f.adoptedAt)
		}
		if !f.confirmedAt.IsZero() {
			age.ConfirmedAgo = now.Sub(f.confirmedAt)
		}
		ages = append(ages, age)
	}
	return ages
}

// ConfirmedWithin tells whether the configuration service had nothing newer
// for key at some time within d. Orders to engines ask for it.
func (k *Replica) ConfirmedWithin(key string, d time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	f, ok := k.freshness[key]
	return ok && !f.confirmedAt.IsZero() && time.Since(f.confirmedAt) <= d
}
