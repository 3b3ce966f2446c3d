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
	step      = 10 * time.Millisecond
	loanTerm  = 2 * time.Second
)

// fleet is a set of hosts that share a limit and borrow from each other.
type fleet struct {
	now         time.Time
	limiters    []*share.Limiter
	partitioned func(from, to int) bool
	// The oracle is one token bucket for all hosts; oracleTokens is the number of tokens left in it.
	oracleTokens float64
	admitted     float64
}

func newFleet(hosts int) *fleet {
	f := &fleet{now: epoch, oracleTokens: burst, partitioned: func(int, int) bool { return false }}
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
	f.oracleTokens = min(burst, f.oracleTokens+perSecond*d.Seconds())
}

func (f *fleet) allow(i, n int) bool {
	ok, _ := f.limiters[i].Allow(f.now, n)
	if ok {
		f.oracleTokens -= float64(n)
		f.admitted += float64(n)
	}
	return ok
}

// borrow sends the host's loan requests and renewals to all reachable peers.
func (f *fleet) borrow(i int) {
	l := f.limiters[i]
	renewals := l.RenewalRequests(f.now, loanTerm/2, loanTerm)
	for j, peer := range f.limiters {
		if j == i || f.partitioned(i, j) {
			continue
		}
		for _, req := range renewals {
			f.exchange(l, peer, req)
		}
		if needed := l.LoanNeeded(f.now); needed > 0 {
			f.exchange(l, peer, l.RequestLoan(f.now, needed, loanTerm))
		}
	}
}

func (f *fleet) exchange(borrower, lender *share.Limiter, req share.LoanRequest) {
	if loan, ok := lender.Lend(f.now, req); ok {
		borrower.AcceptLoan(f.now, loan)
	}
}

// Over any time, all hosts together admit at most limit*time plus one burst, whichever links
// are partitioned.
func TestLimitersStayWithinSharedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "hosts"))
		host := func() int { return rapid.IntRange(0, len(f.limiters)-1).Draw(t, "host") }
		var side int
		f.partitioned = func(from, to int) bool { return (side>>from)&1 != (side>>to)&1 }
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
				gomega.NewWithT(t).Expect(f.oracleTokens).To(gomega.BeNumerically(">=", -1e-3))
			},
		})
	})
}

// A single busy host borrows most of the limit while its peers are idle.
func TestBusyHostBorrowsFromIdlePeers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(6)
	rng := rand.New(rand.NewPCG(1, 1))
	const length = 30 * time.Second
	for range length / step {
		f.advance(step)
		for f.allow(0, 20+rng.IntN(60)) {
		}
		f.borrow(0)
	}
	g.Expect(f.admitted / (perSecond * length.Seconds())).To(gomega.BeNumerically(">=", 0.8))
	g.Expect(f.admitted).To(gomega.BeNumerically("<=", perSecond*length.Seconds()+burst))
}

// A partitioned host keeps exactly its own share once its loans have expired.
func TestPartitionedHostKeepsOwnShare(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(4)
	for range 10 {
		f.advance(step)
		f.allow(0, 100)
		f.borrow(0)
	}
	f.partitioned = func(from, to int) bool { return from != to }
	f.advance(2 * loanTerm)
	for i, l := range f.limiters {
		f.borrow(i)
		g.Expect(l.Available(f.now)).To(gomega.Equal(perSecond / 4))
	}
}

// A loan that expired while the host was idle fills the bucket only until it expired.
func TestExpiredLoanDoesNotFillBucket(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := share.Config{Incarnation: "host"}
	borrower, lender := share.NewLimiter(cfg, "org", epoch), share.NewLimiter(cfg, "org", epoch)
	for _, l := range []*share.Limiter{borrower, lender} {
		l.SetLimit(epoch, perSecond, 100*perSecond, 2)
	}
	loan, ok := lender.Lend(epoch, borrower.RequestLoan(epoch, 4_000, loanTerm))
	g.Expect(ok && borrower.AcceptLoan(epoch, loan)).To(gomega.BeTrue())
	const refilled = 5_000*10 + 4_000*2 // tokens
	ok, _ = borrower.Allow(epoch.Add(10*time.Second), refilled+1)
	g.Expect(ok).To(gomega.BeFalse())
	ok, _ = borrower.Allow(epoch.Add(10*time.Second), refilled)
	g.Expect(ok).To(gomega.BeTrue())
}
