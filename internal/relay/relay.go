package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// Knowledge is what is published, and how long ago that was confirmed.
type Knowledge interface {
	View() *follow.View
	Age() time.Duration
}

// Budget bounds the second arrivals of requests at a service.
type Budget interface {
	// First counts a request.
	First(service string)
	// Retry reports whether a request may reach another target, and counts it.
	Retry(service string) bool
}

// Settings are what may change while a Relay serves.
type Settings struct {
	// MaxViewAge is how old the confirmed configuration may be for requests
	// with a key; 0 for any age.
	MaxViewAge time.Duration
	// ReservationLease is the lease of a memory reservation.
	ReservationLease time.Duration
}

// Config holds the parts of a Relay.
type Config struct {
	Views       Knowledge
	Placer      *placement.Placer
	Transport   Transport
	RetryBudget Budget
	Observer    Observer
	Peers       Peers
	Log         *zap.Logger
	Settings    Settings
	// HostID makes ids of reservations unique among hosts.
	HostID string
}

// Peers are told what other hosts should know at once.
type Peers interface {
	// Crashed says that a request broke off at a target.
	Crashed(request uint64, target catalog.TargetKey)
}

// Observer counts what becomes of requests.
type Observer interface {
	Refused(reason Reason)
	AttemptEnded(service, outcome string)
	FirstEvent(route string, took time.Duration)
	Finished(route string, took time.Duration)
	AddActive(delta int)
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	cfg       Config
	settings  atomic.Pointer[Settings]
	active    atomic.Int64
	crashes   *crashes
	releasing releases
}

// New returns a Relay.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg, crashes: newCrashes(time.Now)}
	r.SetSettings(cfg.Settings)
	return r
}

// SetSettings replaces the settings for requests that arrive from now on.
func (r *Relay) SetSettings(s Settings) { r.settings.Store(&s) }

// Active returns the number of requests in progress.
func (r *Relay) Active() int { return int(r.active.Load()) }

// WaitForReleases waits until the memory of ended requests is released, or ctx ends.
func (r *Relay) WaitForReleases(ctx context.Context) { r.releasing.wait(ctx) }

// Serve takes one request to its final answer. ctx ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, req *Request, reply ResponseWriter) {
	r.active.Add(1)
	r.cfg.Observer.AddActive(1)
	defer func() {
		r.active.Add(-1)
		r.cfg.Observer.AddActive(-1)
	}()
	j, reason := r.admit(req)
	if reason != "" {
		r.refuse(req, reply, reason)
		return
	}
	j.reply = reply
	limited, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.run(limited)
}

// admit checks a request against the configuration in force.
func (r *Relay) admit(req *Request) (*job, Reason) {
	view := r.cfg.Views.View()
	if view.Config == nil {
		return nil, ReasonUnconfirmed
	}
	trusted := r.trusted()
	route, found := view.Config.Route(req.Host, req.Path)
	if !found {
		return nil, ifTrusted(trusted, ReasonNoRoute)
	}
	j := &job{relay: r, req: req, route: route}
	if view.Config.RequiresKey() && !route.Public {
		org, known := view.Config.Organisation(req.Key)
		if !known {
			return nil, ifTrusted(trusted, ReasonNoKey)
		}
		if !trusted {
			return nil, ReasonUnconfirmed
		}
		j.organisation = org.Name
		j.keyed = true
	}
	if limit := view.Config.Limits.BodyBytes; limit > 0 && int64(len(req.Body)) > limit {
		return nil, ReasonBodyTooLarge
	}
	j.choose(view)
	j.deadline = req.Arrived.Add(j.limit())
	if !time.Now().Before(j.deadline) {
		return nil, ReasonTooOld
	}
	if r.crashes.quarantined(j.fingerprint()) {
		return nil, ReasonQuarantined
	}
	return j, ""
}

// trusted reports whether the configuration was confirmed recently enough to
// believe keys and to deny routes.
func (r *Relay) trusted() bool {
	bound := r.settings.Load().MaxViewAge
	return bound == 0 || r.cfg.Views.Age() < bound
}

// ifTrusted denies only on the word of a current configuration.
func ifTrusted(trusted bool, reason Reason) Reason {
	if trusted {
		return reason
	}
	return ReasonUnconfirmed
}

func (r *Relay) refuse(req *Request, reply ResponseWriter, reason Reason) {
	refusal := NewRefusal(reason)
	r.cfg.Observer.Refused(reason)
	r.cfg.Log.Info("request refused",
		zap.String("request", req.ID), zap.String("reason", string(reason)), zap.Int("status", refusal.Status),
		zap.Duration("retry_after", refusal.RetryAfter), zap.Duration("view_age", r.cfg.Views.Age()),
		zap.Duration("took", time.Since(req.Arrived)))
	reply.WriteRefusal(refusal)
}

// pickBackend draws a service by weight.
func pickBackend(backends []catalog.Backend) string {
	total := 0
	for _, b := range backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return backends[0].Service
	}
	n := rand.IntN(total)
	for _, b := range backends {
		n -= max(b.Weight, 0)
		if n < 0 {
			return b.Service
		}
	}
	return backends[len(backends)-1].Service
}
