package edge

import "github.com/plantainrun/plantainrun/coord/retry"

const (
	// minAssumedHosts is the number of hosts taken for granted: one that hears of no
	// other may be cut off.
	minAssumedHosts = 10
	// retryBudgetFraction is the part of the allowed retries that is used.
	retryBudgetFraction = 0.75
)

// retryBudget is this host's part of the second arrivals that all hosts
// together may cause at a service: in proportion to its own requests, and an
// equal part of what is allowed beyond that. It is safe for concurrent use.
type retryBudget struct {
	local      *retry.Budget
	fleetBurst float64 // of all hosts
	hostCount  func() int
}

// newRetryBudget returns a budget; hosts counts those that share the burst.
func newRetryBudget(s Settings, hostCount func() int) (*retryBudget, error) {
	cfg := retry.DefaultConfig()
	cfg.Ratio = s.RetryRatio * retryBudgetFraction
	local, err := retry.New(cfg)
	if err != nil {
		return nil, err
	}
	b := &retryBudget{local: local, fleetBurst: s.RetryBurst * retryBudgetFraction, hostCount: hostCount}
	b.updateBurst()
	return b, nil
}

// updateBurst adjusts this host's part to the number of hosts.
func (b *retryBudget) updateBurst() {
	b.local.SetBurst(b.fleetBurst / float64(max(b.hostCount(), minAssumedHosts)))
}

// First counts a request to a service.
func (b *retryBudget) First(service string) { b.local.First(service) }

// Retry reports whether a request may reach a target of the service once more.
func (b *retryBudget) Retry(service string) bool {
	b.updateBurst()
	return b.local.Retry(service)
}
