package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/share"
)

const (
	perSecond = 10_000.
	burst     = 5_000.
	tick      = 10 * time.Millisecond
	loanTerm  = 2 * time.Second
)

// fleet is hosts with one limit each that borrow from their peers.
type fleet struct {
	now      time.Time
	limiters []*share.Limiter
	cut      func(from, to int) bool
	// The oracle is one bucket for all: level is what it would still let through.
	level   float64
	through float64
}

func newFleet(hosts int) *fleet {
	f := &fleet{now: epoch, level: burst, cut: func(int, int) bool { return false }}
	for i := range hosts {
		cfg := share.Config{Incarnation: fmt.Sprintf("host-%d@1", i), MaxTerm: loanTerm}
		l := share.NewLimiter(cfg, "org", f.now)
		l.SetLimit(f.now, perSecond, burst, hosts)
		f.limiters = append(f.limiters, l)
	}
	return f
}

func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.level = min(burst, f.level+perSecond*d.Seconds())
}

func (f *fleet) allow(i, n int) bool {
	ok, _ := f.limiters[i].Allow(f.now, n)
	if ok {
		f.level -= float64(n)
		f.through += float64(n)
	}
	return ok
}

// borrow asks all peers that can be reached for what the host wants.
func (f *fleet) borrow(i int) {
	l := f.limiters[i]
	asks := l.RenewalRequests(f.now, loanTerm/2, loanTerm)
	for j, peer := range f.limiters {
		if j == i || f.cut(i, j) {
			continue
		}
		for _, ask := range asks {
			f.exchange(l, peer, ask)
		}
		if want := l.LoanNeeded(f.now); want > 0 {
			f.exchange(l, peer, l.RequestLoan(f.now, want, loanTerm))
		}
	}
}

func (f *fleet) exchange(borrower, lender *share.Limiter, ask share.LoanRequest) {
	if loan, ok := lender.Lend(f.now, ask); ok {
		borrower.AcceptLoan(f.now, loan)
	}
}

// Over any time, all hosts together let through no more than the limit and one
// burst, whichever links are cut.
func TestLimitersTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "hosts"))
		host := func() int { return rapid.IntRange(0, len(f.limiters)-1).Draw(t, "host") }
		var side int
		f.cut = func(from, to int) bool { return (side>>from)&1 != (side>>to)&1 }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { f.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
			"allow":   func(t *rapid.T) { f.allow(host(), rapid.IntRange(1, 3_000).Draw(t, "tokens")) },
			"drain": func(*rapid.T) {
				for i := range f.limiters {
					for f.allow(i, 400) {
					}
				}
			},
			"borrow": func(*rapid.T) { f.borrow(host()) },
			"cut":    func(t *rapid.T) { side = rapid.IntRange(0, 63).Draw(t, "side") },
			"": func(t *rapid.T) {
				gomega.NewWithT(t).Expect(f.level).To(gomega.BeNumerically(">=", -1e-3))
			},
		})
	})
}

// A single busy host gets most of the limit while its peers are idle.
func TestBusyHostBorrowsFromIdlePeers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(6)
	rng := rand.New(rand.NewPCG(1, 1))
	const length = 30 * time.Second
	for range length / tick {
		f.advance(tick)
		for f.allow(0, 20+rng.IntN(60)) {
		}
		f.borrow(0)
	}
	g.Expect(f.through / (perSecond * length.Seconds())).To(gomega.BeNumerically(">=", 0.8))
	g.Expect(f.through).To(gomega.BeNumerically("<=", perSecond*length.Seconds()+burst))
}

// A host that is cut off keeps its own share and no more.
func TestCutOffHostKeepsItsOwnShare(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(4)
	for range 10 {
		f.advance(tick)
		f.allow(0, 100)
		f.borrow(0)
	}
	f.cut = func(from, to int) bool { return from != to }
	f.advance(2 * loanTerm)
	for i, l := range f.limiters {
		f.borrow(i)
		g.Expect(l.Available(f.now)).To(gomega.Equal(perSecond / 4))
	}
}

// A loan that ended while the host was idle fills the bucket only up to its end.
func TestEndedLoanFillsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := share.Config{Incarnation: "host"}
	borrower, lender := share.NewLimiter(cfg, "org", epoch), share.NewLimiter(cfg, "org", epoch)
	for _, l := range []*share.Limiter{borrower, lender} {
		l.SetLimit(epoch, perSecond, 100*perSecond, 2)
	}
	loan, ok := lender.Lend(epoch, borrower.RequestLoan(epoch, 4_000, loanTerm))
	g.Expect(ok && borrower.AcceptLoan(epoch, loan)).To(gomega.BeTrue())
	const filled = 5_000*10 + 4_000*2 // tokens
	ok, _ = borrower.Allow(epoch.Add(10*time.Second), filled+1)
	g.Expect(ok).To(gomega.BeFalse())
	ok, _ = borrower.Allow(epoch.Add(10*time.Second), filled)
	g.Expect(ok).To(gomega.BeTrue())
}
