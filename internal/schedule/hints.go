package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/apierror"
)

// PeerDispatch is a hint that a host sent a request to a target. It corrects
// predictions and is safe when wrong or lost.
type PeerDispatch struct {
	Target        string    `json:"target"`
	ID            string    `json:"id"`
	PrefillTokens int       `json:"prompt"` // tokens
	Priority      int64     `json:"priority"`
	DispatchedAt  time.Time `json:"at"`
}

// MemoryLoanRequest asks a peer to lend engine memory to a prompt that needs more than
// the borrower's part.
type MemoryLoanRequest struct {
	share.Ask
	// Rank orders the prompts that wait for memory; the lower one has precedence.
	Rank Rank `json:"rank"`
	// NeedsShortReserve tells that the prompt needs all of the engine's memory.
	NeedsShortReserve bool `json:"tight,omitempty"`
}

// Rank orders prompts that wait for memory, the same way on all hosts.
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

// DomainLoad is a hint of how long requests wait in a failure domain.
type DomainLoad struct {
	Domain        string        `json:"domain"`
	Model         string        `json:"model"`
	Wait          time.Duration `json:"wait"` // predicted until a short prompt's first token
	UsableTargets int           `json:"usable"`
	At            time.Time     `json:"at"`
}

// DomainFullError tells that the own failure domain cannot finish a request in
// time and that another one might. It unwraps to an *apierror.Error.
type DomainFullError struct {
	Err *apierror.Error
	// Predicted is how long the request would have taken here.
	Predicted time.Duration
}

// Error returns the message and remedy of the wrapped error.
func (e *DomainFullError) Error() string { return e.Err.Error() }

// Unwrap returns the error for the caller.
func (e *DomainFullError) Unwrap() error { return e.Err }

// hintMaxAge is how long a hint about another failure domain is believed.
const hintMaxAge = 10 * time.Second

// PickDomain returns the failure domain in which a request that its own cannot
// serve should be tried: the one with the shortest wait below limit. tried are
// the domains already tried. It reports false when none is known.
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
