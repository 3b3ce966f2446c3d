package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/httpserver"
	"github.com/plantainrun/plantainrun/internal/peers"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/relay"
)

const (
	// revocationMargin is how long before the bound keys are no longer trusted.
	revocationMargin = 400 * time.Millisecond
	// leaseMargin is how much shorter than the bound reservations are held.
	leaseMargin = 500 * time.Millisecond
	// balancerUpdateDelay is how long the balancer may go on sending connections to
	// a host that says it is not ready.
	balancerUpdateDelay = 2600 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process exits.
	exitMargin = 400 * time.Millisecond
	// drainPollInterval is how often a drain looks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
)

// Transport reaches targets and forgets those that are gone.
type Transport interface {
	relay.Transport
	// Retain closes idle connections to targets that are not known.
	Retain(known func(catalog.TargetKey) bool)
}

// Adapter meets the platform.
type Adapter struct {
	Source    follow.Source
	Transport Transport
	// NewHandler returns the handler of callers' requests.
	NewHandler func(r *relay.Relay, draining func() bool) http.Handler
	// ReadyPath and Ready answer the balancer.
	ReadyPath       string
	NewReadyHandler func(ready func() bool) http.HandlerFunc
}

// Host is one entry host. It is safe for concurrent use.
type Host struct {
	settings  Settings
	adapter   Adapter
	log       *zap.Logger
	follower  *follow.Follower
	placer    *placement.Placer
	relay     *relay.Relay
	peers     *peers.Service
	metrics   *metrics
	draining  atomic.Bool
	started   atomic.Bool
	drainOnce sync.Once
	done      chan struct{}
	cancel    context.CancelFunc

	callerServer, readyServer, metricsServer *httpserver.Server
}

// New returns a host that is not started.
func New(settings Settings, adapter Adapter, log *zap.Logger) (*Host, error) {
	h := &Host{settings: settings, adapter: adapter, log: log, placer: placement.NewPlacer(time.Now, rand.Uint64()), done: make(chan struct{})}
	h.peers = peers.New(peers.Config{
		HostID: settings.HostID, Domain: settings.Domain, Addr: settings.PeersAddr, Seeds: settings.Seeds, Board: h.placer, Log: log,
	})
	h.placer.SetObserver(h.peers)
	budget, err := newRetryBudget(settings, h.peers.HostCount)
	if err != nil {
		return nil, eris.Wrap(err, "retry budget")
	}
	h.follower = follow.New(follow.NewSharedSource(adapter.Source, h.peers, settings.ApplyWithin, log), log)
	h.follower.OnChanged(h.dropRemovedTargets)
	h.metrics = newMetrics(h.follower)
	h.relay = relay.New(relay.Config{
		Knowledge: h.follower,
		Board:     h.placer,
		Transport: adapter.Transport,
		Budget:    budget,
		Observer:  h.metrics,
		Peers:     h.peers,
		Log:       log,
		Settings:  relaySettings(settings),
		Name:      settings.HostID,
	})
	h.peers.Attach(h.relay, h.follower)
	return h, h.newServers()
}

func relaySettings(s Settings) relay.Settings {
	out := relay.Settings{HoldReservation: min(s.MaxReservationLease, s.MemoryReleaseBound-leaseMargin)}
	if s.RevokeWithin > 0 {
		out.TrustKeys = s.RevokeWithin - revocationMargin
	}
	return out
}

func (h *Host) newServers() error {
	var err error
	if h.callerServer, err = httpserver.New("callers", h.settings.CallersAddr); err != nil {
		return err
	}
	h.callerServer.HandlePrefix("/", h.adapter.NewHandler(h.relay, h.draining.Load))
	if h.readyServer, err = httpserver.New("ready", h.settings.ReadyAddr); err != nil {
		return err
	}
	h.readyServer.Handle(http.MethodGet, h.adapter.ReadyPath, h.adapter.NewReadyHandler(h.Ready))
	if !h.settings.MetricsAddr.IsValid() {
		return nil
	}
	if h.metricsServer, err = httpserver.New("metrics", h.settings.MetricsAddr); err != nil {
		return err
	}
	h.metricsServer.Handle(http.MethodGet, "/metrics", h.metrics.handler().ServeHTTP)
	return nil
}

// Start follows the store and opens the listeners.
func (h *Host) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.follower.Run(ctx)
	if h.settings.PeersAddr.IsValid() {
		if err := h.peers.Start(ctx); err != nil {
			cancel()
			return err
		}
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

// Ready reports whether the balancer should send callers here.
func (h *Host) Ready() bool {
	if !h.started.Load() || h.draining.Load() || h.follower.View().Config == nil {
		return false
	}
	bound := h.settings.RevokeWithin
	return bound == 0 || h.follower.Age() < bound-revocationMargin
}

// Reload puts settings in force that may change while the host runs.
func (h *Host) Reload(s Settings) {
	h.relay.SetSettings(relaySettings(s))
	h.log.Info("settings reloaded", zap.Duration("revoke_within", s.RevokeWithin), zap.Duration("grace", s.GracePeriod))
}

// Drain lets the host finish its requests and end. Further calls change nothing.
func (h *Host) Drain(reason string) {
	h.drainOnce.Do(func() {
		h.draining.Store(true)
		h.log.Info("draining", zap.String("reason", reason), zap.Int("requests", h.relay.Active()))
		go h.shutdown(time.Now())
	})
}

// Done is closed when the host has drained.
func (h *Host) Done() <-chan struct{} { return h.done }

// shutdown waits until the balancer has noticed, and for the requests in progress.
func (h *Host) shutdown(drainStart time.Time) {
	defer close(h.done)
	deadline := drainStart.Add(h.settings.GracePeriod - exitMargin)
	time.Sleep(min(balancerUpdateDelay, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := h.callerServer.Shutdown(ctx); err != nil {
		h.log.Warn("requests cut off by the end of the grace period", zap.Int("requests", h.relay.Active()), zap.Error(err))
	}
	for h.relay.Active() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	h.relay.Wait(ctx)
	h.cancel()
	h.log.Info("stopped", zap.Duration("took", time.Since(drainStart)))
}

// dropRemovedTargets drops what is kept of targets that are gone.
func (h *Host) dropRemovedTargets(view *follow.View) {
	h.adapter.Transport.Retain(view.Usable)
	h.placer.Retain(view.Usable)
}
