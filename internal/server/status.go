package server

import (
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/buildinfo"
	"github.com/plantainrun/plantainrun/internal/metrics"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/status"
)

// errorCounters counts error responses by kind for the status report, in addition
// to the metrics.
type errorCounters struct {
	*metrics.Set
	mu     sync.Mutex
	byKind map[apierror.Kind]int64
}

func newErrorCounters(set *metrics.Set) *errorCounters {
	return &errorCounters{Set: set, byKind: make(map[apierror.Kind]int64)}
}

// RecordError counts an error response in the metrics and for the status report.
func (r *errorCounters) RecordError(kind apierror.Kind) {
	r.Set.RecordError(kind)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKind[kind]++
}

func (r *errorCounters) counters() []status.RefusalCounter {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []status.RefusalCounter
	for _, kind := range apierror.Kinds() {
		if n := r.byKind[kind]; n > 0 {
			out = append(out, status.RefusalCounter{Kind: string(kind), Count: n})
		}
	}
	return out
}

// Ready returns nil if the host accepts requests, and otherwise the reason why not.
func (s *Server) Ready() error {
	if s.isDraining() {
		return apierror.NotRun(apierror.KindDraining, "use another host", "the host is leaving")
	}
	ready := s.knowledge.Ready()
	if !ready.Ready {
		return apierror.NotRun(apierror.KindNotReady, ready.NextAction, "%s", ready.Reason)
	}
	return s.checkSharesConfirmed()
}

// checkSharesConfirmed returns nil as soon as the hosts that share the engines' memory
// have confirmed that they keep to their shares, or shareIncreaseDelay is over, and this host has
// a share of the token limits. It returns nil from then on, because a later change leaves the host a share that it
// may use.
func (s *Server) checkSharesConfirmed() error {
	if s.sharesConfirmed.Load() {
		return nil
	}
	if pending := s.scheduler.PendingShares(s.clk.Now()); len(pending) > 0 {
		return apierror.NotRun(apierror.KindNotReady,
			"asks the hosts that share the engines, and serves without their answer after "+shareIncreaseDelay.String(),
			"%d engines' memory is not confirmed by the hosts that share it", len(pending))
	}
	if pending := s.limits.pending(); pending > 0 {
		return apierror.NotRun(apierror.KindNotReady,
			"waits until loans of an earlier process have ended, "+predecessorLoanTime.String()+" at most",
			"%d organisations' limits are not in effect", pending)
	}
	s.sharesConfirmed.Store(true)
	return nil
}

// Audit returns the matching entries of the audit trail.
func (s *Server) Audit(q audit.Query) []audit.Entry { return s.auditTrail.Find(q) }

// Status returns the status report of the host.
func (s *Server) Status() status.Status {
	ready := s.knowledge.Ready()
	st := status.Status{
		Host: s.self.Host, Incarnation: s.self.String(), Version: buildinfo.Version,
		Partner: s.settings.Host.Partner, FailureDomain: s.settings.Host.Domain,
		Draining:      s.isDraining(),
		UptimeSeconds: time.Since(s.started).Seconds(), PlatformReader: s.knowledge.Stats().Reader,
		Values: s.values(), Peers: s.peers(), Refusals: s.errorCounts.counters(), Tickets: s.tickets(),
	}
	if err := s.Ready(); err != nil {
		st.NotReadyReason = err.Error()
	} else {
		st.Ready = true
		st.DegradedReason = ready.Reason
	}
	for _, q := range s.suspectTracker.Quarantined() {
		st.Quarantined = append(st.Quarantined, status.Quarantine{Fingerprint: q.Fingerprint.String(), RemainingSeconds: q.Remaining.Seconds()})
	}
	snap := s.scheduler.Snapshot()
	for _, t := range snap.Targets {
		st.Targets = append(st.Targets, targetStatus(t))
	}
	for _, m := range snap.Models {
		for _, depth := range m.Queued {
			st.Queued += depth.Items
		}
	}
	return st
}

func targetStatus(t schedule.TargetSnapshot) status.Target {
	state := "up"
	switch {
	case t.Down:
		state = "down"
	case t.Leaving:
		state = "leaving"
	case !t.Usable:
		state = "silent"
	}
	wait := 0.0
	if t.PrefillRate > 0 {
		wait = t.Backlog / t.PrefillRate
	}
	return status.Target{
		ID: t.ID, Model: t.Model, State: state, Running: t.Running, PredictedWaitSeconds: wait,
		MemoryReservedTokens: t.Reserved, MemoryTotalTokens: t.Memory,
	}
}

func (s *Server) values() []status.Value {
	statuses := s.knowledge.KeyStatuses()
	out := make([]status.Value, 0, len(statuses))
	for _, keyStatus := range statuses {
		v := status.Value{Key: keyStatus.Key, Revision: keyStatus.Revision, AgeSeconds: keyStatus.ConfirmedAgo.Seconds()}
		if keyStatus.ConfirmedAgo < 0 {
			v.Problem = "the configuration service never confirmed it"
		}
		if keyStatus.RefusedRevision > 0 {
			v.Problem = "a later revision was refused, see the audit trail"
		}
		out = append(out, v)
	}
	return out
}

func (s *Server) peers() []status.Peer {
	peers := s.mesh.Peers()
	out := make([]status.Peer, 0, len(peers))
	for _, p := range peers {
		peer := status.Peer{Host: p.Host, State: string(p.State)}
		if !p.Incarnation.IsZero() {
			peer.Incarnation = p.Incarnation.String()
		}
		out = append(out, peer)
	}
	return out
}

func (s *Server) tickets() status.Tickets {
	stats := s.owner.Stats().Ledger
	closed, _ := s.closedStore.Usage()
	return status.Tickets{ClosedLedgers: closed, Held: int(stats.Entries), Capacity: s.settings.Limits.MaxLedgerEntries, Bytes: stats.Bytes}
}
