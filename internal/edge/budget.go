package edge

import "github.com/plantainrun/plantainrun/coord/retry"

const (
	// minHosts is the number of hosts taken for granted: one that hears of no
	// other may be cut off.
	minHosts = 10
	// retryShare is the part of the allowed retries that is used.
	retryShare = 0.75
)

// retryBudget is this host's part of the second arrivals that all hosts
// together may cause at a service: in proportion to its own requests, and an
// equal part of what is allowed beyond that. It is safe for concurrent use.
type retryBudget struct {
	own   *retry.Budget
	burst float64 // of all hosts
	hosts func() int
}

// newRetryBudget returns a budget; hosts counts those that share the burst.
func newRetryBudget(s Settings, hosts func() int) (*retryBudget, error) {
	cfg := retry.DefaultConfig()
	cfg.Ratio = s.RetryRatio * retryShare
	own, err := retry.New(cfg)
	if err != nil {
		return nil, err
	}
	b := &retryBudget{own: own, burst: s.RetryBurst * retryShare, hosts: hosts}
	b.divide()
	return b, nil
}

// divide adjusts this host's part to the number of hosts.
func (b *retryBudget) divide() { b.own.SetBurst(b.burst / float64(max(b.hosts(), minHosts))) }

// First counts a request to a service.
func (b *retryBudget) First(service string) { b.own.First(service) }

// Retry reports whether a request may reach a target of the service once more.
func (b *retryBudget) Retry(service string) bool {
	b.divide()
	return b.own.Retry(service)
}
