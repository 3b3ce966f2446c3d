package schedule

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/fairqueue"
)

// Defaults of Config.
const (
	DefaultSubsetSize   = 32               // targets
	DefaultMaxReportLag = 12 * time.Second // behind the reports of other targets
	DefaultGrace        = 2 * time.Second  // from the deadline until the engine has dropped the stream
	DefaultPollInterval = 10 * time.Millisecond
)

// Config configures a Local scheduler. Zero values select the defaults.
type Config struct {
	// Self is this host's id. Incarnation identifies its process in loans of
	// engine memory.
	Self        string
	Incarnation string
	// Domain restricts the scheduler to the targets of one failure domain; empty
	// means all domains.
	Domain string
	// Clock is the time source; nil means the system clock.
	Clock clock.Clock
	// Estimator is shared with the code that estimates token counts from bytes.
	Estimator *cost.Estimator
	// NewPolicy creates the policy of one model; nil means NewSlackPolicy.
	NewPolicy func() Policy
	// Queues limits the queue lengths of partners and organisations.
	Queues fairqueue.Limits
	// SubsetSize is the approximate number of targets that a host uses in a large
	// failure domain.
	SubsetSize int
	// MaxReportLag is how far a target's newest report may lag behind the newest
	// report of any target of the model before the target gets no new work.
	MaxReportLag time.Duration
	// ShareIncreaseDelay is how long this host waits before it uses a larger share
	// of an engine's memory, unless all peers confirm earlier (PendingShares,
	// WithinShare, PeerConfirmed). It should cover the propagation delay of the host
	// list and the longest loan, about twice the longest time limit. Zero means no
	// delay; a restarted host may then reserve memory that its previous process lent.
	ShareIncreaseDelay time.Duration
	// MissingHostTTL is how long a host still counts as a sharer after it has
	// disappeared from the host list.
	MissingHostTTL time.Duration
	// Grace is how long a request may still hold memory after its deadline.
	Grace time.Duration
	// PollInterval is the interval at which queued requests are retried.
	PollInterval time.Duration

	// OnDispatch is called for each dispatch, to be passed to LearnPeerDispatch of
	// the peers. It is called without locks held and must not block.
	OnDispatch func(PeerDispatch)
	// SendLoanRequest sends a request for a loan of engine memory to a peer, which
	// calls Lend. It is called without locks held and must not block. Nil disables
	// borrowing.
	SendLoanRequest func(peer string, req MemoryLoanRequest)
	// SendLoanReturn notifies a peer, which calls LoanReturned, that its loan was
	// returned. It is called without locks held.
	SendLoanReturn func(peer string, target string, id share.LoanID)
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Estimator == nil {
		c.Estimator = cost.NewEstimator()
	}
	if c.NewPolicy == nil {
		c.NewPolicy = func() Policy { return NewSlackPolicy() }
	}
	if c.SubsetSize <= 0 {
		c.SubsetSize = DefaultSubsetSize
	}
	if c.MaxReportLag <= 0 {
		c.MaxReportLag = DefaultMaxReportLag
	}
	if c.Grace <= 0 {
		c.Grace = DefaultGrace
	}
	if c.PollInterval <= 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.Incarnation == "" {
		c.Incarnation = c.Self
	}
	return c
}
