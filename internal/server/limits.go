package server

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/rules"
)

const (
	limitRetryAfter = 2 * time.Second
	missingHostTTL  = time.Minute // how long a host missing from the list still counts as a sharer
	loanDuration    = 2 * time.Second
	maxLenders      = 8 // hosts asked for a loan in one round
	// predecessorLoanTime is how long after the start of a process loans of the one before it
	// may last. Until then the new one has no share.
	predecessorLoanTime = loanDuration + 500*time.Millisecond
)

// tokenLimits enforces this host's shares of the organisations' token limits. It is
// safe for concurrent use and implements completion.Limiter.
type tokenLimits struct {
	self      identity.Incarnation
	clk       clock.Clock
	startedAt time.Time

	mu          sync.RWMutex
	members     share.Members
	limitedOrgs []rules.Organisation
	limiters    map[string]*share.Limiter // by organisation
}

func newLimits(self identity.Incarnation, clk clock.Clock) *tokenLimits {
	return &tokenLimits{self: self, clk: clk, startedAt: clk.Now(), members: share.Members{MissingHostTTL: missingHostTTL}, limiters: make(map[string]*share.Limiter)}
}

// setHosts sets the hosts that share the limits and those that are known to be gone.
func (l *tokenLimits) setHosts(serving, gone []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Set(l.clk.Now(), serving, gone)
	l.applyLocked()
}

// setRules applies the token limits of the current rules.
func (l *tokenLimits) setRules(index *rules.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitedOrgs = l.limitedOrgs[:0]
	for _, set := range ruleSets(index) {
		for _, org := range set.Organisations {
			if org.TokensPerSecond > 0 {
				l.limitedOrgs = append(l.limitedOrgs, org)
			}
		}
	}
	l.applyLocked()
}

// applyLocked updates the limiter of each organisation. Limiters of organisations
// that still have a limit keep their state. The caller holds mu.
func (l *tokenLimits) applyLocked() {
	now := l.clk.Now()
	count := len(l.members.Counted(now)) // 0, and no share, until the hosts are known
	previous := l.limiters
	l.limiters = make(map[string]*share.Limiter, len(l.limitedOrgs))
	for _, org := range l.limitedOrgs {
		limiter := previous[org.Name]
		if limiter == nil {
			limiter = share.NewLimiter(share.Config{
				Incarnation: l.self.String(), IncreaseDelay: max(l.startedAt.Add(predecessorLoanTime).Sub(now), 0), MaxTerm: loanDuration,
			}, org.Name, now)
		}
		limiter.SetLimit(now, org.TokensPerSecond, org.BurstTokens, count)
		l.limiters[org.Name] = limiter
	}
}

// Take takes tokens from the organisation's limit, or returns an error with the time
// to retry. A request above the host's burst takes its tokens in parts and waits
// between them if its deadline allows. Smaller requests never wait.
func (l *tokenLimits) Take(ctx context.Context, org rules.Organisation, tokens int) error {
	limiter := l.limiter(org.Name)
	if limiter == nil {
		return nil
	}
	if limiter.Available(l.clk.Now()) <= 0 {
		return limitError(org, limitRetryAfter) // this host has no share yet
	}
	if excess := tokens - limiter.Burst(l.clk.Now()); excess > 0 {
		wait := cost.SecondsToDuration(float64(excess) / limiter.Available(l.clk.Now()))
		if !endsBeforeDeadline(ctx, wait) {
			return limitError(org, wait)
		}
	}
	for first := true; tokens > 0; first = false {
		now := l.clk.Now()
		part := min(tokens, limiter.Burst(now))
		if part == 0 {
			return limitError(org, limitRetryAfter)
		}
		ok, wait := limiter.Allow(now, part)
		if ok {
			tokens -= part
			continue
		}
		remainingWait := cost.SecondsToDuration(float64(tokens-part) / limiter.Available(now))
		if (first && part == tokens) || !endsBeforeDeadline(ctx, wait+remainingWait) || !sleepContext(ctx, wait) {
			return limitError(org, wait+remainingWait)
		}
	}
	return nil
}

func limitError(org rules.Organisation, wait time.Duration) error {
	return apierror.NotRun(apierror.KindLimitExceeded, "come back later, or ask your partner for a higher limit",
		"the limit of %s of %.0f tokens a second is used up here", org.Name, org.TokensPerSecond).WithRetryAfter(wait)
}

// endsBeforeDeadline reports whether a wait that starts now ends before the deadline
// of ctx.
func endsBeforeDeadline(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// sleepContext waits and reports whether the wait ended before ctx was done.
func sleepContext(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pending returns the number of organisations of whose limit this host has no share yet.
func (l *tokenLimits) pending() int {
	now := l.clk.Now()
	n := 0
	for _, limiter := range l.allLimiters() {
		if limiter.Available(now) <= 0 {
			n++
		}
	}
	return n
}

// requestLoans requests loans from random hosts for the limits of which this host's
// share is too small for its demand. Loans are not renewed: after one has ended, a later
// round requests a new one if the demand is still too high.
func (l *tokenLimits) requestLoans(hosts []string, send func(host string, req share.LoanRequest)) {
	others := slices.DeleteFunc(slices.Clone(hosts), func(id string) bool { return id == l.self.Host })
	if len(others) == 0 {
		return
	}
	now := l.clk.Now()
	for _, limiter := range l.allLimiters() {
		shortfall := limiter.LoanNeeded(now)
		if shortfall <= 0 {
			continue
		}
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		asked := others[:min(len(others), maxLenders)]
		for _, host := range asked {
			send(host, limiter.RequestLoan(now, shortfall/float64(len(asked)), loanDuration))
		}
	}
}

func (l *tokenLimits) allLimiters() []*share.Limiter {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.Collect(maps.Values(l.limiters))
}

func (l *tokenLimits) limiter(organisation string) *share.Limiter {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.limiters[organisation]
}

// lend answers a peer's request for a loan.
func (l *tokenLimits) lend(req share.LoanRequest) (share.Loan, bool) {
	limiter := l.limiter(req.Key)
	if limiter == nil {
		return share.Loan{}, false
	}
	return limiter.Lend(l.clk.Now(), req)
}

// acceptLoan adds a loan from a peer to this host's share.
func (l *tokenLimits) acceptLoan(loan share.Loan) {
	if limiter := l.limiter(loan.Key); limiter != nil {
		limiter.AcceptLoan(l.clk.Now(), loan)
	}
}
