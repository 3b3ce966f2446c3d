package server

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/coord/membership"
	"github.com/plantainrun/plantainrun/coord/pause"
	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/coord/suspect"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/gossip"
	"github.com/plantainrun/plantainrun/internal/hints"
	"github.com/plantainrun/plantainrun/internal/orders"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/sweep"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	syncInterval   = 500 * time.Millisecond // between two looks at the members' states
	tellInterval   = time.Second            // between two hints on the own domain's load
	borrowInterval = 500 * time.Millisecond // between two looks at the limits
	keepInterval   = 250 * time.Millisecond // between two questions to the sharers of engines
	gossipTimeout  = 2 * time.Second
	learnRounds    = 120 // of asking neighbours at the start
	learnAnswers   = 2   // hosts whose answers suffice
	sweepInterval  = 20 * time.Second
	confirmedFor   = time.Minute // how long a plan counts as confirmed
)

// buildMembers makes membership, hints, and what acts on targets between requests.
func (s *Server) buildMembers() error {
	s.pauses = pause.New(s.clk, pause.DefaultThreshold)
	s.gossip = gossip.New(gossip.Config{
		Self: s.self, Started: s.clk.Now(), Table: s.fleet.table,
		Transport: gossip.NewTransport(s.mesh, gossipTimeout), Logger: s.log,
	})
	s.fleet.publish = s.gossip.Publish
	s.hints = hints.New(s.mesh, s, s.tracker, s.fleet.hintPeers)
	s.orders = orders.New(orders.Config{
		Host: s.self.Host, Engines: s.engines, Members: s.fleet.table, Snapshot: s.known, PauseDetector: s.pauses,
	})
	s.sweeper = sweep.New(sweep.Options{
		Host: s.self.Host, Domain: s.settings.Host.Domain, Interval: sweepInterval, Clock: s.clk,
	}, s.engines, s.fleet)
	return nil
}

// runMembers runs what buildMembers made until ctx ends.
func (s *Server) runMembers(ctx context.Context) {
	s.run(func() { s.gossip.Run(ctx) })
	s.run(func() { s.hints.Run(ctx) })
	s.run(func() { s.orders.Run(ctx) })
	s.run(func() { s.sweeper.Run(ctx) })
	s.run(func() { s.pauses.Run(ctx, pause.DefaultInterval, s.paused) })
	s.run(func() { every(ctx, syncInterval, s.syncTargets) })
	s.run(func() { every(ctx, tellInterval, s.tellLoads) })
	s.run(func() { every(ctx, borrowInterval, s.borrow) })
	s.run(func() { every(ctx, keepInterval, s.askKeeps) })
	s.run(func() { s.learnSuspicions(ctx) })
}

func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// paused acts on a pause of this process: connections may have been given up
// by their other ends.
func (s *Server) paused(length time.Duration) {
	s.log.Warn("the process was paused", zap.Duration("length", length))
	s.mesh.ProbeConnections()
}

// known is what the orders to engines are made from.
func (s *Server) known() orders.Snapshot {
	snap := s.knowledge.Snapshot()
	known := orders.Snapshot{
		Targets: snap.Targets.Targets, TargetsRevision: snap.TargetsRevision,
		Plan: snap.Plan, PlanRevision: snap.PlanRevision,
	}
	for _, age := range s.knowledge.KeyStatuses() {
		if age.Key == confservice.KeyPlan && age.ConfirmedAgo >= 0 && age.ConfirmedAgo < confirmedFor {
			known.PlanConfirmedAt = s.clk.Now().Add(-age.ConfirmedAgo)
		}
	}
	return known
}

// syncTargets tells the scheduler which targets leave, whichever host saw it,
// and which hosts share the failure domain.
func (s *Server) syncTargets() {
	for _, t := range s.fleet.Engines(s.settings.Host.Domain) {
		if s.fleet.table.TargetState(t.ID) == membership.Leaving {
			s.scheduler.TargetLeaving(t.ID, "")
		}
	}
	s.setSharers()
}

// setSharers tells which hosts share the engines' memory and the limits, and
// polls the engines that this host deals with.
func (s *Server) setSharers() {
	s.scheduler.SetHosts(s.fleet.sharers(s.fleet.inDomain))
	everywhere := func(topology.Host) bool { return true }
	s.limits.setHosts(s.fleet.sharers(everywhere))
	dealt := make(map[string]bool)
	for _, t := range s.scheduler.Snapshot().Targets {
		dealt[t.ID] = t.Sharers > 0
	}
	engines := s.fleet.Engines(s.settings.Host.Domain)
	s.poller.set(slices.DeleteFunc(engines, func(t topology.Target) bool { return !dealt[t.ID] }))
}

