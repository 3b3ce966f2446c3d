// Package hints carries what hosts tell each other to decide better: work they
// gave to targets, the load of their failure domain, loans of shares, and
// requests that are suspected of crashing targets. Everything here is safe
// when it is late or lost.
//
// Hints to one host are sent in batches. The rate of batches and the number of
// dispatches in one are bounded, the largest prompts first, so that the bytes
// per second do not grow with the load.
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

// Bounds of what is sent.
const (
	batchInterval = 100 * time.Millisecond
	maxDispatches = 8 // of one batch
	maxPending    = 256
	callTimeout   = 2 * time.Second
	keepRecent    = 2 * time.Second // dispatches that were not sent are dropped after this
)

// Mesh opens streams to other hosts and serves theirs.
type Mesh interface {
	Open(ctx context.Context, host, method string) (*mesh.Stream, error)
	Handle(method string, h mesh.Handler)
}

// Receiver acts on hints. Implementations are safe for concurrent use.
type Receiver interface {
	LearnDispatch(hint schedule.PeerDispatch)
	LearnDomainLoad(load schedule.DomainLoad)
	LendMemory(ask schedule.MemoryLoanRequest) (share.Loan, bool)
	BorrowMemory(loan share.Loan)
	MemoryReturned(target string, id share.LoanID)
	LendLimit(ask share.LoanRequest) (share.Loan, bool)
	BorrowLimit(loan share.Loan)
	// KeepsMemory tells whether this host counts so many sharers of the
	// target's memory and keeps to its part.
	KeepsMemory(target string, sharers int) bool
	MemoryKept(target, peer string, sharers int)
}

// Stats counts what was sent.
type Stats struct {
	Batches  uint64
	Failures uint64
	Dropped  uint64 // dispatches for which there was no room
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

// New returns Hints that answer peers from now on; Run makes them speak. peers
// lists the hosts that hear of dispatches.
func New(m Mesh, receiver Receiver, suspects SuspicionReceiver, peers func() []string) *Hints {
	h := &Hints{mesh: m, receiver: receiver, suspects: suspects, peers: peers, pending: make(map[string]*hintspb.Batch)}
	m.Handle(methodBatch, h.serveBatch)
	m.Handle(methodSuspicion, h.serveSuspicion)
	m.Handle(methodSuspicions, h.serveSuspicions)
	return h
}

// Stats returns the counters.
func (h *Hints) Stats() Stats {
	return Stats{Batches: h.batches.Load(), Failures: h.failures.Load(), Dropped: h.dropped.Load()}
}

// Dispatched queues a hint to the peers.
func (h *Hints) Dispatched(hint schedule.PeerDispatch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.recent) >= maxPending {
		h.dropped.Add(1)
		return
	}
	h.recent = append(h.recent, hint)
}

// AskMemory queues a request for a loan of engine memory.
func (h *Hints) AskMemory(host string, ask schedule.MemoryLoanRequest) {
	msg := askMessage(ask.LoanRequest)
	msg.RankPriority, msg.RankHost, msg.Tight = ask.Rank.Priority, ask.Rank.Host, ask.NeedsShortReserve
	h.queue(host, func(b *hintspb.Batch) { b.MemoryAsks = append(b.MemoryAsks, msg) })
}

// AskKeep queues the question whether a host keeps to its part of a target's memory.
func (h *Hints) AskKeep(host, target string, sharers int) {
	msg := &hintspb.Keep{Target: target, Sharers: int32(sharers)} //nolint:gosec // a number of hosts
	h.queue(host, func(b *hintspb.Batch) { b.Keeps = append(b.Keeps, msg) })
}

// AskLimit queues a request for a loan of a limit's share.
func (h *Hints) AskLimit(host string, ask share.LoanRequest) {
	h.queue(host, func(b *hintspb.Batch) { b.LimitAsks = append(b.LimitAsks, askMessage(ask)) })
}

