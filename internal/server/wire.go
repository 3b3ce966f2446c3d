package server

import (
	"math"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/retry"
	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/coord/suspect"
	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/caller"
	"github.com/plantainrun/plantainrun/internal/completion"
	"github.com/plantainrun/plantainrun/internal/config"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/forward"
	"github.com/plantainrun/plantainrun/internal/httpserver"
	"github.com/plantainrun/plantainrun/internal/idempotent"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/metrics"
	"github.com/plantainrun/plantainrun/internal/once"
	"github.com/plantainrun/plantainrun/internal/operator"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/service"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	auditEntries  = 4096
	closedLedgers = 64
	closedBytes   = 128 << 20
	platformBurst = 16 // reads
	// settleMemory is how long a new host waits for peers that do not confirm
	// that they keep to their part of an engine's memory.
	settleMemory     = 15 * time.Second
	guessedTokenSize = 4.0 // bytes, before a model's own ratio is known
)

// buildEdges makes what other parts report to, and the mesh.
func (s *Server) buildEdges() error {
	s.metrics = metrics.New()
	s.refusals = newRefusals(s.metrics)
	s.trail = audit.New(auditEntries)
	cfg := mesh.Config{
		Self: s.self, Domain: s.settings.Host.Domain, Partner: s.settings.Host.Partner,
		Listen: s.addrs.Peers, Logger: s.log,
	}
	if !s.settings.Peer.Plaintext {
		pem, err := mesh.LoadCredentials(s.settings.Peer.CAFile, s.settings.Peer.CertFile, s.settings.Peer.KeyFile)
		if err != nil {
			return err
		}
		if cfg.TLS, err = mesh.NewTLSConfig(pem); err != nil {
			return err
		}
	}
	var err error
	s.mesh, err = mesh.New(cfg)
	return err
}

// buildKnowledge makes the client of the platform and what the host knows.
func (s *Server) buildKnowledge() error {
	if err := enoughReads(s.settings.Platform); err != nil {
		return err
	}
	client := confservice.NewClient(confservice.Config{
		Address:        "http://" + s.addrs.Platform.String(),
		ReadsPerSecond: s.settings.Platform.ReadsPerSecond,
		ReadBurst:      platformBurst,
	})
	s.fleet = newFleet(s.settings.Host, s.clk)
	s.registerCounters(client)
	links := knowledge.NewMeshTransport(s.mesh, seeds(s.addrs.Seeds))
	var err error
	s.knowledge, err = knowledge.New(knowledge.Config{
		Host: s.self.Host, Domain: s.settings.Host.Domain, Partners: s.settings.Platform.Partners(),
		Source: client, Audit: s.trail, Log: s.log, StartupTimeout: s.settings.Platform.InitialSyncTimeout,
		Alive: s.fleet.alive, Transport: links,
	})
	if err != nil {
		return err
	}
	links.Serve(s.knowledge)
	return nil
}

// enoughReads checks that a reader's waiting watches leave as many calls again
// for the values that change.
func enoughReads(p config.Platform) error {
	const listsAndPlan = 3 // keys besides the partners' rules
	watches := float64(len(p.Partners())+listsAndPlan) / knowledge.DefaultWatchTimeout.Seconds()
	if p.ReadsPerSecond < 2*watches {
		return eris.Errorf("--platform-reads: %.1f a second are too few, a reader's watches alone need %.1f; give %.0f or more",
			p.ReadsPerSecond, watches, math.Ceil(2*watches))
	}
	return nil
}

func seeds(settings []config.Seed) []topology.Host {
	hosts := make([]topology.Host, 0, len(settings))
	for _, seed := range settings {
		hosts = append(hosts, topology.Host{ID: seed.Host, State: topology.StateLive, PeerAddr: seed.Addr})
	}
	return hosts
}

