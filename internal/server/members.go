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
	membershipSyncInterval = 500 * time.Millisecond // between two updates of the scheduler from the membership states
	loadHintInterval       = time.Second            // between two rounds of load hints
	loanInterval           = 500 * time.Millisecond // between two rounds of loan requests
	shareConfirmInterval   = 250 * time.Millisecond // between two confirmation requests to the hosts that share engines
	gossipTimeout          = 2 * time.Second        // limit for serving one gossip request
	maxSuspicionRounds     = 120                    // rounds of fetching suspicions from peers at the start
	minSuspicionPeers      = 2                      // peers whose suspicions suffice
	sweepInterval          = 20 * time.Second       // between two sweeps of leaked engine memory
	planConfirmationTTL    = time.Minute            // maximum age of the confirmation of a plan
)

// buildMembership creates the components for membership, hints, orders to engines and
// the sweep of leaked engine memory.
func (s *Server) buildMembership() error {
	s.pauses = pause.New(s.clk, pause.DefaultThreshold)
	s.gossip = gossip.New(gossip.Config{
		Self: s.self, Started: s.clk.Now(), Table: s.fleet.table,
		Transport: gossip.NewTransport(s.mesh, gossipTimeout), Logger: s.log,
	})
	s.fleet.publishEvents = s.gossip.Publish
	s.hints = hints.New(s.mesh, s, s.suspectTracker, s.fleet.hintPeers)
	s.orders = orders.New(orders.Config{
		Host: s.self.Host, Engines: s.engines, Members: s.fleet.table, Snapshot: s.ordersSnapshot, PauseDetector: s.pauses,
	})
	s.sweeper = sweep.New(sweep.Options{
		Host: s.self.Host, Domain: s.settings.Host.Domain, Interval: sweepInterval, Clock: s.clk,
	}, s.engines, s.fleet)
	return nil
}

// runMembership runs the components of buildMembership and the periodic tasks until
// ctx ends.
func (s *Server) runMembership(ctx context.Context) {
	s.runInBackground(func() { s.gossip.Run(ctx) })
	s.runInBackground(func() { s.hints.Run(ctx) })
	s.runInBackground(func() { s.orders.Run(ctx) })
	s.runInBackground(func() { s.sweeper.Run(ctx) })
	s.runInBackground(func() { s.pauses.Run(ctx, pause.DefaultInterval, s.onPause) })
	s.runInBackground(func() { runPeriodically(ctx, membershipSyncInterval, s.syncMembership) })
	s.runInBackground(func() { runPeriodically(ctx, loadHintInterval, s.sendLoadHints) })
	s.runInBackground(func() { runPeriodically(ctx, loanInterval, s.requestLimitLoans) })
	s.runInBackground(func() { runPeriodically(ctx, shareConfirmInterval, s.requestShareConfirmations) })
	s.runInBackground(func() { s.fetchSuspicions(ctx) })
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

// onPause probes the connections to peers after a pause of this process, during
// which the peers may have closed them.
func (s *Server) onPause(length time.Duration) {
	s.log.Warn("the process was paused", zap.Duration("length", length))
	s.mesh.ProbeConnections()
}

// ordersSnapshot returns the targets and the plan from which orders to engines are
// derived.
func (s *Server) ordersSnapshot() orders.Snapshot {
	snap := s.knowledge.Snapshot()
	orderSnap := orders.Snapshot{
		Targets: snap.Targets.Targets, TargetsRevision: snap.TargetsRevision,
		Plan: snap.Plan, PlanRevision: snap.PlanRevision,
	}
	for _, keyStatus := range s.knowledge.KeyStatuses() {
		if keyStatus.Key == confservice.KeyPlan && keyStatus.ConfirmedAgo >= 0 && keyStatus.ConfirmedAgo < planConfirmationTTL {
			orderSnap.PlanConfirmedAt = s.clk.Now().Add(-keyStatus.ConfirmedAgo)
		}
	}
	return orderSnap
}

// syncMembership updates the scheduler with the targets that are leaving, as observed
// by all hosts, and with the hosts that share the failure domain.
func (s *Server) syncMembership() {
	for _, t := range s.fleet.Engines(s.settings.Host.Domain) {
		if s.fleet.table.TargetState(t.ID) == membership.Leaving {
			s.scheduler.TargetLeaving(t.ID, "")
		}
	}
	s.updateSharers()
}

// updateSharers updates which hosts share the engines' memory and the token limits,
// and restricts polling to the engines of which this host has a share.
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

// sendLoadHints sends the load of this host's failure domain to a random host of
// another one, and the load hints about other domains to peers in this one.
func (s *Server) sendLoadHints() {
	if host, ok := s.fleet.randomRemoteHost(); ok {
		s.hints.ReportDomainLoads(host, s.scheduler.OwnLoads(s.clk.Now()))
	}
	for _, host := range s.fleet.hintPeers() {
		s.hints.ReportDomainLoads(host, s.scheduler.DomainLoads())
	}
}

// requestLimitLoans requests loans from peers for the token limits of which this host's
// share is too small.
func (s *Server) requestLimitLoans() {
	s.limits.requestLoans(s.fleet.allLiveHosts(), s.hints.RequestLimitLoan)
}

// requestShareConfirmations asks the hosts that share an engine to confirm that they
// keep to their shares, for each engine whose memory this host may not fully use yet.
func (s *Server) requestShareConfirmations() {
	for _, pending := range s.scheduler.PendingShares(s.clk.Now()) {
		for _, peer := range pending.Peers {
			s.hints.RequestShareConfirmation(peer, pending.Target, pending.Sharers)
		}
	}
}

// fetchSuspicions runs when this process starts. It fetches the requests suspected of
// crashing targets from peers of the failure domain, until minSuspicionPeers have
// responded or maxSuspicionRounds are over.
func (s *Server) fetchSuspicions(ctx context.Context) {
	responded := make(map[string]bool)
	for range maxSuspicionRounds {
		for _, host := range s.fleet.hintPeers() {
			if !responded[host] && s.hints.FetchSuspicions(ctx, host) == nil {
				responded[host] = true
			}
			if len(responded) >= minSuspicionPeers {
				return
			}
		}
		if !sleepContext(ctx, shareConfirmInterval) {
			return
		}
	}
}

// announceSuspicion sends a suspicion to the other hosts of the failure domain.
func (s *Server) announceSuspicion(hint suspect.Hint) {
	s.hints.AnnounceSuspicion(s.fleet.domainPeers(), hint)
}

// onEngineLeaving stops sending new work to an engine that announced that it is leaving,
// and notifies the peers.
func (s *Server) onEngineLeaving(target topology.Target) {
	s.scheduler.TargetLeaving(target.ID, "")
	s.fleet.MarkLeaving(target)
}

// targetReported implements targetObserver. It passes the report to the membership
// table and to the peers.
func (s *Server) targetReported(target, incarnation string, at time.Time, leaving bool) {
	s.gossip.Publish(s.fleet.table.ObserveTarget(target, incarnation, at, leaving))
}

// targetDied implements targetObserver. It notifies the suspect tracker.
func (s *Server) targetDied(target, incarnation string) {
	s.suspectTracker.TargetDied(target, incarnation)
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
func (s *Server) LendMemory(req schedule.MemoryLoanRequest) (share.Loan, bool) {
	return s.scheduler.Lend(s.clk.Now(), req)
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
func (s *Server) LendLimit(req share.LoanRequest) (share.Loan, bool) { return s.limits.lend(req) }

// AcceptLimitLoan implements hints.Receiver.
func (s *Server) AcceptLimitLoan(loan share.Loan) { s.limits.acceptLoan(loan) }
