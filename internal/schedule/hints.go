package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/apierror"
)

// PeerDispatch is a hint that a host sent a request to a target. It improves its
// peers' prediction of the backlog; a wrong or lost hint does no harm.
type PeerDispatch struct {
	Target        string    `json:"target"`
	ID            string    `json:"id"`
	PrefillTokens int       `json:"prompt"` // without cached prefixes
	Priority      int64     `json:"priority"`
	DispatchedAt  time.Time `json:"at"`
}

// MemoryLoanRequest is a request to a peer for a loan of engine memory, for a prompt
// that needs more than the borrower's share.
type MemoryLoanRequest struct {
	share.LoanRequest
	// Rank orders the prompts that wait for memory; the lowest has precedence.
	Rank Rank `json:"rank"`
	// NeedsShortReserve is set if the prompt needs all of the engine's memory,
	// including the part reserved for short prompts.
	NeedsShortReserve bool `json:"tight,omitempty"`
}

// Rank orders the prompts that wait for memory. All hosts use the same order.
type Rank struct {
	Priority int64  `json:"priority"`
	Host     string `json:"host"`
}

// Before reports whether r has precedence over o.
func (r Rank) Before(o Rank) bool {
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.Host < o.Host
}

// DomainLoad is a hint about the wait of requests in a failure domain.
type DomainLoad struct {
	Domain        string        `json:"domain"`
	Model         string        `json:"model"`
	Wait          time.Duration `json:"wait"` // predicted time to first token of a short prompt
	UsableTargets int           `json:"usable"`
	At            time.Time     `json:"at"`
}

// DomainFullError reports that the local failure domain cannot finish a request
// before its deadline but another domain may. It unwraps to an *apierror.Error.
type DomainFullError struct {
	Err *apierror.Error
	// Predicted is the predicted duration of the request in the local domain.
	Predicted time.Duration
}

// Error returns the message and the remedy of the wrapped error.
func (e *DomainFullError) Error() string { return e.Err.Error() }

// Unwrap returns the error to report to the caller.
func (e *DomainFullError) Unwrap() error { return e.Err }

// hintMaxAge is the age beyond which a hint about another failure domain is ignored.
const hintMaxAge = 10 * time.Second

// PickDomain returns the failure domain to try next for a request that its own
// domain cannot serve: the one with the shortest predicted wait below limit that
// is not in tried. It returns false if there is none.
func PickDomain(now time.Time, loads []DomainLoad, model string, tried []string, limit time.Duration) (string, bool) {
	best := -1
	for i, l := range loads {
		if l.Model != model || l.UsableTargets == 0 || l.Wait >= limit || now.Sub(l.At) > hintMaxAge || contains(tried, l.Domain) {
			continue
		}
		if best < 0 || l.Wait < loads[best].Wait || (l.Wait == loads[best].Wait && l.Domain < loads[best].Domain) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return loads[best].Domain, true
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