// buildDecisions makes the scheduler and its sources.
func (s *Server) buildDecisions() error {
	s.estimator = cost.NewEstimator()
	s.scheduler = schedule.New(schedule.Config{
		Self: s.self.Host, Incarnation: s.self.String(), Domain: s.settings.Host.Domain,
		Clock: s.clk, Estimator: s.estimator, ShareIncreaseDelay: settleMemory, MissingHostTTL: retireHosts,
		OnDispatch:      func(d schedule.PeerDispatch) { s.hints.QueueDispatch(d) },
		SendLoanRequest: func(peer string, ask schedule.MemoryLoanRequest) { s.hints.RequestMemoryLoan(peer, ask) },
		SendLoanReturn:  func(peer, target string, id share.LoanID) { s.hints.ReturnMemoryLoan(peer, target, id) },
	})
	s.fleet.loads = s.scheduler.DomainLoads
	tracking := suspect.DefaultConfig()
	tracking.Announce = s.announce
	s.tracker = suspect.New(s.clk, tracking)
	s.engines = engine.New(engine.Options{})
	s.limits = newLimits(s.self, s.clk)
	s.poller = newPoller(s.engines, s.scheduler, s, s.clk)
	return nil
}

// buildCalls makes the execution of service calls.
func (s *Server) buildCalls() error {
	budget, err := retry.New(retry.DefaultConfig())
	if err != nil {
		return err
	}
	svc := service.New(service.DefaultConfig())
	cfg := once.DefaultOwnerConfig()
	cfg.TicketLifetime = s.settings.Limits.TicketLifetime
	cfg.Ledger.MaxEntries = s.settings.Limits.MaxLedgerEntries
	cfg.Ledger.MaxBytes = int(s.settings.Limits.MaxLedgerBytes)
	s.owner, err = once.NewOwner(s.self, s.clk, cfg, s.fleet, svc, budget)
	if err != nil {
		return err
	}
	s.closed = ledger.NewClosedStore(s.clk, closedLedgers, closedBytes)
	s.ledgers = forward.NewClosedLedgers(s.mesh, s.closed, s.fleet)
	forward.ServeCalls(s.mesh, s.owner)
	router := once.NewRouter(s.owner, s.ledgers, forward.NewCallForwarder(s.mesh, s.fleet))
	calls := &serviceCalls{router: router, repeat: idempotent.New(s.fleet, svc, budget), rules: s}
	runner := &completion.LocalRunner{
		Estimator: estimate{s.estimator}, Scheduler: s.scheduler, Engines: &engines{client: s.engines, self: s.self, incarnation: s.poller.incarnation, leaving: s.engineLeaving},
		Suspects: &suspects{tracker: s.tracker, incarnation: s.poller.incarnation}, Limiter: s.limits, Retries: budget, Observer: s.metrics, Clock: s.clk,
	}
	prompts := forward.NewPromptForwarder(s.mesh, s.fleet, estimate{s.estimator})
	runner.Overflow = prompts
	runner.Arbiter = &arbiter{fleet: s.fleet, prompts: prompts}
	forward.ServePrompts(s.mesh, runner, s)
	return s.buildCallers(runner, calls)
}

func (s *Server) buildCallers(runner completion.Runner, calls caller.Services) error {
	var err error
	s.callers, err = httpserver.New("callers", s.addrs.Callers)
	if err != nil {
		return err
	}
	handler := &caller.Handler{
		Rules: s, Runner: runner, Services: calls, Observer: s.refusals, Clock: s.clk,
		Limits: caller.Limits{
			BodyBytes: s.settings.Limits.MaxBodyBytes, TimeLimit: s.settings.Limits.DefaultTimeLimit,
			MaxTimeLimit: s.settings.Limits.MaxTimeLimit, OutputTokens: s.settings.Limits.MaxOutputTokens,
			BytesPerToken: guessedTokenSize,
		},
		NewID: uuid.NewString,
	}
	handler.Register(s.callers)
	return nil
}

// buildInterfaces makes the operators' listener.
func (s *Server) buildInterfaces() error {
	var err error
	s.operators, err = httpserver.New("operators", s.addrs.Operators)
	if err != nil {
		return err
	}
	operator.New(s.settings.Operator.Key, s, s, s.metrics.Handler()).Register(s.operators)
	return nil
}

// learned passes what is in force to the parts that act on it.
func (s *Server) learned(snap knowledge.Snapshot) {
	s.fleet.set(snap)
	s.scheduler.SetTargets(snap.Targets.Targets)
	s.scheduler.SetRules(ruleSets(snap.Rules))
	s.limits.setRules(snap.Rules)
	s.setSharers()
	s.log.Debug("knowledge changed", zap.Time("at", time.Now()))
}
