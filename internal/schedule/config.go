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
	DefaultSubsetSize  = 32               // targets
	DefaultSilentAfter = 12 * time.Second // without a report, while others report
	DefaultGrace       = 2 * time.Second  // after a deadline until an engine has dropped the stream
	DefaultPollEvery   = 10 * time.Millisecond
)

// Config sets up a Local scheduler. Zero values take the defaults.
type Config struct {
	// Self is this host's id and Incarnation its process, for loans of memory.
	Self        string
	Incarnation string
	// Domain limits the scheduler to the targets of one failure domain; empty: all.
	Domain string
	// Clock is the time; nil: the machine's.
	Clock clock.Clock
	// Estimator is shared with the code that turns bytes into tokens.
	Estimator *cost.Estimator
	// NewPolicy returns the policy of one model; nil: NewSlackPolicy.
	NewPolicy func() Policy
	// Queues bound the queues of partners and organisations.
	Queues fairqueue.Limits
	// SubsetSize is about how many targets a host deals with in a large failure domain.
	SubsetSize int
	// SilentAfter is how far a target's reports may fall behind those of the others.
	SilentAfter time.Duration
	// ShareIncreaseDelay is how long a larger part of engines' memory waits before this host
	// uses it, unless all peers confirm (Unsettled, Keeps, Confirmed). It should cover the
	// lag of the host list and the longest loan, about twice the longest time limit. Zero: no
	// wait; a host that started anew may then promise what its predecessor had lent.
	ShareIncreaseDelay time.Duration
	// MissingHostTTL is how long a host that vanished from the list still counts as a sharer.
	MissingHostTTL time.Duration
	// Grace is how long after a request's deadline its memory may still be held.
	Grace time.Duration
	// PollEvery is how often queued requests are looked at again.
	PollEvery time.Duration

	// OnDispatch is told each dispatch, for peers' LearnPeerDispatch. It is called
	// without locks and must not block.
	OnDispatch func(PeerDispatch)
	// SendLoanRequest sends a request for a loan of engine memory to a peer, which calls
	// Lend. It is called without locks and must not block. Nil: nothing is borrowed.
	SendLoanRequest func(peer string, ask MemoryLoanRequest)
	// SendLoanReturn tells a peer that a loan was given up, which calls Returned.
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
	if c.SilentAfter <= 0 {
		c.SilentAfter = DefaultSilentAfter
	}
	if c.Grace <= 0 {
		c.Grace = DefaultGrace
	}
	if c.PollEvery <= 0 {
		c.PollEvery = DefaultPollEvery
	}
	if c.Incarnation == "" {
		c.Incarnation = c.Self
	}
	return c
}
