package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/quarantine"
)

// ViewSource provides the current view of the configuration and the targets, and
// the time since it was last confirmed.
type ViewSource interface {
	View() *follow.View
	Age() time.Duration
}

// RetryBudget limits the retries of requests to a service. A retry uses no budget
// while no attempt of its request can have reached a target.
type RetryBudget interface {
	// RecordFirstAttempt records the first attempt of a request.
	RecordFirstAttempt(service string)
	// DecideRetry decides whether a request may be retried, and uses up budget if so.
	DecideRetry(service string) RetryDecision
}

// RetryDecision is the answer of a RetryBudget, with what it was based on.
type RetryDecision struct {
	Allowed    bool
	Available  float64 // retries to the service that the host had left before
	BurstShare float64 // the host's share of the retries that need no first attempts
	KnownHosts int     // that share them, this one included
}

// MarshalLogObject adds the decision to a log line.
func (d RetryDecision) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddFloat64("available", d.Available)
	enc.AddFloat64("burst_share", d.BurstShare)
	enc.AddInt("known_hosts", d.KnownHosts)
	return nil
}

// Settings can be changed while a Relay serves requests.
type Settings struct {
	// MaxViewAge is the time since the last confirmation of the configuration from
	// which a request that needs a key or matches no route is refused with
	// ReasonConfigUnconfirmed; 0 for no limit.
	MaxViewAge time.Duration
	// ReservationLease is the lease duration of a memory reservation.
	ReservationLease time.Duration
	// MaxIdleReservation is how long memory may be reserved for an attempt without an
	// event; 0 for no limit.
	MaxIdleReservation time.Duration
}

// Config holds the dependencies and the initial settings of a Relay.
type Config struct {
	Views       ViewSource
	Placer      *placement.Placer
	Transport   Transport
	RetryBudget RetryBudget
	Observer    Observer
	Peers       Peers
	// Forwarder passes requests to other hosts while this one does not reach the
	// targets; nil for none.
	Forwarder Forwarder
	Log       *zap.Logger
	Settings  Settings
	// Memory bounds what is held for callers and targets; nil for no limit.
	Memory *membudget.Budget
	// HostID is the prefix that makes reservation ids unique across hosts.
	HostID string
	// MinContendedObjective is the shortest objective of routes whose long prompts are
	// refused while the engines would begin with them too late; 0 for none.
	MinContendedObjective time.Duration
	// Regions holds the region of each failure domain.
	Regions map[string]string
}

// Peers broadcasts urgent events to the other hosts.
type Peers interface {
	// Crashed reports a request whose response from a target is missing, invalid or
	// incomplete, as when the request crashes the target.
	Crashed(crash quarantine.Crash)
	// AnswersReceived reports answers that clear a part of prompts.
	AnswersReceived(answers quarantine.Answers)
	// HostCount returns the number of hosts, this one included.
	HostCount() int
	// RateLimitChanged reports a target's new rate limit, or the end of its limit.
	RateLimitChanged(limit placement.TargetRateLimit)
}

// Observer records metrics of requests and attempts.
type Observer interface {
	Refused(reason Reason)
	AttemptEnded(service, outcome string)
	// RetryDecided counts a retry that the retry budget allowed or refused.
	RetryDecided(service string, allowed bool)
	// ReservationEnded records how long after the end of its attempt the memory of a
	// reservation was free at the latest, and whether a release was answered.
	ReservationEnded(released bool, freeAfter time.Duration)
	// Forwarded counts a request passed to another host, by its outcome.
	Forwarded(outcome string)
	FirstEvent(route string, took time.Duration)
	// Backlogged records the backlog for which a long prompt is refused.
	Backlogged(backlog time.Duration)
	Finished(route string, took time.Duration)
	AddActive(delta int)
}

// Relay forwards requests to targets. It is safe for concurrent use.
type Relay struct {
	cfg      Config
	settings atomic.Pointer[Settings]
	active   atomic.Int64
	crashes  *crashTracker
	parts    *quarantine.Tracker
	releases releaseTracker
	shutdown shutdown
}

// New returns a Relay that uses the dependencies in cfg.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg, crashes: newCrashTracker(time.Now)}
	r.parts = quarantine.New(quarantine.Config{
		Now: time.Now, Report: cfg.Peers.AnswersReceived, HostCount: cfg.Peers.HostCount, Log: cfg.Log,
	})
	r.SetSettings(cfg.Settings)
	cfg.Placer.OnReachabilityChanged(r.reachabilityChanged)
	return r
}

// SetSettings replaces the settings. Reservations that are already held are
// renewed with the old lease duration.
func (r *Relay) SetSettings(s Settings) { r.settings.Store(&s) }

// Active returns the number of requests in progress.
func (r *Relay) Active() int { return int(r.active.Load()) }

