// Package hints exchanges advisory state between hosts that improves their
// decisions: work dispatched to targets, the load of failure domains, loans of
// shares, and requests suspected of crashing targets. Every hint is safe to
// delay or lose.
//
// Hints to one host are sent in batches. The rate of batches and the number of
// dispatches in one are bounded, and the largest prompts are sent first, so that
// the bandwidth does not grow with the load.
package hints

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/hints/hintspb"
	"github.com/plantainrun/plantainrun/internal/mesh"
	"github.com/plantainrun/plantainrun/internal/schedule"
)

const (
	methodBatch      = "hints/batch"
	methodSuspicion  = "hints/suspicion"
	methodSuspicions = "hints/suspicions"
)

// Limits of what is sent.
const (
	batchInterval       = 100 * time.Millisecond
	maxBatchDispatches  = 8   // in one batch
	maxRecentDispatches = 256 // queued dispatches between two batches
	callTimeout         = 2 * time.Second
	maxDispatchAge      = 2 * time.Second // older dispatches are not sent
)

// Mesh opens streams to other hosts and serves the streams that they open.
type Mesh interface {
	Open(ctx context.Context, host, method string) (*mesh.Stream, error)
	Handle(method string, h mesh.Handler)
}

// Receiver handles the hints that peers send. Implementations must be safe for
// concurrent use.
type Receiver interface {
	// LearnDispatch records that a peer dispatched a request.
	LearnDispatch(hint schedule.PeerDispatch)
	// LearnDomainLoad records a peer's report of the load of a failure domain.
	LearnDomainLoad(load schedule.DomainLoad)
	// LendMemory grants a peer's request for a loan of engine memory. It returns
	// false if nothing is lent.
	LendMemory(req schedule.MemoryLoanRequest) (share.Loan, bool)
	// AcceptMemoryLoan adds a loan of engine memory that a peer granted.
	AcceptMemoryLoan(loan share.Loan)
	// MemoryLoanReturned ends a loan of engine memory that its borrower returned.
	MemoryLoanReturned(target string, id share.LoanID)
	// LendLimit grants a peer's request for a loan from this host's share of a
	// rate limit. It returns false if nothing is lent.
	LendLimit(req share.LoanRequest) (share.Loan, bool)
	// AcceptLimitLoan adds a loan from a peer's share of a rate limit.
	AcceptLimitLoan(loan share.Loan)
	// WithinMemoryShare reports whether this host counts the same number of sharers
	// of the target's memory and uses no more than its own share.
	WithinMemoryShare(target string, sharers int) bool
	// MemoryShareConfirmed records that peer uses no more than its share of the
	// target's memory, which the given number of hosts divide among them.
	MemoryShareConfirmed(target, peer string, sharers int)
}

// Stats holds the counters of a Hints since its start.
type Stats struct {
	Batches  uint64 // batches sent, failed ones included
	Failures uint64 // calls that failed
	Dropped  uint64 // dispatches above the limit of the queue or of a batch
}

// Hints sends and receives hints. It is safe for concurrent use.
type Hints struct {
	mesh     Mesh
	receiver Receiver
	suspects SuspicionReceiver
	peers    func() []string

	batches, failures, dropped atomic.Uint64

	mu      sync.Mutex
	recent  []schedule.PeerDispatch
	pending map[string]*hintspb.Batch // by host
}

// New returns a Hints and registers its handlers, so that it serves peers at
// once. Run sends its own batches. The function peers returns the hosts that
// dispatches are sent to.
func New(m Mesh, receiver Receiver, suspects SuspicionReceiver, peers func() []string) *Hints {
	h := &Hints{mesh: m, receiver: receiver, suspects: suspects, peers: peers, pending: make(map[string]*hintspb.Batch)}
	m.Handle(methodBatch, h.serveBatch)
	m.Handle(methodSuspicion, h.serveSuspicion)
	m.Handle(methodSuspicions, h.serveSuspicions)
	return h
}

// Stats returns a snapshot of the counters.
func (h *Hints) Stats() Stats {
	return Stats{Batches: h.batches.Load(), Failures: h.failures.Load(), Dropped: h.dropped.Load()}
}