// tellLoads tells a host of another failure domain how long requests wait here.
func (s *Server) tellLoads() {
	if host, ok := s.fleet.abroad(); ok {
		s.hints.ReportDomainLoads(host, s.scheduler.OwnLoads(s.clk.Now()))
	}
	for _, host := range s.fleet.hintPeers() {
		s.hints.ReportDomainLoads(host, s.scheduler.DomainLoads())
	}
}

// borrow asks peers for shares of limits that run short here.
func (s *Server) borrow() {
	s.limits.borrow(s.fleet.liveHosts(), s.hints.RequestLimitLoan)
}

// askKeeps asks the sharers of engines whose memory this host may not use yet.
func (s *Server) askKeeps() {
	for _, u := range s.scheduler.PendingShares(s.clk.Now()) {
		for _, peer := range u.Peers {
			s.hints.RequestShareConfirmation(peer, u.Target, u.Sharers)
		}
	}
}

// learnSuspicions asks the hosts of the failure domain, when this process
// starts, for the requests that crash targets, until so many have answered.
func (s *Server) learnSuspicions(ctx context.Context) {
	answered := make(map[string]bool)
	for range learnRounds {
		for _, host := range s.fleet.hintPeers() {
			if !answered[host] && s.hints.FetchSuspicions(ctx, host) == nil {
				answered[host] = true
			}
			if len(answered) >= learnAnswers {
				return
			}
		}
		if !sleep(ctx, keepInterval) {
			return
		}
	}
}

// announce tells the hosts of the failure domain of a suspicion.
func (s *Server) announce(hint suspect.Hint) {
	s.hints.AnnounceSuspicion(s.fleet.neighbours(), hint)
}

// engineLeaving closes an engine that said that it leaves, and passes it on.
func (s *Server) engineLeaving(target topology.Target) {
	s.scheduler.TargetLeaving(target.ID, "")
	s.fleet.MarkLeaving(target)
}

// reported implements targetObserver.
func (s *Server) reported(target, incarnation string, at time.Time, leaving bool) {
	s.gossip.Publish(s.fleet.table.ObserveTarget(target, incarnation, at, leaving))
}

// died implements targetObserver.
func (s *Server) died(target, incarnation string) {
	s.tracker.TargetDied(target, incarnation)
}

// LearnDispatch implements hints.Receiver.
func (s *Server) LearnDispatch(hint schedule.PeerDispatch) {
	s.scheduler.LearnPeerDispatch(s.clk.Now(), hint)
}

// LearnDomainLoad implements hints.Receiver.
func (s *Server) LearnDomainLoad(load schedule.DomainLoad) {
	if load.Domain != s.settings.Host.Domain {
		s.scheduler.LearnDomainLoad(load)
	}
}

// LendMemory implements hints.Receiver.
func (s *Server) LendMemory(ask schedule.MemoryLoanRequest) (share.Loan, bool) {
	return s.scheduler.Lend(s.clk.Now(), ask)
}

// AcceptMemoryLoan implements hints.Receiver.
func (s *Server) AcceptMemoryLoan(loan share.Loan) { s.scheduler.AcceptLoan(s.clk.Now(), loan) }

// MemoryLoanReturned implements hints.Receiver.
func (s *Server) MemoryLoanReturned(target string, id share.LoanID) {
	s.scheduler.LoanReturned(s.clk.Now(), target, id)
}

// WithinMemoryShare implements hints.Receiver.
func (s *Server) WithinMemoryShare(target string, sharers int) bool {
	return s.scheduler.WithinShare(s.clk.Now(), target, sharers)
}

// MemoryShareConfirmed implements hints.Receiver.
func (s *Server) MemoryShareConfirmed(target, peer string, sharers int) {
	s.scheduler.PeerConfirmed(s.clk.Now(), target, peer, sharers)
}

// LendLimit implements hints.Receiver.
func (s *Server) LendLimit(ask share.LoanRequest) (share.Loan, bool) { return s.limits.lend(ask) }

// AcceptLimitLoan implements hints.Receiver.
func (s *Server) AcceptLimitLoan(loan share.Loan) { s.limits.accept(loan) }
