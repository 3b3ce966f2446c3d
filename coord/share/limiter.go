package share

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limiter parameters.
const (
	demandWindow  = time.Second // over which demand is averaged
	lenderReserve = 0.05        // part of its own share that a lender keeps
	busyFraction  = 0.8         // demand above this part of the share asks for a loan
)

// Limiter lets through at most one host's share of a rate limit. Over any time
// T all hosts together let through at most limit*T plus one burst, as long as
// their Splits keep to the limit. It is safe for concurrent use; the times
// given to it must not go back.
type Limiter struct {
	mu        sync.Mutex
	split     *Allocation
	bucket    *rate.Limiter
	burst     float64 // of all hosts
	limit     float64 // of all hosts
	available float64 // what the bucket was set to
	demand    float64 // per second, moving average
	demandAt  time.Time
}

// NewLimiter returns a Limiter with an empty bucket and no share.
func NewLimiter(cfg Config, key string, now time.Time) *Limiter {
	bucket := rate.NewLimiter(0, 0)
	bucket.SetLimitAt(now, 0)
	return &Limiter{split: NewAllocation(cfg, key), bucket: bucket, demandAt: now}
}

// SetLimit sets the limit per second and the burst of all hosts together, and the
// number of hosts that share them.
func (l *Limiter) SetLimit(now time.Time, limit, burst float64, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.limit, l.burst = limit, burst
	l.split.SetLimit(now, limit, count)
	l.apply(now)
}

// Allow takes n from the share. When it reports false, wait says when enough
// will have come back; a wait of zero means that n is above the host's burst
// and that only a loan or a larger burst helps.
func (l *Limiter) Allow(now time.Time, n int) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.observe(now, float64(n))
	if l.bucket.AllowN(now, n) {
		return true, 0
	}
	if n > l.bucket.Burst() || l.available <= 0 {
		return false, 0
	}
	missing := float64(n) - l.bucket.TokensAt(now)
	return false, time.Duration(math.Ceil(missing / l.available * float64(time.Second)))
}

// LoanNeeded returns how much more per second the host could use; zero when its
// share suffices.
func (l *Limiter) LoanNeeded(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	demand := l.demandAtTime(now)
	if demand <= busyFraction*l.available {
		return 0
	}
	return l.limit - l.available
}

// RequestLoan returns a message that asks a peer for a loan of amount per second.
func (l *Limiter) RequestLoan(now time.Time, amount float64, term time.Duration) LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.split.RequestLoan(now, amount, term)
}

// RenewalRequests returns messages for the loans that end within the given time.
func (l *Limiter) RenewalRequests(now time.Time, within, term time.Duration) []LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	var ending []LoanID
	l.split.EachBorrowed(func(id LoanID, _ float64, end time.Time) {
		if end.Sub(now) <= within {
			ending = append(ending, id)
		}
	})
	var asks []LoanRequest
	for _, id := range ending {
		if a, ok := l.split.Renew(now, id, term); ok {
			asks = append(asks, a)
		}
	}
	return asks
}

// Lend answers a peer's Ask out of what this host does not use itself.
func (l *Limiter) Lend(now time.Time, ask LoanRequest) (Loan, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	spare := l.split.Lendable() - max(l.demandAtTime(now), lenderReserve*l.split.OwnShare())
	if _, renewal := l.split.lent[ask.ID]; renewal && spare < 0 {
		return Loan{}, false
	}
	loan, ok := l.split.Lend(now, ask, spare)
	l.apply(now)
	return loan, ok
}

// AcceptLoan takes a loan that a peer sent.
func (l *Limiter) AcceptLoan(now time.Time, loan Loan) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	ok := l.split.AcceptLoan(now, loan)
	l.apply(now)
	return ok
}

// Burst is the most that one Allow may take now.
func (l *Limiter) Burst(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.bucket.Burst()
}

// Available is the rate that the host may let through now, per second.
func (l *Limiter) Available(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.available
}

// advance applies each change of the share at its own time, so that the bucket
// never fills at a rate that had already ended.
func (l *Limiter) advance(now time.Time) {
	for {
		at, ok := l.split.Next()
		if !ok || at.After(now) {
			break
		}
		l.split.Advance(at)
		l.apply(at)
	}
	l.split.Advance(now)
}

func (l *Limiter) apply(at time.Time) {
	available := l.split.Available()
	burst := 0.
	if l.limit > 0 {
		burst = l.burst * available / l.limit
	}
	l.available = available
	l.bucket.SetLimitAt(at, rate.Limit(available))
	l.bucket.SetBurstAt(at, int(burst))
}

func (l *Limiter) observe(now time.Time, n float64) {
	l.demand = l.demandAtTime(now) + n/demandWindow.Seconds()
	l.demandAt = now
}

func (l *Limiter) demandAtTime(now time.Time) float64 {
	elapsed := max(0, now.Sub(l.demandAt)).Seconds()
	return l.demand * math.Exp(-elapsed/demandWindow.Seconds())
}
