// Package server assembles an entry host from its components: published values, the
// mesh of hosts, membership, scheduling, and the interfaces of callers and operators.
package server

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/coord/pause"
	"github.com/plantainrun/plantainrun/coord/suspect"
	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/config"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/forward"
	"github.com/plantainrun/plantainrun/internal/gossip"
	"github.com/plantainrun/plantainrun/internal/hints"
	"github.com/plantainrun/plantainrun/internal/httpserver"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/metrics"
	"github.com/plantainrun/plantainrun/internal/once"
	"github.com/plantainrun/plantainrun/internal/orders"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/sweep"
)

// handoverTimeout bounds the transfer of all closed ledgers during a drain.
const handoverTimeout = 15 * time.Second

// Server is one entry host. Its methods are safe for concurrent use.
type Server struct {
	settings config.Settings
	addrs    config.Addrs
	log      *zap.Logger
	clk      clock.Clock
	self     identity.Incarnation
	started  time.Time

	metrics           *metrics.Set
	errorCounts       *errorCounters
	auditTrail        *audit.Trail
	mesh              *mesh.Mesh
	knowledge         *knowledge.Replica
	fleet             *fleet
	estimator         *cost.Estimator
	scheduler         *schedule.Local
	engines           *engine.Client
	owner             *once.Owner
	closedStore       *ledger.ClosedStore
	ledgers           *forward.ClosedLedgers
	limits            *tokenLimits
	poller            *poller
	suspectTracker    *suspect.Tracker
	pauses            *pause.Detector
	gossip            *gossip.Gossip
	hints             *hints.Hints
	orders            *orders.Controller
	sweeper           *sweep.Sweeper
	callersListener   *httpserver.Server
	operatorsListener *httpserver.Server

	sharesConfirmed atomic.Bool
	background      sync.WaitGroup
	stop            context.CancelFunc

	drainOnce sync.Once
	draining  chan struct{}
	drained   chan struct{}
}

// New builds a host from validated settings. It starts nothing; call Start.
func New(settings config.Settings, addrs config.Addrs, log *zap.Logger) (*Server, error) {
	self, err := identity.New(settings.Host.ID)
	if err != nil {
		return nil, eris.Wrap(err, "cannot generate a start id for the host")
	}
	s := &Server{
		settings: settings, addrs: addrs, clk: clock.System{}, self: self,
		log:      log.With(zap.String("host", self.String())),
		draining: make(chan struct{}), drained: make(chan struct{}),
	}
	for _, build := range []func() error{s.buildObservabilityAndMesh, s.buildKnowledge, s.buildScheduling, s.buildMembership, s.buildRequestHandling, s.buildOperatorsListener} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Start opens the listeners and starts reading the published values. The host
// reports ready as soon as it has the values that it needs to serve.
func (s *Server) Start() error {
	s.started = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	if err := s.mesh.Start(ctx); err != nil {
		cancel()
		return err
	}
	s.knowledge.Subscribe(s.applySnapshot)
	s.runInBackground(func() { _ = s.knowledge.Run(ctx) })
	s.runInBackground(func() { s.poller.run(ctx) })
	s.runMembership(ctx)
	if err := s.operatorsListener.Start(); err != nil {
		cancel()
		return err
	}
	if err := s.callersListener.Start(); err != nil {
		cancel()
		return err
	}
	s.log.Info("started", zap.Stringer("callers", s.callersListener.Addr()), zap.Stringer("peers", s.mesh.Addr()),
		zap.Stringer("operators", s.operatorsListener.Addr()), zap.String("failure_domain", s.settings.Host.Domain))
	return nil
}

// runInBackground runs fn in a goroutine that a drain waits for.
func (s *Server) runInBackground(fn func()) {
	s.background.Go(fn)
}

// CallersAddr returns the listen address of the callers' interface after Start.
func (s *Server) CallersAddr() netip.AddrPort { return s.callersListener.Addr() }

// OperatorsAddr returns the listen address of the operators' interface after Start.
func (s *Server) OperatorsAddr() netip.AddrPort { return s.operatorsListener.Addr() }

// PeersAddr returns the listen address for other hosts after Start.
func (s *Server) PeersAddr() netip.AddrPort { return s.mesh.Addr() }

// Done returns a channel that is closed when a drain has ended.
func (s *Server) Done() <-chan struct{} { return s.drained }

// Drain starts a graceful shutdown: the host reports not ready, continues to accept
// requests until the load balancer must have noticed, finishes the requests in
// progress, hands over its ledger and stops. It reports whether this call started
// the shutdown.
func (s *Server) Drain(requestedBy string) bool {
	first := false
	s.drainOnce.Do(func() {
		first = true
		close(s.draining)
		s.log.Info("draining", zap.String("who", requestedBy))
		s.auditTrail.Record(audit.Entry{Time: s.clk.Now(), Subject: "host/" + s.self.Host, RequestedBy: []string{requestedBy}, Summary: "drain", Verdict: audit.VerdictInForce, Source: s.self.Host})
		go s.drain()
	})
	return first
}

func (s *Server) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// handOver transfers the host's closed ledger, and those that it holds for others, to
// other hosts. It has a timeout of its own, so that requests that used up the
// drain's time do not prevent the transfer.
func (s *Server) handOver(closed *ledger.Closed) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	holders := s.ledgers.Replicate(ctx, closed)
	s.log.Info("ledger handed over", zap.Int("tickets", closed.Len()), zap.Int("hosts", holders))
}

// drain performs the shutdown that Drain started. Peers learn that the host is leaving
// at its start, and that it is gone once its ledger has been handed over.
func (s *Server) drain() {
	defer close(s.drained)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Drain.BalancerWait+s.settings.Drain.Timeout)
	defer cancel()
	s.gossip.Announce(ctx, membership.Leaving)
	time.Sleep(s.settings.Drain.BalancerWait)
	if err := s.callersListener.Shutdown(ctx); err != nil {
		s.log.Error("requests were aborted at the end of the drain, raise --drain-timeout", zap.Error(err))
	}
	closed := s.owner.Drain(ctx)
	s.handOver(closed)
	s.gossip.Announce(ctx, membership.Gone)
	if err := s.mesh.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
		s.log.Error("forwarded requests were aborted at the end of the drain, raise --drain-timeout", zap.Error(err))
	}
	s.stop()
	s.engines.Close()
	s.background.Wait()
	if err := s.operatorsListener.Shutdown(ctx); err != nil {
		s.log.Error("operators' listener did not shut down cleanly", zap.Error(err))
	}
	s.log.Info("stopped")
}