// QueueDispatch queues a dispatch for the next batch to the peers.
func (h *Hints) QueueDispatch(hint schedule.PeerDispatch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.recent) >= maxRecentDispatches {
		h.dropped.Add(1)
		return
	}
	h.recent = append(h.recent, hint)
}

// RequestMemoryLoan queues a request to host for a loan of engine memory.
func (h *Hints) RequestMemoryLoan(host string, req schedule.MemoryLoanRequest) {
	msg := encodeLoanRequest(req.LoanRequest)
	msg.RankPriority, msg.RankHost, msg.Tight = req.Rank.Priority, req.Rank.Host, req.NeedsShortReserve
	h.queue(host, func(b *hintspb.Batch) { b.MemoryAsks = append(b.MemoryAsks, msg) })
}

// RequestShareConfirmation asks host to confirm that it uses no more than its
// share of a target's memory, which the given number of sharers divide among them.
// The request is sent in the next batch.
func (h *Hints) RequestShareConfirmation(host, target string, sharers int) {
	msg := &hintspb.Keep{Target: target, Sharers: int32(sharers)} //nolint:gosec // a number of hosts
	h.queue(host, func(b *hintspb.Batch) { b.Keeps = append(b.Keeps, msg) })
}

// RequestLimitLoan queues a request to host for a loan from its share of a rate
// limit.
func (h *Hints) RequestLimitLoan(host string, req share.LoanRequest) {
	h.queue(host, func(b *hintspb.Batch) { b.LimitAsks = append(b.LimitAsks, encodeLoanRequest(req)) })
}

// ReturnMemoryLoan queues the early return of a loan of engine memory to host.
func (h *Hints) ReturnMemoryLoan(host, target string, id share.LoanID) {
	msg := &hintspb.Return{Target: target, Borrower: id.Borrower, Seq: id.Seq}
	h.queue(host, func(b *hintspb.Batch) { b.Returns = append(b.Returns, msg) })
}

// ReportDomainLoads queues the load of failure domains for host. It replaces a
// report that is still queued.
func (h *Hints) ReportDomainLoads(host string, loads []schedule.DomainLoad) {
	now := time.Now()
	h.queue(host, func(b *hintspb.Batch) {
		b.Loads = b.Loads[:0]
		for _, l := range loads {
			b.Loads = append(b.Loads, &hintspb.DomainLoad{
				Domain: l.Domain, Model: l.Model, WaitUs: l.Wait.Microseconds(), Usable: int32(l.UsableTargets), //nolint:gosec // a number of targets
				AgeMs: max(now.Sub(l.At).Milliseconds(), 0),
			})
		}
	})
}

// queue applies add to the pending batch of host.
func (h *Hints) queue(host string, add func(*hintspb.Batch)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.pending[host]
	if b == nil {
		b = &hintspb.Batch{}
		h.pending[host] = b
	}
	add(b)
}

// Run sends the queued batches every batchInterval until ctx ends, then waits for
// the calls in flight.
func (h *Hints) Run(ctx context.Context) {
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for host, batch := range h.takeBatches(now) {
				inFlight.Go(func() { h.send(ctx, host, batch) })
			}
		}
	}
}

// takeBatches removes and returns the queued batches, by host. It adds the recent
// dispatches to the batch of each peer.
func (h *Hints) takeBatches(now time.Time) map[string]*hintspb.Batch {
	peers := h.peers()
	h.mu.Lock()
	defer h.mu.Unlock()
	batches := h.pending
	h.pending = make(map[string]*hintspb.Batch)
	dispatches := h.largestDispatches(now)
	h.recent = h.recent[:0]
	if len(dispatches) == 0 {
		return batches
	}
	for _, host := range peers {
		if batches[host] == nil {
			batches[host] = &hintspb.Batch{}
		}
		batches[host].Dispatches = dispatches
	}
	return batches
}

