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
	membershipSyncInterval = 500 * time.Millisecond // between two looks at the members' states
	loadHintInterval       = time.Second            // between two hints on the own domain's load
	loanInterval           = 500 * time.Millisecond // between two looks at the limits
	shareConfirmInterval   = 250 * time.Millisecond // between two questions to the sharers of engines
	gossipTimeout          = 2 * time.Second
	maxSuspicionRounds     = 120 // of asking neighbours at the start
	minSuspicionPeers      = 2   // hosts whose answers suffice
	sweepInterval          = 20 * time.Second
	planConfirmationTTL    = time.Minute // how long a plan counts as confirmed
)

// buildMembers makes membership, hints, and what acts on targets between requests.
func (s *Server) buildMembership() error {
	s.pauses = pause.New(s.clk, pause.DefaultThreshold)
	s.gossip = gossip.New(gossip.Config{
		Self: s.self, Started: s.clk.Now(), Table: s.fleet.table,
		Transport: gossip.NewTransport(s.mesh, gossipTimeout), Logger: s.log,
	})
	s.fleet.publishEvents = s.gossip.Publish
	s.hints = hints.New(s.mesh, s, s.tracker, s.fleet.hintPeers)
	s.orders = orders.New(orders.Config{
		Host: s.self.Host, Engines: s.engines, Members: s.fleet.table, Snapshot: s.ordersSnapshot, Pauses: s.pauses,
	})
	s.sweeper = sweep.New(sweep.Options{
		Host: s.self.Host, Domain: s.settings.Host.Domain, Interval: sweepInterval, Clock: s.clk,
	}, s.engines, s.fleet)
	return nil
}

// runMembers runs what buildMembers made until ctx ends.
func (s *Server) runMembership(ctx context.Context) {
	s.run(func() { s.gossip.Run(ctx) })
	s.run(func() { s.hints.Run(ctx) })
	s.run(func() { s.orders.Run(ctx) })
	s.run(func() { s.sweeper.Run(ctx) })
	s.run(func() { s.pauses.Run(ctx, pause.DefaultInterval, s.onPause) })
	s.run(func() { runPeriodically(ctx, membershipSyncInterval, s.syncMembership) })
	s.run(func() { runPeriodically(ctx, loadHintInterval, s.sendLoadHints) })
	s.run(func() { runPeriodically(ctx, loanInterval, s.requestLimitLoans) })
	s.run(func() { runPeriodically(ctx, shareConfirmInterval, s.confirmShares) })
	s.run(func() { s.fetchSuspicions(ctx) })
}

func runPeriodically(ctx context.Context, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}

// paused acts on a pause of this process: connections may have been given up
// by their other ends.
func (s *Server) onPause(length time.Duration) {
	s.log.Warn("the process was paused", zap.Duration("length", length))
	s.mesh.ProbeConnections()
}

// known is what the orders to engines are made from.
func (s *Server) ordersSnapshot() orders.Snapshot {
	snap := s.knowledge.Snapshot()
	orderSnap := orders.Snapshot{
		Targets: snap.Targets.Targets, TargetsRevision: snap.TargetsRevision,
		Plan: snap.Plan, PlanRevision: snap.PlanRevision,
	}
	for _, age := range s.knowledge.Ages() {
		if age.Key == confservice.KeyPlan && age.Confirmed >= 0 && age.Confirmed < planConfirmationTTL {
			orderSnap.PlanConfirmedAt = s.clk.Now().Add(-age.Confirmed)
		}
	}
	return orderSnap
}

// syncTargets tells the scheduler which targets leave, whichever host saw it,
// and which hosts share the failure domain.
func (s *Server) syncMembership() {
	for _, t := range s.fleet.Engines(s.settings.Host.Domain) {
		if s.fleet.table.TargetState(t.ID) == membership.Leaving {
			s.scheduler.TargetLeaving(t.ID, "")
		}
	}
	s.updateSharers()
}

