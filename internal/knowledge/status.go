package knowledge

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/platform"
)

// counters count what a Knowledge did.
type counters struct {
	exchanges, exchangeFailures, pushes, pushFailures atomic.Uint64
	bytesIn, bytesOut                                 atomic.Uint64
	platformAnswers                                   atomic.Uint64
}

// Stats counts what a Knowledge did.
type Stats struct {
	Store            dissemination.Stats `json:"store"`
	PlatformAnswers  uint64              `json:"platform_answers"`
	Exchanges        uint64              `json:"exchanges"`
	ExchangeFailures uint64              `json:"exchange_failures"`
	Pushes           uint64              `json:"pushes"`
	PushFailures     uint64              `json:"push_failures"`
	BytesIn          uint64              `json:"bytes_in"`  // message bodies from peers
	BytesOut         uint64              `json:"bytes_out"` // message bodies to peers
	Reader           bool                `json:"reader"`
}

// Stats returns the counters.
func (k *Knowledge) Stats() Stats {
	return Stats{
		Store:            k.store.Stats(),
		PlatformAnswers:  k.counters.platformAnswers.Load(),
		Exchanges:        k.counters.exchanges.Load(),
		ExchangeFailures: k.counters.exchangeFailures.Load(),
		Pushes:           k.counters.pushes.Load(),
		PushFailures:     k.counters.pushFailures.Load(),
		BytesIn:          k.counters.bytesIn.Load(),
		BytesOut:         k.counters.bytesOut.Load(),
		Reader:           k.isReader(),
	}
}

// freshness is how old the knowledge of one key is.
type freshness struct {
	adoptedAt   time.Time
	confirmedAt time.Time // the service had nothing newer then
}

// confirmed notes that the service had nothing newer for key at the time.
func (k *Knowledge) confirmed(key string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.freshness[key]
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// Age is how old the knowledge of one key is.
type Age struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"` // zero: none in force
	// InForce is how long the revision has been in force here.
	InForce time.Duration `json:"in_force"`
	// Confirmed is how long ago the configuration service had nothing newer,
	// as heard directly or through peers; negative: never.
	Confirmed time.Duration `json:"confirmed"`
	// Refused is a later revision that was kept out, or zero.
	Refused uint64 `json:"refused,omitempty"`
}

// Ages returns how old the knowledge of each key is, in the order of keys.
func (k *Knowledge) Ages() []Age {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	ages := make([]Age, 0, len(k.freshness))
	for _, key := range k.store.Keys() {
		f := k.freshness[key]
		v, _ := k.store.Get(key)
		bad, _ := k.store.Bad(key)
		age := Age{Key: key, Revision: v.Revision, Confirmed: -1, Refused: bad.Revision}
		if v.Revision > 0 {
			age.InForce = now.Sub(f.adoptedAt)
		}
		if !f.confirmedAt.IsZero() {
			age.Confirmed = now.Sub(f.confirmedAt)
		}
		ages = append(ages, age)
	}
	return ages
}

// ConfirmedWithin tells whether the configuration service had nothing newer
// for key at some time within d. Orders to engines ask for it.
func (k *Knowledge) ConfirmedWithin(key string, d time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	f, ok := k.freshness[key]
	return ok && !f.confirmedAt.IsZero() && time.Since(f.confirmedAt) <= d
}

// Readiness tells whether this host knows enough to serve.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is why the host is not ready, or serves old knowledge; "" if all is well.
	Reason string `json:"reason,omitempty"`
	// Next is what the host does about it by itself.
	Next string `json:"next,omitempty"`
}

// startState is how far a new host has come; k.mu guards it.
type startState struct {
	begun    time.Time
	platform bool // the configuration service answered
	over     bool // all were asked, or the wait is over
	expired  bool // the wait is over without an answer from all
}

func (k *Knowledge) beginStart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.start = startState{begun: time.Now()}
}

// answered notes an answer of the configuration service.
func (k *Knowledge) answered() {
	k.counters.platformAnswers.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.start.platform = true
}

// runStart asks the service until it answers or the wait is over.
func (k *Knowledge) runStart(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, k.cfg.StartWait)
	defer cancel()
	backoff := platform.Backoff{First: firstBackoff, Max: maxBackoff}
	for waitCtx.Err() == nil {
		if k.check(waitCtx) == nil {
			break
		}
		sleep(waitCtx, backoff.Next())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.start.over = true
	k.start.expired = waitCtx.Err() != nil
}

// Ready tells whether this host knows enough to serve.
func (k *Knowledge) Ready() Readiness {
	k.mu.Lock()
	start := k.start
	k.mu.Unlock()
	lacking := k.lacking()
	wait := k.cfg.StartWait
	switch {
	case !start.over:
		return Readiness{
			Reason: "asking the configuration service and peers for the newest values",
			Next:   fmt.Sprintf("serves as soon as all answered, or after %s with what it has", wait),
		}
	case len(lacking) > 0:
		return Readiness{
			Reason: fmt.Sprintf("nobody gave a valid value of %s", strings.Join(lacking, ", ")),
			Next:   fmt.Sprintf("keeps asking the configuration service and peers, at least every %s, and serves once it has them", maxBackoff),
		}
	case start.expired:
		return Readiness{
			Ready:  true,
			Reason: fmt.Sprintf("not everybody who may know newer values answered within %s; serves what it has", wait),
			Next:   "keeps asking and adopts newer values",
		}
	}
	return Readiness{Ready: true}
}

// lacking names what a host must know before it can serve.
func (k *Knowledge) lacking() []string {
	s := k.Snapshot()
	var names []string
	if len(s.RulesRevisions) == 0 {
		names = append(names, "any partner's rules")
	}
	if s.TargetsRevision == 0 {
		names = append(names, platform.KeyTargets)
	}
	return names
}