// largestDispatches encodes the dispatches of the largest prompts, up to the limit
// of a batch. The caller holds mu.
func (h *Hints) largestDispatches(now time.Time) []*hintspb.Dispatch {
	slices.SortFunc(h.recent, func(a, b schedule.PeerDispatch) int { return b.PrefillTokens - a.PrefillTokens })
	if extra := len(h.recent) - maxBatchDispatches; extra > 0 {
		h.dropped.Add(uint64(extra))
	}
	var encoded []*hintspb.Dispatch
	for _, d := range h.recent[:min(len(h.recent), maxBatchDispatches)] {
		age := now.Sub(d.DispatchedAt)
		if age > maxDispatchAge {
			continue
		}
		encoded = append(encoded, &hintspb.Dispatch{
			Target: d.Target, Id: d.ID, PromptTokens: int64(d.PrefillTokens), Priority: d.Priority, AgeMs: max(age.Milliseconds(), 0),
		})
	}
	return encoded
}

// send sends a batch to host and applies the reply.
func (h *Hints) send(ctx context.Context, host string, batch *hintspb.Batch) {
	var reply hintspb.Reply
	h.batches.Add(1)
	if err := call(ctx, h.mesh, host, methodBatch, batch, &reply); err != nil {
		h.failures.Add(1)
		return
	}
	for _, l := range reply.GetMemoryLoans() {
		h.receiver.AcceptMemoryLoan(decodeLoan(l))
	}
	for _, l := range reply.GetLimitLoans() {
		h.receiver.AcceptLimitLoan(decodeLoan(l))
	}
	for _, k := range reply.GetKept() {
		h.receiver.MemoryShareConfirmed(k.GetTarget(), host, int(k.GetSharers()))
	}
}

// serveBatch applies the hints of a peer's batch. It converts their ages to times of
// the local clock, since the clocks of hosts may differ.
func (h *Hints) serveBatch(_ context.Context, s *mesh.Stream) error {
	var batch hintspb.Batch
	if err := s.Recv(&batch); err != nil {
		return err
	}
	now := time.Now()
	for _, d := range batch.GetDispatches() {
		h.receiver.LearnDispatch(schedule.PeerDispatch{
			Target: d.GetTarget(), ID: s.Peer().String() + "/" + d.GetId(), PrefillTokens: int(d.GetPromptTokens()),
			Priority: d.GetPriority(), DispatchedAt: now.Add(-time.Duration(max(d.GetAgeMs(), 0)) * time.Millisecond),
		})
	}
	for _, l := range batch.GetLoads() {
		h.receiver.LearnDomainLoad(schedule.DomainLoad{
			Domain: l.GetDomain(), Model: l.GetModel(), Wait: time.Duration(l.GetWaitUs()) * time.Microsecond, UsableTargets: int(l.GetUsable()),
			At: now.Add(-time.Duration(max(l.GetAgeMs(), 0)) * time.Millisecond),
		})
	}
	for _, r := range batch.GetReturns() {
		h.receiver.MemoryLoanReturned(r.GetTarget(), share.LoanID{Borrower: r.GetBorrower(), Seq: r.GetSeq()})
	}
	return s.Send(h.answerRequests(&batch))
}

// answerRequests grants the loans and confirms the shares that a batch requests.
func (h *Hints) answerRequests(batch *hintspb.Batch) *hintspb.Reply {
	reply := &hintspb.Reply{}
	for _, a := range batch.GetMemoryAsks() {
		req := schedule.MemoryLoanRequest{LoanRequest: decodeLoanRequest(a), Rank: schedule.Rank{Priority: a.GetRankPriority(), Host: a.GetRankHost()}, NeedsShortReserve: a.GetTight()}
		if loan, ok := h.receiver.LendMemory(req); ok {
			reply.MemoryLoans = append(reply.MemoryLoans, encodeLoan(loan))
		}
	}
	for _, a := range batch.GetLimitAsks() {
		if loan, ok := h.receiver.LendLimit(decodeLoanRequest(a)); ok {
			reply.LimitLoans = append(reply.LimitLoans, encodeLoan(loan))
		}
	}
	for _, k := range batch.GetKeeps() {
		if h.receiver.WithinMemoryShare(k.GetTarget(), int(k.GetSharers())) {
			reply.Kept = append(reply.Kept, k)
		}
	}
	return reply
}

// call sends one request to host and reads its reply within callTimeout.
func call(ctx context.Context, m Mesh, host, method string, request, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := m.Open(ctx, host, method)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	if err := s.Send(request); err != nil {
		return err
	}
	return s.Recv(reply)
}
