package share

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Parameters of the demand estimate and of lending.
const (
	demandWindow          = time.Second // time constant of the moving average of demand
	lenderReserveFraction = 0.05        // fraction of its own share that a lender never lends
	borrowThreshold       = 0.8         // a host needs a loan while its demand is above this fraction of its available rate
)

// Limiter is a token bucket that enforces one host's share of a rate limit. Over any time T
// all hosts together admit at most limit*T plus one burst, as long as the sum of their
// Allocations stays within the limit. It is safe for concurrent use; the times passed to it
// must not decrease.
type Limiter struct {
	mu              sync.Mutex
	allocation      *Allocation
	bucket          *rate.Limiter
	burst           float64 // tokens, all hosts together
	limit           float64 // tokens per second, all hosts together
	available       float64 // tokens per second, the current rate of bucket
	demand          float64 // tokens per second, moving average
	demandUpdatedAt time.Time
}

// NewLimiter returns a Limiter with an empty bucket and no share.
func NewLimiter(cfg Config, key string, now time.Time) *Limiter {
	bucket := rate.NewLimiter(0, 0)
	bucket.SetLimitAt(now, 0)
	return &Limiter{allocation: NewAllocation(cfg, key), bucket: bucket, demandUpdatedAt: now}
}

// SetLimit sets the limit in tokens per second and the burst, both for all hosts together,
// and the number of hosts that share them.
func (l *Limiter) SetLimit(now time.Time, limit, burst float64, hostCount int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.limit, l.burst = limit, burst
	l.allocation.SetLimit(now, limit, hostCount)
	l.updateBucket(now)
}

// Allow takes n tokens from the bucket. If it reports false, wait is the time until the
// bucket holds n tokens; a wait of zero means that n exceeds the host's current burst, so
// that only a loan or a larger burst helps.
func (l *Limiter) Allow(now time.Time, n int) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.recordDemand(now, float64(n))
	if l.bucket.AllowN(now, n) {
		return true, 0
	}
	if n > l.bucket.Burst() || l.available <= 0 {
		return false, 0
	}
	missing := float64(n) - l.bucket.TokensAt(now)
	return false, time.Duration(math.Ceil(missing / l.available * float64(time.Second)))
}

// LoanNeeded returns the rate in tokens per second that the host should borrow: zero while
// its demand is at most borrowThreshold of its available rate, otherwise the rest of the limit.
func (l *Limiter) LoanNeeded(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	demand := l.decayedDemand(now)
	if demand <= borrowThreshold*l.available {
		return 0
	}
	return l.limit - l.available
}

// RequestLoan returns a request to a peer for a loan of amount tokens per second.
func (l *Limiter) RequestLoan(now time.Time, amount float64, term time.Duration) LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.allocation.RequestLoan(now, amount, term)
}

// RenewalRequests returns requests to renew the loans that end within the given time.
func (l *Limiter) RenewalRequests(now time.Time, within, term time.Duration) []LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	var ending []LoanID
	l.allocation.EachBorrowed(func(id LoanID, _ float64, end time.Time) {
		if end.Sub(now) <= within {
			ending = append(ending, id)
		}
	})
	var requests []LoanRequest
	for _, id := range ending {
		if req, ok := l.allocation.RenewLoan(now, id, term); ok {
			requests = append(requests, req)
		}
	}
	return requests
}

// Lend grants a peer's LoanRequest from the part of the share that this host does not use.
func (l *Limiter) Lend(now time.Time, req LoanRequest) (Loan, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	spare := l.allocation.Lendable() - max(l.decayedDemand(now), lenderReserveFraction*l.allocation.OwnShare())
	if _, renewal := l.allocation.lent[req.ID]; renewal && spare < 0 {
		return Loan{}, false
	}
	loan, ok := l.allocation.Lend(now, req, spare)
	l.updateBucket(now)
	return loan, ok
}

// AcceptLoan adds a loan received from a peer. It reports false if the loan was not accepted.
func (l *Limiter) AcceptLoan(now time.Time, loan Loan) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	ok := l.allocation.AcceptLoan(now, loan)
	l.updateBucket(now)
	return ok
}

// Burst is the largest number of tokens that one call of Allow can take now.
func (l *Limiter) Burst(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.bucket.Burst()
}

// Available is the host's current rate in tokens per second.
func (l *Limiter) Available(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.available
}

// advance applies each change of the share as of the time of that change, so that the
// bucket never fills at a rate that was no longer in effect.
func (l *Limiter) advance(now time.Time) {
	for {
		at, ok := l.allocation.NextChange()
		if !ok || at.After(now) {
			break
		}
		l.allocation.Advance(at)
		l.updateBucket(at)
	}
	l.allocation.Advance(now)
}

func (l *Limiter) updateBucket(at time.Time) {
	available := l.allocation.Available()
	burst := 0.
	if l.limit > 0 {
		burst = l.burst * available / l.limit
	}
	l.available = available
	l.bucket.SetLimitAt(at, rate.Limit(available))
	l.bucket.SetBurstAt(at, int(burst))
}

func (l *Limiter) recordDemand(now time.Time, n float64) {
	l.demand = l.decayedDemand(now) + n/demandWindow.Seconds()
	l.demandUpdatedAt = now
}

func (l *Limiter) decayedDemand(now time.Time) float64 {
	elapsed := max(0, now.Sub(l.demandUpdatedAt)).Seconds()
	return l.demand * math.Exp(-elapsed/demandWindow.Seconds())
}
