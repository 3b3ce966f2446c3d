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
	// revokeMargin is how long before the bound keys are no longer trusted.
	revokeMargin = 400 * time.Millisecond
	// lingerMargin is how much shorter than the bound reservations are held.
	lingerMargin = 500 * time.Millisecond
	// balancerNotice is how long the balancer may go on sending connections to
	// a host that says it is not ready.
	balancerNotice = 2600 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process exits.
	exitMargin = 400 * time.Millisecond
	// drainPoll is how often a drain looks for requests in progress.
	drainPoll = 20 * time.Millisecond
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
	// Callers returns the handler of callers' requests.
	Callers func(r *relay.Relay, draining func() bool) http.Handler
	// ReadyPath and Ready answer the balancer.
	ReadyPath string
	Ready     func(ready func() bool) http.HandlerFunc
}

// Host is one entry host. It is safe for concurrent use.
type Host struct {
	settings Settings
	adapter  Adapter
	log      *zap.Logger
	follower *follow.Follower
	board    *placement.Placer
	relay    *relay.Relay
	peers    *peers.Service
	metrics  *metrics
	draining atomic.Bool
	started  atomic.Bool
	drain    sync.Once
	done     chan struct{}
	cancel   context.CancelFunc

	callers, ready, counters *httpserver.Server
}

// New returns a host that is not started.
func New(settings Settings, adapter Adapter, log *zap.Logger) (*Host, error) {
	h := &Host{settings: settings, adapter: adapter, log: log, board: placement.NewPlacer(time.Now, rand.Uint64()), done: make(chan struct{})}
	h.peers = peers.New(peers.Config{
		HostID: settings.HostID, Domain: settings.Domain, Addr: settings.PeersAddr, Seeds: settings.Seeds, Board: h.board, Log: log,
	})
	h.board.SetObserver(h.peers)
	budget, err := newRetryBudget(settings, h.peers.HostCount)
	if err != nil {
		return nil, eris.Wrap(err, "retry budget")
	}
	h.follower = follow.New(follow.NewSharedSource(adapter.Source, h.peers, settings.ApplyWithin, log), log)
	h.follower.OnChanged(h.forgetTargets)
	h.metrics = newMetrics(h.follower)
	h.relay = relay.New(relay.Config{
		Views:       h.follower,
		Placer:      h.board,
		Transport:   adapter.Transport,
		RetryBudget: budget,
		Observer:    h.metrics,
		Peers:       h.peers,
		Log:         log,
		Settings:    relaySettings(settings),
		HostID:      settings.HostID,
	})
	h.peers.Attach(h.relay, h.follower)
	return h, h.listeners()
}

func relaySettings(s Settings) relay.Settings {
	out := relay.Settings{ReservationLease: min(s.MaxHold, s.MemoryLinger-lingerMargin)}
	if s.RevokeWithin > 0 {
		out.MaxViewAge = s.RevokeWithin - revokeMargin
	}
	return out
}

func (h *Host) listeners() error {
	var err error
	if h.callers, err = httpserver.New("callers", h.settings.CallersAddr); err != nil {
		return err
	}
	h.callers.HandlePrefix("/", h.adapter.Callers(h.relay, h.draining.Load))
	if h.ready, err = httpserver.New("ready", h.settings.ReadyAddr); err != nil {
		return err
	}
	h.ready.Handle(http.MethodGet, h.adapter.ReadyPath, h.adapter.Ready(h.Ready))
	if !h.settings.MetricsAddr.IsValid() {
		return nil
	}
	if h.counters, err = httpserver.New("metrics", h.settings.MetricsAddr); err != nil {
		return err
	}
	h.counters.Handle(http.MethodGet, "/metrics", h.metrics.handler().ServeHTTP)
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
	for _, srv := range []*httpserver.Server{h.ready, h.callers, h.counters} {
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
	return bound == 0 || h.follower.Age() < bound-revokeMargin
}

// Reload puts settings in force that may change while the host runs.
func (h *Host) Reload(s Settings) {
	h.relay.SetSettings(relaySettings(s))
	h.log.Info("settings reloaded", zap.Duration("revoke_within", s.RevokeWithin), zap.Duration("grace", s.GracePeriod))
}

// Drain lets the host finish its requests and end. Further calls change nothing.
func (h *Host) Drain(reason string) {
	h.drain.Do(func() {
		h.draining.Store(true)
		h.log.Info("draining", zap.String("reason", reason), zap.Int("requests", h.relay.Active()))
		go h.leave(time.Now())
	})
}

// Done is closed when the host has drained.
func (h *Host) Done() <-chan struct{} { return h.done }

// leave waits until the balancer has noticed, and for the requests in progress.
func (h *Host) leave(since time.Time) {
	defer close(h.done)
	end := since.Add(h.settings.GracePeriod - exitMargin)
	time.Sleep(min(balancerNotice, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.Warn("requests cut off by the end of the grace period", zap.Int("requests", h.relay.Active()), zap.Error(err))
	}
	for h.relay.Active() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	h.relay.WaitForReleases(ctx)
	h.cancel()
	h.log.Info("stopped", zap.Duration("took", time.Since(since)))
}

// forgetTargets drops what is kept of targets that are gone.
func (h *Host) forgetTargets(view *follow.View) {
	h.adapter.Transport.Retain(view.Usable)
	h.board.Retain(view.Usable)
}
