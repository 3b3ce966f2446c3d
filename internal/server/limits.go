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
	limitRetry   = 2 * time.Second
	retireHosts  = time.Minute // a host that vanished from the list counts for this long
	loanTerm     = 2 * time.Second
	lendersAsked = 8 // hosts asked at once
)

// limits holds this host's share of the organisations' token limits. It is
// safe for concurrent use and implements completion.Limiter.
type limits struct {
	self identity.Incarnation
	clk  clock.Clock

	mu       sync.RWMutex
	members  share.Members
	limited  []rules.Organisation
	limiters map[string]*share.Limiter // by organisation
}

func newLimits(self identity.Incarnation, clk clock.Clock) *limits {
	return &limits{self: self, clk: clk, members: share.Members{Retire: retireHosts}, limiters: make(map[string]*share.Limiter)}
}

// setHosts takes the hosts that share the limits and those that left.
func (l *limits) setHosts(serving, left []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Set(l.clk.Now(), serving, left)
	l.apply()
}

// setRules takes the rules in force.
func (l *limits) setRules(book *rules.Book) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = l.limited[:0]
	for _, set := range ruleSets(book) {
		for _, org := range set.Organisations {
			if org.TokensPerSecond > 0 {
				l.limited = append(l.limited, org)
			}
		}
	}
	l.apply()
}

// apply sets each organisation's limiter. The caller holds mu.
func (l *limits) apply() {
	now := l.clk.Now()
	count := max(len(l.members.Counted(now)), 1)
	known := l.limiters
	l.limiters = make(map[string]*share.Limiter, len(l.limited))
	for _, org := range l.limited {
		limiter := known[org.Name]
		if limiter == nil {
			limiter = share.NewLimiter(share.Config{Self: l.self.String()}, org.Name, now)
		}
		limiter.Set(now, org.TokensPerSecond, org.BurstTokens, count)
		l.limiters[org.Name] = limiter
	}
}

// Take takes tokens of the organisation's limit, or refuses with when to come
// back. A request above what the host may let through at once is paid for in
// parts, for which it waits if its time limit allows.
func (l *limits) Take(ctx context.Context, org rules.Organisation, tokens int) error {
	limiter := l.limiter(org.Name)
	if limiter == nil {
		return nil
	}
	if over := tokens - limiter.Burst(l.clk.Now()); over > 0 {
		wait := cost.SecondsToDuration(float64(over) / limiter.Available(l.clk.Now()))
		if !fits(ctx, wait) {
			return limitError(org, wait)
		}
	}
	for first := true; tokens > 0; first = false {
		now := l.clk.Now()
		part := min(tokens, limiter.Burst(now))
		if part == 0 {
			return limitError(org, limitRetry)
		}
		ok, wait := limiter.Allow(now, part)
		if ok {
			tokens -= part
			continue
		}
		rest := cost.SecondsToDuration(float64(tokens-part) / limiter.Available(now))
		if (first && part == tokens) || !fits(ctx, wait+rest) || !sleep(ctx, wait) {
			return limitError(org, wait+rest)
		}
	}
	return nil
}

func limitError(org rules.Organisation, wait time.Duration) error {
	return apierror.NotRun(apierror.KindLimitExceeded, "come back later, or ask your partner for a higher limit",
		"the limit of %s of %.0f tokens a second is used up here", org.Name, org.TokensPerSecond).WithRetryAfter(wait)
}

// fits reports whether a wait ends before the context's deadline.
func fits(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// sleep waits and reports whether ctx was still on.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// borrow asks hosts for loans of the shares that run short here, and renews
// those that end soon.
func (l *limits) borrow(hosts []string, ask func(host string, a share.Ask)) {
	others := slices.DeleteFunc(slices.Clone(hosts), func(id string) bool { return id == l.self.Host })
	if len(others) == 0 {
		return
	}
	now := l.clk.Now()
	for _, limiter := range l.all() {
		wants := limiter.Wants(now)
		if wants <= 0 {
			continue
		}
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		asked := others[:min(len(others), lendersAsked)]
		for _, host := range asked {
			ask(host, limiter.Ask(now, wants/float64(len(asked)), loanTerm))
		}
	}
}

func (l *limits) all() []*share.Limiter {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.Collect(maps.Values(l.limiters))
}

func (l *limits) limiter(organisation string) *share.Limiter {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.limiters[organisation]
}

// lend answers a peer's ask.
func (l *limits) lend(ask share.Ask) (share.Loan, bool) {
	limiter := l.limiter(ask.Key)
	if limiter == nil {
		return share.Loan{}, false
	}
	return limiter.Lend(l.clk.Now(), ask)
}

// accept takes a loan.
func (l *limits) accept(loan share.Loan) {
	if limiter := l.limiter(loan.Key); limiter != nil {
		limiter.Accept(l.clk.Now(), loan)
	}
}
