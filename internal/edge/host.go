package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/httpserver"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/peers"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/relay"
	"github.com/plantainrun/plantainrun/internal/sweep"
)

const (
	// revocationMargin is subtracted from Settings.RevokeWithin to get the age of the
	// view from which keys are no longer trusted.
	revocationMargin = 400 * time.Millisecond
	// idleReservationFraction is the fraction of Settings.MaxIdleReservation after which
	// memory without an event is released, so that the release arrives in time.
	idleReservationFraction = 0.8
	// leaseFraction is the fraction of Settings.MemoryReleaseBound that a lease lasts. The rest
	// is for a renewal that is on its way as its attempt ends.
	leaseFraction = 0.75
	// balancerUpdateDelay is how long the load balancer may keep sending connections
	// after the host reports that it is not ready.
	balancerUpdateDelay = 2600 * time.Millisecond
	// exitMargin is how long before the end of the grace period the drain must end, and
	// answerMargin how long before that the requests still in progress get their answer.
	exitMargin   = 400 * time.Millisecond
	answerMargin = 300 * time.Millisecond
	// maxOperatorConns is the limit on the connections of the load balancer's probe and of
	// those who read metrics, each.
	maxOperatorConns = 64
	// drainPollInterval is how often a drain checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
)

// Transport sends requests to targets. It also closes idle connections to
// targets that no longer accept new requests.
type Transport interface {
	relay.Transport
	sweep.ReservationClient
	// Retain closes the idle connections to targets for which usable returns false.
	Retain(usable func(catalog.TargetKey) bool)
}

// Adapter holds the platform-specific parts of a host.
type Adapter struct {
	Source    follow.Source
	Transport Transport
	// Memory is the budget of what the host and the adapter hold for others.
	Memory *membudget.Budget
	// NewHandler returns the handler of callers' requests. While draining reports
	// true, callers are told to close their connections.
	NewHandler func(r *relay.Relay, draining func() bool) http.Handler
	// ReadyPath is the path of the load balancer's readiness probe, and
	// NewReadyHandler returns the handler that answers it.
	ReadyPath       string
	NewReadyHandler func(ready func() bool) http.HandlerFunc
}

// Host accepts callers' requests and relays them to targets. It is safe for
// concurrent use.
type Host struct {
	settings  Settings
	adapter   Adapter
	log       *zap.Logger
	follower  *follow.Follower
	placer    *placement.Placer
	relay     *relay.Relay
	peers     *peers.Service
	sweeper   *sweep.ReservationSweeper
	forward   *forwarding
	metrics   *metrics
	draining  atomic.Bool
	started   atomic.Bool
	drainOnce sync.Once
	done      chan struct{}
	cancel    context.CancelFunc

	callerServer, readyServer, metricsServer *httpserver.Server
}

// fleet is what this host knows of the other hosts and their requests.
type fleet struct {
	*placement.Placer
	*peers.Service
}

// New returns a host. Call Start to serve requests.
func New(settings Settings, adapter Adapter, log *zap.Logger) (*Host, error) {
	h := &Host{settings: settings, adapter: adapter, log: log, placer: placement.NewPlacer(time.Now, rand.Uint64()), done: make(chan struct{})}
	var err error
	if h.forward, err = newForwarding(settings, adapter.Memory, log); err != nil {
		return nil, err
	}
	h.peers = peers.New(peers.Config{
		HostID: settings.HostID, Domain: settings.Domain, Addr: settings.PeersAddr, ForwardAddr: settings.ForwardAddr,
		Seeds: settings.Seeds, OnHosts: h.forward.setHosts, Placer: h.placer, Memory: adapter.Memory, Log: log,
	})
	h.placer.SetObserver(h.peers)
	h.sweeper = sweep.NewReservationSweeper(settings.HostID, adapter.Transport, fleet{h.placer, h.peers}, log)
	if settings.expectsPeers() {
		h.placer.ExpectPeers()
	}
	budget := newRetryBudget(settings, h.peers, rand.Float64)
	h.follower = follow.New(follow.NewSharedSource(adapter.Source, h.peers, settings.ApplyWithin, log), log)
	h.follower.OnChanged(h.dropRemovedTargets)
	h.metrics = newMetrics(h.follower, h.placer)
	h.relay = relay.New(relay.Config{
		Views:       h.follower,
		Placer:      h.placer,
		Transport:   adapter.Transport,
		RetryBudget: budget,
		Observer:    h.metrics,
		Peers:       h.peers,
		Forwarder:   h.forward.relayForwarder(),
		Log:         log,
		Memory:      adapter.Memory,
		Settings:    relaySettings(settings),
		HostID:      settings.HostID,
		Regions:     settings.Regions,

		MinContendedObjective: settings.MinContendedObjective,
	})
	h.metrics.observeQuarantine(h.relay)
	h.metrics.observeMemory(adapter.Memory)
	h.metrics.observeRetryBudget(budget)
	h.peers.Attach(h.relay, h.follower)
	return h, h.newServers()
}

