// Package server wires one entry host: what it knows, its links to other
// hosts, the decisions, and its interfaces towards callers and operators.
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

// handoverTimeout bounds the handing over of all closed ledgers.
const handoverTimeout = 15 * time.Second

// Server is one entry host. Its methods are safe for concurrent use.
type Server struct {
	settings config.Settings
	addrs    config.Addrs
	log      *zap.Logger
	clk      clock.Clock
	self     identity.Incarnation
	started  time.Time

	metrics   *metrics.Set
	refusals  *refusals
	trail     *audit.Trail
	mesh      *mesh.Mesh
	knowledge *knowledge.Replica
	fleet     *fleet
	estimator *cost.Estimator
	scheduler *schedule.Local
	engines   *engine.Client
	owner     *once.Owner
	closed    *ledger.ClosedStore
	ledgers   *forward.ClosedLedgers
	limits    *limits
	poller    *poller
	tracker   *suspect.Tracker
	pauses    *pause.Detector
	gossip    *gossip.Gossip
	hints     *hints.Hints
	orders    *orders.Controller
	sweeper   *sweep.Sweeper
	callers   *httpserver.Server
	operators *httpserver.Server

	wasSettled atomic.Bool
	background sync.WaitGroup
	stop       context.CancelFunc

	drainOnce sync.Once
	draining  chan struct{}
	drained   chan struct{}
}

// New builds a host from checked settings. Nothing runs before Start.
func New(settings config.Settings, addrs config.Addrs, log *zap.Logger) (*Server, error) {
	self, err := identity.New(settings.Host.ID)
	if err != nil {
		return nil, eris.Wrap(err, "no random start id")
	}
	s := &Server{
		settings: settings, addrs: addrs, clk: clock.System{}, self: self,
		log:      log.With(zap.String("host", self.String())),
		draining: make(chan struct{}), drained: make(chan struct{}),
	}
	for _, build := range []func() error{s.buildEdges, s.buildKnowledge, s.buildDecisions, s.buildMembers, s.buildCalls, s.buildInterfaces} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Start opens the listeners and begins to learn. The host reports ready once
// it knows enough to serve.
func (s *Server) Start() error {
	s.started = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	if err := s.mesh.Start(ctx); err != nil {
		cancel()
		return err
	}
	s.knowledge.Subscribe(s.learned)
	s.run(func() { _ = s.knowledge.Run(ctx) })
	s.run(func() { s.poller.run(ctx) })
	s.runMembers(ctx)
	if err := s.operators.Start(); err != nil {
		cancel()
		return err
	}
	if err := s.callers.Start(); err != nil {
		cancel()
		return err
	}
	s.log.Info("started", zap.Stringer("callers", s.callers.Addr()), zap.Stringer("peers", s.mesh.Addr()),
		zap.Stringer("operators", s.operators.Addr()), zap.String("failure_domain", s.settings.Host.Domain))
	return nil
}

func (s *Server) run(fn func()) {
	s.background.Go(fn)
}

// CallersAddr is the bound address for callers, after Start.
func (s *Server) CallersAddr() netip.AddrPort { return s.callers.Addr() }

// OperatorsAddr is the bound address for operators, after Start.
func (s *Server) OperatorsAddr() netip.AddrPort { return s.operators.Addr() }

// PeersAddr is the bound address for other hosts, after Start.
func (s *Server) PeersAddr() netip.AddrPort { return s.mesh.Addr() }

// Done is closed when a drain has ended.
func (s *Server) Done() <-chan struct{} { return s.drained }

// Drain starts a graceful shutdown: the host reports not ready, goes on until
// the balancer must have noticed, finishes every request in progress, hands
// its ledger over and stops. It reports whether this call started it.
func (s *Server) Drain(who string) bool {
	first := false
	s.drainOnce.Do(func() {
		first = true
		close(s.draining)
		s.log.Info("draining", zap.String("who", who))
		s.trail.Record(audit.Entry{Time: s.clk.Now(), Subject: "host/" + s.self.Host, Who: []string{who}, Summary: "drain", Verdict: audit.VerdictInForce, Source: s.self.Host})
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

// handOver gives the host's closed ledger, and those that it holds for others,
// to hosts that stay. Requests that used up the drain's time do not cost it its own.
func (s *Server) handOver(closed *ledger.Closed) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	holders := s.ledgers.Replicate(ctx, closed)
	s.log.Info("ledger handed over", zap.Int("tickets", closed.Len()), zap.Int("hosts", holders))
}

func (s *Server) drain() {
	defer close(s.drained)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Drain.BalancerWait+s.settings.Drain.Timeout)
	defer cancel()
	s.gossip.Announce(ctx, membership.Leaving)
	time.Sleep(s.settings.Drain.BalancerWait)
	if err := s.callers.Shutdown(ctx); err != nil {
		s.log.Error("requests were cut off, raise --drain-timeout", zap.Error(err))
	}
	closed := s.owner.Drain(ctx)
	s.handOver(closed)
	s.gossip.Announce(ctx, membership.Gone)
	if err := s.mesh.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
		s.log.Error("forwarded requests were cut off, raise --drain-timeout", zap.Error(err))
	}
	s.stop()
	s.engines.Close()
	s.background.Wait()
	if err := s.operators.Shutdown(ctx); err != nil {
		s.log.Error("operators' listener did not close", zap.Error(err))
	}
	s.log.Info("stopped")
}
