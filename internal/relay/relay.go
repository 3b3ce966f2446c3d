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

// ViewSource is what is published, and how long ago that was confirmed.
type ViewSource interface {
	View() *follow.View
	Age() time.Duration
}

// RetryBudget bounds the second arrivals of requests at a service.
type RetryBudget interface {
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
	Views       ViewSource
	Placer      *placement.Placer
	Transport   Transport
	RetryBudget RetryBudget
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
	cfg      Config
	settings atomic.Pointer[Settings]
	active   atomic.Int64
	crashes  *crashTracker
	releases releaseTracker
}

// New returns a Relay.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg, crashes: newCrashTracker(time.Now)}
	r.SetSettings(cfg.Settings)
	return r
}

// SetSettings replaces the settings for requests that arrive from now on.
func (r *Relay) SetSettings(s Settings) { r.settings.Store(&s) }

// Active returns the number of requests in progress.
func (r *Relay) Active() int { return int(r.active.Load()) }

// WaitForReleases waits until the memory of ended requests is released, or ctx ends.
func (r *Relay) WaitForReleases(ctx context.Context) { r.releases.wait(ctx) }

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
	deadlineCtx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.run(deadlineCtx)
}

// admit checks a request against the configuration in force.
func (r *Relay) admit(req *Request) (*job, Reason) {
	view := r.cfg.Views.View()
	if view.Config == nil {
		return nil, ReasonConfigUnconfirmed
	}
	fresh := r.viewFresh()
	route, found := view.Config.Route(req.Host, req.Path)
	if !found {
		return nil, denyIfFresh(fresh, ReasonNoRoute)
	}
	j := &job{relay: r, req: req, route: route}
	if view.Config.RequiresKey() && !route.Public {
		org, found := view.Config.Organisation(req.Key)
		if !found {
			return nil, denyIfFresh(fresh, ReasonUnknownKey)
		}
		if !fresh {
			return nil, ReasonConfigUnconfirmed
		}
		j.organisation = org.Name
		j.authenticated = true
	}
	if limit := view.Config.Limits.BodyBytes; limit > 0 && int64(len(req.Body)) > limit {
		return nil, ReasonBodyTooLarge
	}
	j.selectService(view)
	j.deadline = req.Arrived.Add(j.timeout())
	if !time.Now().Before(j.deadline) {
		return nil, ReasonExpired
	}
	if r.crashes.quarantined(j.fingerprint()) {
		return nil, ReasonQuarantined
	}
	return j, ""
}

// viewFresh reports whether the configuration was confirmed recently enough to
// believe keys and to deny routes.
func (r *Relay) viewFresh() bool {
	maxAge := r.settings.Load().MaxViewAge
	return maxAge == 0 || r.cfg.Views.Age() < maxAge
}

// denyIfFresh denies only on the word of a current configuration.
func denyIfFresh(fresh bool, reason Reason) Reason {
	if fresh {
		return reason
	}
	return ReasonConfigUnconfirmed
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