// WaitForReleases blocks until the memory of completed requests is released or
// ctx ends.
func (r *Relay) WaitForReleases(ctx context.Context) { r.releases.wait(ctx) }

// Serve processes one request and writes its final response. ctx is cancelled
// when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, req *Request, writer ResponseWriter) {
	defer r.endAfterPanic(req, writer)
	r.active.Add(1)
	r.cfg.Observer.AddActive(1)
	defer func() {
		r.active.Add(-1)
		r.cfg.Observer.AddActive(-1)
	}()
	if req.Origin != nil {
		r.cfg.Log.Info("request of another host", zap.String("request", req.ID), zap.String("origin", req.Origin.Host), zap.Duration("elapsed", time.Since(req.Arrived)))
	}
	ctx, done := r.shutdown.begin(ctx)
	defer done()
	j, reason := r.admit(req)
	if reason != "" {
		r.refuse(req, writer, NewRefusal(reason))
		return
	}
	j.writer = writer
	deadlineCtx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.run(deadlineCtx)
}

// endAfterPanic ends a request whose handling panics with an error. The request may have run.
func (r *Relay) endAfterPanic(req *Request, writer ResponseWriter) {
	fault := recover()
	if fault == nil {
		return
	}
	r.cfg.Log.Error("handling of a request panicked", zap.String("request", req.ID), zap.Any("panic", fault), zap.Stack("stack"))
	if writer.Begun() {
		writer.Abort()
		return
	}
	r.refuse(req, writer, NewRefusal(ReasonNoUsableResponse))
}

// MaxBodyBytes returns the configured size limit of a request's body, or 0 for none.
func (r *Relay) MaxBodyBytes() int64 {
	if config := r.cfg.Views.View().Config; config != nil {
		return config.Limits.BodyBytes
	}
	return 0
}

// Screen returns why a request would be refused whatever its body holds, or "". bodyBytes is
// the announced size of the body, or less than 0 if it is not known.
func (r *Relay) Screen(req *Request, bodyBytes int64) Reason {
	_, reason := r.authorise(req, bodyBytes)
	return reason
}

// admit validates a request against the current configuration.
func (r *Relay) admit(req *Request) (*job, Reason) {
	j, reason := r.authorise(req, int64(len(req.Body)))
	if reason != "" {
		return nil, reason
	}
	j.adoptOrigin()
	if j.quarantined() {
		return nil, ReasonQuarantined
	}
	return j, ""
}

// authorise checks what a request asks for, by whom, with a body of which size and with how
// much time left.
func (r *Relay) authorise(req *Request, bodyBytes int64) (*job, Reason) {
	view := r.cfg.Views.View()
	if view.Config == nil || view.Config.Version < req.minConfigVersion() {
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
	if limit := view.Config.Limits.BodyBytes; limit > 0 && bodyBytes > limit {
		return nil, ReasonBodyTooLarge
	}
	j.selectService(view)
	j.deadline = req.Arrived.Add(j.timeout())
	if !time.Now().Before(j.deadline) {
		return nil, ReasonExpired
	}
	if r.shutdown.endsBefore(j.deadline) {
		return nil, ReasonDraining
	}
	return j, ""
}

// viewFresh reports whether the configuration was confirmed recently enough to
// accept or deny keys and to deny routes.
func (r *Relay) viewFresh() bool {
	maxAge := r.settings.Load().MaxViewAge
	return maxAge == 0 || r.cfg.Views.Age() < maxAge
}

// denyIfFresh returns the reason only if the configuration is fresh: a stale one
// may lack a key or a route that exists now.
func denyIfFresh(fresh bool, reason Reason) Reason {
	if fresh {
		return reason
	}
	return ReasonConfigUnconfirmed
}

// refuse refuses a request. fields are logged in addition.
func (r *Relay) refuse(req *Request, writer ResponseWriter, refusal Refusal, fields ...zap.Field) {
	r.RecordRefusal(req, refusal, fields...)
	writer.WriteRefusal(refusal)
}

// RecordRefusal counts and logs the refusal of a request. fields are logged in addition.
func (r *Relay) RecordRefusal(req *Request, refusal Refusal, fields ...zap.Field) {
	r.cfg.Observer.Refused(refusal.Reason)
	if refusal.Reason == ReasonHostMemory {
		fields = append(fields, zap.Object("memory", r.cfg.Memory.Usage()))
	}
	r.cfg.Log.Info("request refused", append(fields,
		zap.String("request", req.ID), zap.String("reason", string(refusal.Reason)), zap.Int("status", refusal.Status),
		zap.Duration("retry_after", refusal.RetryAfter), zap.Duration("view_age", r.cfg.Views.Age()),
		zap.Duration("took", time.Since(req.Arrived)))...)
}

// pickBackend picks a service at random in proportion to the weights.
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
