package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/share"
)

const (
	limit         = 1000.
	increaseDelay = 20 * time.Second
	maxTerm       = 10 * time.Second
	viewLag       = 9 * time.Second // viewLag plus maxTerm, extended for clock drift, is less than increaseDelay
)

// node is a simulated host with its own clock.
type node struct {
	allocation *share.Allocation
	offset     time.Duration
	rate       float64 // of its clock relative to true time
	member     bool
	loans      []share.Loan
}

// viewUpdate is a membership change that a node has not learned of yet.
type viewUpdate struct {
	node   int
	count  int
	member bool
	due    time.Duration
}

// message is a LoanRequest, a Loan or a loan return in transit.
type message struct {
	to       int
	from     int
	request  *share.LoanRequest
	loan     *share.Loan
	returned *share.LoanID
}

type simulation struct {
	now         time.Duration // true time
	nodes       []*node
	messages    []message
	viewUpdates []viewUpdate
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (sim *simulation) localTime(i int) time.Time {
	n := sim.nodes[i]
	return epoch.Add(n.offset + time.Duration(float64(sim.now)*n.rate))
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{}
	for i := range rapid.IntRange(2, 5).Draw(t, "nodes") {
		cfg := share.Config{Incarnation: fmt.Sprintf("host-%d@1", i), IncreaseDelay: increaseDelay, MaxTerm: maxTerm}
		sim.nodes = append(sim.nodes, &node{
			allocation: share.NewAllocation(cfg, "limit"),
			offset:     time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second,
			rate:       1 + float64(rapid.IntRange(-5, 5).Draw(t, "drift"))/1000,
		})
	}
	for i := range sim.nodes {
		sim.toggle(i)
	}
	sim.advance(2 * increaseDelay)
	return sim
}

// toggle makes a node join or leave. Each node learns of it within viewLag.
func (sim *simulation) toggle(i int) {
	sim.nodes[i].member = !sim.nodes[i].member
	count := 0
	for _, n := range sim.nodes {
		if n.member {
			count++
		}
	}
	for j, n := range sim.nodes {
		sim.viewUpdates = append(sim.viewUpdates, viewUpdate{node: j, count: count, member: n.member, due: sim.now + viewLag})
	}
}

func (sim *simulation) applyView(at int) {
	update := sim.viewUpdates[at]
	sim.viewUpdates = append(sim.viewUpdates[:at], sim.viewUpdates[at+1:]...)
	count := update.count
	if !update.member {
		count = 0
	}
	sim.nodes[update.node].allocation.SetLimit(sim.localTime(update.node), limit, count)
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for len(sim.viewUpdates) > 0 && sim.viewUpdates[0].due <= end {
		sim.now = max(sim.now, sim.viewUpdates[0].due)
		sim.applyView(0)
	}
	sim.now = end
}

func (sim *simulation) deliver(m message) {
	n, now := sim.nodes[m.to], sim.localTime(m.to)
	switch {
	case m.request != nil:
		if loan, ok := n.allocation.Lend(now, *m.request, limit); ok {
			sim.messages = append(sim.messages, message{to: m.from, from: m.to, loan: &loan})
		}
	case m.loan != nil:
		if n.allocation.AcceptLoan(now, *m.loan) {
			n.loans = append(n.loans, *m.loan)
		}
	default:
		n.allocation.LoanReturned(now, *m.returned)
	}
}

// deliverOne delivers one of the messages. It sometimes leaves the message in transit, so
// that it can be delivered again.
func (sim *simulation) deliverOne(t *rapid.T) {
	if len(sim.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.messages)-1).Draw(t, "message")
	m := sim.messages[i]
	if !rapid.Bool().Draw(t, "again") {
		sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
	}
	sim.deliver(m)
}

// The amounts available on all hosts together never exceed the limit, whichever messages
// are lost, delayed, duplicated or reordered and however the clocks differ.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		pickNode := func(what string) int { return rapid.IntRange(0, len(sim.nodes)-1).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond)
			},
			"toggle": func(*rapid.T) { sim.toggle(pickNode("node")) },
			"hear": func(t *rapid.T) {
				if len(sim.viewUpdates) > 0 {
					sim.applyView(0)
				}
			},
			"ask": func(t *rapid.T) {
				i, j := pickNode("borrower"), pickNode("lender")
				term := time.Duration(rapid.IntRange(5, 15).Draw(t, "term")) * time.Second
				req := sim.nodes[i].allocation.RequestLoan(sim.localTime(i), float64(rapid.IntRange(limit/5, limit).Draw(t, "amount")), term)
				if i != j {
					sim.messages = append(sim.messages, message{to: j, from: i, request: &req})
				}
			},
			"renew or return": func(t *rapid.T) {
				i, j := pickNode("borrower"), pickNode("lender")
				n := sim.nodes[i]
				if len(n.loans) == 0 || i == j {
					return
				}
				loan := n.loans[len(n.loans)-1]
				if rapid.Bool().Draw(t, "renew") {
					if req, ok := n.allocation.RenewLoan(sim.localTime(i), loan.ID, maxTerm); ok {
						sim.messages = append(sim.messages, message{to: j, from: i, request: &req})
					}
					return
				}
				if n.allocation.ReturnLoan(sim.localTime(i), loan.ID) {
					sim.messages = append(sim.messages, message{to: j, from: i, returned: &loan.ID})
				}
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "messages") {
					sim.deliverOne(t)
				}
			},
			"deliver again": func(t *rapid.T) { sim.deliverOne(t) },
			"": func(t *rapid.T) {
				sum := 0.
				for i, n := range sim.nodes {
					n.allocation.Advance(sim.localTime(i))
					sum += n.allocation.Available()
				}
				gomega.NewWithT(t).Expect(sum).To(gomega.BeNumerically("<=", limit+1e-6))
			},
		})
	})
}

// A lender with a fast clock reclaims a loan only after it has expired at a borrower with
// a slow clock.
func TestLoanExpiresAtBorrowerFirstDespiteClockDrift(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := share.Config{Incarnation: "host"}
	lender, borrower := share.NewAllocation(cfg, "k"), share.NewAllocation(cfg, "k")
	lender.SetLimit(epoch, limit, 1)
	loan, ok := lender.Lend(epoch, borrower.RequestLoan(epoch, limit, maxTerm), limit)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(borrower.AcceptLoan(epoch, loan)).To(gomega.BeTrue())
	for ms := range 12_000 {
		elapsed := float64(time.Duration(ms) * time.Millisecond)
		lender.Advance(epoch.Add(time.Duration(elapsed * 1.005)))
		borrower.Advance(epoch.Add(time.Duration(elapsed * 0.995)))
		g.Expect(lender.Available() + borrower.Available()).To(gomega.BeNumerically("<=", limit))
	}
	g.Expect(lender.Available()).To(gomega.Equal(limit))
}