func relaySettings(s Settings) relay.Settings {
	out := relay.Settings{
		ReservationLease:   min(s.MaxReservationLease, time.Duration(leaseFraction*float64(s.MemoryReleaseBound))),
		MaxIdleReservation: time.Duration(idleReservationFraction * float64(s.MaxIdleReservation)),
	}
	if s.RevokeWithin > 0 {
		out.MaxViewAge = s.RevokeWithin - revocationMargin
	}
	return out
}

func (h *Host) newServers() error {
	var err error
	callers := httpserver.Limits{MaxConns: h.settings.maxCallerConns(), Memory: h.adapter.Memory}
	if h.callerServer, err = httpserver.New("callers", h.settings.CallersAddr, callers); err != nil {
		return err
	}
	h.metrics.observeConnections(h.callerServer)
	h.callerServer.HandlePrefix("/", h.adapter.NewHandler(h.relay, h.draining.Load))
	operators := httpserver.Limits{MaxConns: maxOperatorConns, Memory: h.adapter.Memory}
	if h.readyServer, err = httpserver.New("ready", h.settings.ReadyAddr, operators); err != nil {
		return err
	}
	h.readyServer.Handle(http.MethodGet, h.adapter.ReadyPath, h.adapter.NewReadyHandler(h.Ready))
	if !h.settings.MetricsAddr.IsValid() {
		return nil
	}
	if h.metricsServer, err = httpserver.New("metrics", h.settings.MetricsAddr, operators); err != nil {
		return err
	}
	h.metricsServer.Handle(http.MethodGet, "/metrics", h.metrics.handler().ServeHTTP)
	return nil
}

// Start begins to watch the store, connects to peers and opens the listeners.
func (h *Host) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.applyMemory(h.settings)
	go h.follower.Run(ctx)
	go h.sweeper.Run(ctx)
	if h.settings.PeersAddr.IsValid() {
		if err := h.peers.Start(ctx); err != nil {
			cancel()
			return err
		}
	}
	if err := h.forward.start(ctx, h.relay, h.draining.Load); err != nil {
		cancel()
		return err
	}
	for _, srv := range []*httpserver.Server{h.readyServer, h.callerServer, h.metricsServer} {
		if srv == nil {
			continue
		}
		if err := srv.Start(); err != nil {
			cancel()
			return err
		}
	}
	h.started.Store(true)
	h.log.Info("started", zap.String("host", h.settings.HostID), zap.String("domain", h.settings.Domain),
		zap.Stringer("callers", h.settings.CallersAddr), zap.Stringer("store", h.settings.StoreAddr))
	return nil
}

// Ready reports whether the load balancer should send requests to this host.
func (h *Host) Ready() bool {
	if !h.started.Load() || h.draining.Load() || h.follower.View().Config == nil {
		return false
	}
	bound := h.settings.RevokeWithin
	return bound == 0 || h.follower.Age() < bound-revocationMargin
}

// Reload applies the settings that can change while the host runs: the lease of
// memory reservations, how long keys are trusted without the store, and the memory.
func (h *Host) Reload(s Settings) {
	h.applyMemory(s)
	h.relay.SetSettings(relaySettings(s))
	h.log.Info("settings reloaded", zap.Duration("revoke_within", s.RevokeWithin), zap.Duration("grace", s.GracePeriod))
}

// Drain stops the host after its requests in progress, within the grace period.
// Further calls have no effect.
func (h *Host) Drain(reason string) {
	h.drainOnce.Do(func() {
		h.draining.Store(true)
		h.log.Info("draining", zap.String("reason", reason), zap.Int("requests", h.relay.Active()))
		go h.shutdown(time.Now())
	})
}

// Done returns a channel that is closed when the host has drained.
func (h *Host) Done() <-chan struct{} { return h.done }

// shutdown waits for the load balancer to stop sending connections, refuses further
// requests that may take too long and waits for those in progress. Shortly before the end of the grace
// period the rest of them is told that the host ends.
func (h *Host) shutdown(drainStart time.Time) {
	defer close(h.done)
	deadline := drainStart.Add(h.settings.GracePeriod - exitMargin)
	time.Sleep(min(balancerUpdateDelay, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	lastAnswer := deadline.Add(-answerMargin)
	h.relay.EndAt(lastAnswer)
	answers := time.AfterFunc(time.Until(lastAnswer), h.answerActive)
	defer answers.Stop()
	if err := h.callerServer.Shutdown(ctx); err != nil {
		h.log.Warn("grace period ended with connections open", zap.Int("requests", h.relay.Active()), zap.Error(err))
	}
	for h.relay.Active() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	h.relay.WaitForReleases(ctx)
	h.cancel()
	h.log.Info("stopped", zap.Duration("took", time.Since(drainStart)))
}

// answerActive ends the requests that are still in progress at the end of the grace period.
func (h *Host) answerActive() {
	if active := h.relay.Active(); active > 0 {
		h.log.Warn("grace period ends with requests in progress", zap.Int("requests", active))
	}
	h.relay.CancelActive()
}

// dropRemovedTargets drops the idle connections and load data of targets that no
// longer accept new requests.
func (h *Host) dropRemovedTargets(view *follow.View) {
	h.adapter.Transport.Retain(view.Usable)
	h.placer.Retain(view.Usable)
}
