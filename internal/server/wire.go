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
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/metrics"
	"github.com/plantainrun/plantainrun/internal/once"
	"github.com/plantainrun/plantainrun/internal/operator"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/service"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	auditTrailCapacity   = 4096
	maxClosedLedgers     = 64
	maxClosedLedgerBytes = 128 << 20
	configReadBurst      = 16 // reads
	maxOperatorConns     = 64 // of operators and the balancer's probes
	// shareIncreaseDelay is how long a new host waits for peers to confirm that they
	// keep to their share of an engine's memory. After that it uses its full share
	// without their confirmation.
	shareIncreaseDelay   = 15 * time.Second
	defaultBytesPerToken = 4.0 // used to determine the class of a prompt
)

// buildObservabilityAndMesh creates the metrics, the audit trail and the mesh.
func (s *Server) buildObservabilityAndMesh() error {
	s.metrics = metrics.New()
	s.errorCounts = newErrorCounters(s.metrics)
	s.auditTrail = audit.New(auditTrailCapacity)
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

// buildKnowledge creates the client of the configuration service, the fleet and the
// store of published values.
func (s *Server) buildKnowledge() error {
	if err := checkReadRate(s.settings.Platform); err != nil {
		return err
	}
	client := confservice.NewClient(confservice.Config{
		Address:        "http://" + s.addrs.Platform.String(),
		ReadsPerSecond: s.settings.Platform.ReadsPerSecond,
		ReadBurst:      configReadBurst,
	})
	s.fleet = newFleet(s.settings.Host, s.clk)
	s.registerCounters(client)
	transport := knowledge.NewMeshTransport(s.mesh, seedHosts(s.addrs.Seeds))
	var err error
	s.knowledge, err = knowledge.New(knowledge.Config{
		Host: s.self.Host, Domain: s.settings.Host.Domain, Partners: s.settings.Platform.Partners(),
		Source: client, Audit: s.auditTrail, Log: s.log, StartupTimeout: s.settings.Platform.InitialSyncTimeout,
		Alive: s.fleet.maybeAlive, Transport: transport,
	})
	if err != nil {
		return err
	}
	transport.Serve(s.knowledge)
	return nil
}

// checkReadRate checks that the configured rate is at least twice the rate of a
// reader's watches. The other half is for reading values that change.
func checkReadRate(p config.Platform) error {
	const fixedKeys = 3 // the host list, the target list and the plan, besides the partners' rules
	watches := float64(len(p.Partners())+fixedKeys) / knowledge.DefaultWatchTimeout.Seconds()
	if p.ReadsPerSecond < 2*watches {
		return eris.Errorf("--platform-reads: %.1f a second are too few, a reader's watches alone need %.1f; give %.0f or more",
			p.ReadsPerSecond, watches, math.Ceil(2*watches))
	}
	return nil
}

func seedHosts(settings []config.Seed) []topology.Host {
	hosts := make([]topology.Host, 0, len(settings))
	for _, seed := range settings {
		hosts = append(hosts, topology.Host{ID: seed.Host, State: topology.StateLive, PeerAddr: seed.Addr})
	}
	return hosts
}

// buildScheduling creates the scheduler and the components that feed it: the
// estimator, the suspect tracker, the token limits and the engine poller.
func (s *Server) buildScheduling() error {
	s.estimator = cost.NewEstimator()
	s.scheduler = schedule.New(schedule.Config{
		Self: s.self.Host, Incarnation: s.self.String(), Domain: s.settings.Host.Domain,
		Clock: s.clk, Estimator: s.estimator, ShareIncreaseDelay: shareIncreaseDelay, MissingHostTTL: missingHostTTL,
		OnDispatch:      func(d schedule.PeerDispatch) { s.hints.QueueDispatch(d) },
		SendLoanRequest: func(peer string, req schedule.MemoryLoanRequest) { s.hints.RequestMemoryLoan(peer, req) },
		SendLoanReturn:  func(peer, target string, id share.LoanID) { s.hints.ReturnMemoryLoan(peer, target, id) },
	})
	s.fleet.domainLoads = s.scheduler.DomainLoads
	suspectConfig := suspect.DefaultConfig()
	suspectConfig.Announce = s.announceSuspicion
	s.suspectTracker = suspect.New(s.clk, suspectConfig)
	s.engines = engine.New(engine.Options{})
	s.limits = newLimits(s.self, s.clk)
	s.poller = newPoller(s.engines, s.scheduler, s, s.clk)
	return nil
}

// buildRequestHandling creates the components that run prompts and service calls,
// including those that peers forward, and the callers' listener.
func (s *Server) buildRequestHandling() error {
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
	s.closedStore = ledger.NewClosedStore(s.clk, maxClosedLedgers, maxClosedLedgerBytes)
	s.ledgers = forward.NewClosedLedgers(s.mesh, s.closedStore, s.fleet)
	forward.ServeCalls(s.mesh, s.owner)
	router := once.NewRouter(s.owner, s.ledgers, forward.NewCallForwarder(s.mesh, s.fleet))
	calls := &serviceCalls{router: router, repeatable: idempotent.New(s.fleet, svc, budget), rules: s}
	runner := &completion.LocalRunner{
		Estimator: estimatorAdapter{s.estimator}, Scheduler: s.scheduler, Engines: &engineAdapter{client: s.engines, self: s.self, incarnation: s.poller.incarnation, onLeaving: s.onEngineLeaving},
		Suspects: &suspectsAdapter{tracker: s.suspectTracker, incarnation: s.poller.incarnation}, Limiter: s.limits, Retries: budget, Observer: s.metrics, Clock: s.clk,
	}
	prompts := forward.NewPromptForwarder(s.mesh, s.fleet, estimatorAdapter{s.estimator})
	runner.Overflow = prompts
	runner.Arbiter = &arbiter{fleet: s.fleet, prompts: prompts}
	forward.ServePrompts(s.mesh, runner, s)
	return s.buildCallersListener(runner, calls)
}

func (s *Server) buildCallersListener(runner completion.Runner, calls caller.Services) error {
	var err error
	memory := membudget.New(s.settings.Limits.MaxHeldBytes)
	s.callersListener, err = httpserver.New("callers", s.addrs.Callers, httpserver.Limits{MaxConns: s.settings.Limits.MaxConnections, Memory: memory})
	if err != nil {
		return err
	}
	handler := &caller.Handler{
		Rules: s, Runner: runner, Services: calls, Observer: s.errorCounts, Clock: s.clk,
		Limits: caller.Limits{
			MaxBodyBytes: s.settings.Limits.MaxBodyBytes, DefaultTimeLimit: s.settings.Limits.DefaultTimeLimit,
			MaxTimeLimit: s.settings.Limits.MaxTimeLimit, MaxOutputTokens: s.settings.Limits.MaxOutputTokens,
			DefaultBytesPerToken: defaultBytesPerToken,
		},
		Memory: memory,
		NewID:  uuid.NewString,
	}
	handler.Register(s.callersListener)
	return nil
}

// buildOperatorsListener creates the operators' listener.
func (s *Server) buildOperatorsListener() error {
	var err error
	s.operatorsListener, err = httpserver.New("operators", s.addrs.Operators, httpserver.Limits{MaxConns: maxOperatorConns})
	if err != nil {
		return err
	}
	operator.New(s.settings.Operator.Key, s, s, s.metrics.Handler()).Register(s.operatorsListener)
	return nil
}

// applySnapshot passes the current published values to the components that use them.
func (s *Server) applySnapshot(snap knowledge.Snapshot) {
	s.fleet.setSnapshot(snap)
	s.scheduler.SetTargets(snap.Targets.Targets)
	s.scheduler.SetRules(ruleSets(snap.Rules))
	s.limits.setRules(snap.Rules)
	s.updateSharers()
	s.log.Debug("published values changed", zap.Time("at", time.Now()))
}