// setSharers tells which hosts share the engines' memory and the limits, and
// polls the engines that this host deals with.
func (s *Server) updateSharers() {
	s.scheduler.SetHosts(s.fleet.sharingHosts(s.fleet.inOwnDomain))
	anyHost := func(topology.Host) bool { return true }
	s.limits.setHosts(s.fleet.sharingHosts(anyHost))
	assigned := make(map[string]bool)
	for _, t := range s.scheduler.Snapshot().Targets {
		assigned[t.ID] = t.Sharers > 0
	}
	engines := s.fleet.Engines(s.settings.Host.Domain)
	s.poller.setTargets(slices.DeleteFunc(engines, func(t topology.Target) bool { return !assigned[t.ID] }))
}

// tellLoads tells a host of another failure domain how long requests wait here.
func (s *Server) sendLoadHints() {
	if host, ok := s.fleet.randomRemoteHost(); ok {
		s.hints.TellLoads(host, s.scheduler.OwnLoads(s.clk.Now()))
	}
	for _, host := range s.fleet.hintPeers() {
		s.hints.TellLoads(host, s.scheduler.DomainLoads())
	}
}

// borrow asks peers for shares of limits that run short here.
func (s *Server) requestLimitLoans() {
	s.limits.requestLoans(s.fleet.allLiveHosts(), s.hints.AskLimit)
}

// askKeeps asks the sharers of engines whose memory this host may not use yet.
func (s *Server) confirmShares() {
	for _, pending := range s.scheduler.PendingShares(s.clk.Now()) {
		for _, peer := range pending.Peers {
			s.hints.AskKeep(peer, pending.Target, pending.Sharers)
		}
	}
}

// learnSuspicions asks the hosts of the failure domain, when this process
// starts, for the requests that crash targets, until so many have answered.
func (s *Server) fetchSuspicions(ctx context.Context) {
	answered := make(map[string]bool)
	for range maxSuspicionRounds {
		for _, host := range s.fleet.hintPeers() {
			if !answered[host] && s.hints.LearnFrom(ctx, host) == nil {
				answered[host] = true
			}
			if len(answered) >= minSuspicionPeers {
				return
			}
		}
		if !sleepContext(ctx, shareConfirmInterval) {
			return
		}
	}
}

// announce tells the hosts of the failure domain of a suspicion.
func (s *Server) announceSuspicion(hint suspect.Hint) {
	s.hints.Announce(s.fleet.domainPeers(), hint)
}

// engineLeaving closes an engine that said that it leaves, and passes it on.
func (s *Server) onEngineLeaving(target topology.Target) {
	s.scheduler.TargetLeaving(target.ID, "")
	s.fleet.Leaving(target)
}

// reported implements targetObserver.
func (s *Server) targetReported(target, incarnation string, at time.Time, leaving bool) {
	s.gossip.Publish(s.fleet.table.ObserveTarget(target, incarnation, at, leaving))
}

// died implements targetObserver.
func (s *Server) targetDied(target, incarnation string) {
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

// BorrowMemory implements hints.Receiver.
func (s *Server) BorrowMemory(loan share.Loan) { s.scheduler.AcceptLoan(s.clk.Now(), loan) }

// MemoryReturned implements hints.Receiver.
func (s *Server) MemoryReturned(target string, id share.LoanID) {
	s.scheduler.LoanReturned(s.clk.Now(), target, id)
}

// KeepsMemory implements hints.Receiver.
func (s *Server) KeepsMemory(target string, sharers int) bool {
	return s.scheduler.WithinShare(s.clk.Now(), target, sharers)
}

// MemoryKept implements hints.Receiver.
func (s *Server) MemoryKept(target, peer string, sharers int) {
	s.scheduler.PeerConfirmed(s.clk.Now(), target, peer, sharers)
}

// LendLimit implements hints.Receiver.
func (s *Server) LendLimit(ask share.Ask) (share.Loan, bool) { return s.limits.lend(ask) }

// BorrowLimit implements hints.Receiver.
func (s *Server) BorrowLimit(loan share.Loan) { s.limits.acceptLoan(loan) }