// ReturnMemory queues the early return of a loan.
func (h *Hints) ReturnMemory(host, target string, id share.LoanID) {
	msg := &hintspb.Return{Target: target, Borrower: id.Borrower, Seq: id.Seq}
	h.queue(host, func(b *hintspb.Batch) { b.Returns = append(b.Returns, msg) })
}

// TellLoads queues the load of the own failure domain.
func (h *Hints) TellLoads(host string, loads []schedule.DomainLoad) {
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

// Run sends batches until ctx ends.
func (h *Hints) Run(ctx context.Context) {
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for host, batch := range h.take(now) {
				sending.Go(func() { h.send(ctx, host, batch) })
			}
		}
	}
}

// take returns the batches that are due, by host.
func (h *Hints) take(now time.Time) map[string]*hintspb.Batch {
	peers := h.peers()
	h.mu.Lock()
	defer h.mu.Unlock()
	batches := h.pending
	h.pending = make(map[string]*hintspb.Batch)
	dispatches := h.largest(now)
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

// largest returns the dispatches of the largest prompts. The caller holds mu.
func (h *Hints) largest(now time.Time) []*hintspb.Dispatch {
	slices.SortFunc(h.recent, func(a, b schedule.PeerDispatch) int { return b.PrefillTokens - a.PrefillTokens })
	if extra := len(h.recent) - maxDispatches; extra > 0 {
		h.dropped.Add(uint64(extra))
	}
	var out []*hintspb.Dispatch
	for _, d := range h.recent[:min(len(h.recent), maxDispatches)] {
		age := now.Sub(d.DispatchedAt)
		if age > keepRecent {
			continue
		}
		out = append(out, &hintspb.Dispatch{
			Target: d.Target, Id: d.ID, PromptTokens: int64(d.PrefillTokens), Priority: d.Priority, AgeMs: max(age.Milliseconds(), 0),
		})
	}
	return out
}

func (h *Hints) send(ctx context.Context, host string, batch *hintspb.Batch) {
	var reply hintspb.Reply
	h.batches.Add(1)
	if err := call(ctx, h.mesh, host, methodBatch, batch, &reply); err != nil {
		h.failures.Add(1)
		return
	}
	for _, l := range reply.GetMemoryLoans() {
		h.receiver.BorrowMemory(loanOf(l))
	}
	for _, l := range reply.GetLimitLoans() {
		h.receiver.BorrowLimit(loanOf(l))
	}
	for _, k := range reply.GetKept() {
		h.receiver.MemoryKept(k.GetTarget(), host, int(k.GetSharers()))
	}
}

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
		h.receiver.MemoryReturned(r.GetTarget(), share.LoanID{Borrower: r.GetBorrower(), Seq: r.GetSeq()})
	}
	return s.Send(h.lend(&batch))
}

// lend answers the questions of a batch.
func (h *Hints) lend(batch *hintspb.Batch) *hintspb.Reply {
	reply := &hintspb.Reply{}
	for _, a := range batch.GetMemoryAsks() {
		ask := schedule.MemoryLoanRequest{LoanRequest: askOf(a), Rank: schedule.Rank{Priority: a.GetRankPriority(), Host: a.GetRankHost()}, NeedsShortReserve: a.GetTight()}
		if loan, ok := h.receiver.LendMemory(ask); ok {
			reply.MemoryLoans = append(reply.MemoryLoans, loanMessage(loan))
		}
	}
	for _, a := range batch.GetLimitAsks() {
		if loan, ok := h.receiver.LendLimit(askOf(a)); ok {
			reply.LimitLoans = append(reply.LimitLoans, loanMessage(loan))
		}
	}
	for _, k := range batch.GetKeeps() {
		if h.receiver.KeepsMemory(k.GetTarget(), int(k.GetSharers())) {
			reply.Kept = append(reply.Kept, k)
		}
	}
	return reply
}

// call sends one request to host and reads its reply.
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
