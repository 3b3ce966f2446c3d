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
	limit   = 1000.
	settle  = 20 * time.Second
	maxTerm = 10 * time.Second
	viewLag = 9 * time.Second // with maxTerm and the drift less than settle
)

// node is a host with its own clock.
type node struct {
	split  *share.Allocation
	offset time.Duration
	rate   float64 // of its clock
	member bool
	loans  []share.Loan
}

// view is a change of membership on its way to a node.
type view struct {
	node   int
	count  int
	member bool
	due    time.Duration
}

// message is an Ask, a Loan or a return on its way.
type message struct {
	to       int
	from     int
	ask      *share.LoanRequest
	loan     *share.Loan
	returned *share.LoanID
}

type world struct {
	now      time.Duration // true time
	nodes    []*node
	messages []message
	views    []view
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *world) local(i int) time.Time {
	n := w.nodes[i]
	return epoch.Add(n.offset + time.Duration(float64(w.now)*n.rate))
}

func newWorld(t *rapid.T) *world {
	w := &world{}
	for i := range rapid.IntRange(2, 5).Draw(t, "nodes") {
		cfg := share.Config{Incarnation: fmt.Sprintf("host-%d@1", i), IncreaseDelay: settle, MaxTerm: maxTerm}
		w.nodes = append(w.nodes, &node{
			split:  share.NewAllocation(cfg, "limit"),
			offset: time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second,
			rate:   1 + float64(rapid.IntRange(-5, 5).Draw(t, "drift"))/1000,
		})
	}
	for i := range w.nodes {
		w.toggle(i)
	}
	w.advance(2 * settle)
	return w
}

// toggle lets a node join or leave. Each node hears of it within viewLag.
func (w *world) toggle(i int) {
	w.nodes[i].member = !w.nodes[i].member
	count := 0
	for _, n := range w.nodes {
		if n.member {
			count++
		}
	}
	for j, n := range w.nodes {
		w.views = append(w.views, view{node: j, count: count, member: n.member, due: w.now + viewLag})
	}
}

func (w *world) hear(at int) {
	v := w.views[at]
	w.views = append(w.views[:at], w.views[at+1:]...)
	count := v.count
	if !v.member {
		count = 0
	}
	w.nodes[v.node].split.SetLimit(w.local(v.node), limit, count)
}

func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.views) > 0 && w.views[0].due <= end {
		w.now = max(w.now, w.views[0].due)
		w.hear(0)
	}
	w.now = end
}

func (w *world) deliver(m message) {
	n, now := w.nodes[m.to], w.local(m.to)
	switch {
	case m.ask != nil:
		if loan, ok := n.split.Lend(now, *m.ask, limit); ok {
			w.messages = append(w.messages, message{to: m.from, from: m.to, loan: &loan})
		}
	case m.loan != nil:
		if n.split.AcceptLoan(now, *m.loan) {
			n.loans = append(n.loans, *m.loan)
		}
	default:
		n.split.LoanReturned(now, *m.returned)
	}
}

// deliverOne delivers one of the messages and sometimes keeps it to come again.
func (w *world) deliverOne(t *rapid.T) {
	if len(w.messages) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	m := w.messages[at]
	if !rapid.Bool().Draw(t, "again") {
		w.messages = append(w.messages[:at], w.messages[at+1:]...)
	}
	w.deliver(m)
}

// Whatever is lost, late, repeated or reordered, and however the clocks differ,
// all hosts together may never use more than the limit.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pick := func(what string) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond)
			},
			"toggle": func(*rapid.T) { w.toggle(pick("node")) },
			"hear": func(t *rapid.T) {
				if len(w.views) > 0 {
					w.hear(0)
				}
			},
			"ask": func(t *rapid.T) {
				i, j := pick("borrower"), pick("lender")
				term := time.Duration(rapid.IntRange(5, 15).Draw(t, "term")) * time.Second
				ask := w.nodes[i].split.RequestLoan(w.local(i), float64(rapid.IntRange(limit/5, limit).Draw(t, "amount")), term)
				if i != j {
					w.messages = append(w.messages, message{to: j, from: i, ask: &ask})
				}
			},
			"renew or return": func(t *rapid.T) {
				i, j := pick("borrower"), pick("lender")
				n := w.nodes[i]
				if len(n.loans) == 0 || i == j {
					return
				}
				loan := n.loans[len(n.loans)-1]
				if rapid.Bool().Draw(t, "renew") {
					if ask, ok := n.split.Renew(w.local(i), loan.ID, maxTerm); ok {
						w.messages = append(w.messages, message{to: j, from: i, ask: &ask})
					}
					return
				}
				if n.split.ReturnLoan(w.local(i), loan.ID) {
					w.messages = append(w.messages, message{to: j, from: i, returned: &loan.ID})
				}
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "messages") {
					w.deliverOne(t)
				}
			},
			"deliver again": func(t *rapid.T) { w.deliverOne(t) },
			"": func(t *rapid.T) {
				sum := 0.
				for i, n := range w.nodes {
					n.split.Advance(w.local(i))
					sum += n.split.Available()
				}
				gomega.NewWithT(t).Expect(sum).To(gomega.BeNumerically("<=", limit+1e-6))
			},
		})
	})
}

// A lender whose clock is fast takes a loan back after it has ended at a
// borrower whose clock is slow.
func TestLoanEndsAtTheBorrowerFirstDespiteDrift(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := share.Config{Incarnation: "host"}
	lender, borrower := share.NewAllocation(cfg, "k"), share.NewAllocation(cfg, "k")
	lender.SetLimit(epoch, limit, 1)
	loan, ok := lender.Lend(epoch, borrower.RequestLoan(epoch, limit, maxTerm), limit)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(borrower.AcceptLoan(epoch, loan)).To(gomega.BeTrue())
	for ms := range 12_000 {
		passed := float64(time.Duration(ms) * time.Millisecond)
		lender.Advance(epoch.Add(time.Duration(passed * 1.005)))
		borrower.Advance(epoch.Add(time.Duration(passed * 0.995)))
		g.Expect(lender.Available() + borrower.Available()).To(gomega.BeNumerically("<=", limit))
	}
	g.Expect(lender.Available()).To(gomega.Equal(limit))
}
