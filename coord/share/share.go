// Package share splits a limit over hosts that share no state. Each host owns
// the limit divided by the number of hosts, and lends what it does not use to a
// peer by message.
//
// Three rules keep the sum of what all hosts may use within the limit:
//
//   - A host takes a smaller share at once and a larger one only after
//     Config.Settle, by when every other host has taken its smaller one.
//   - A lender gives a loan up before the borrower has it, and takes it back
//     only when it has expired at the borrower. The borrower counts the term from when it
//     asked, the lender from when it lent, each on its own clock, so the offset
//     between the clocks does not matter. Config.Drift covers their rates.
//   - Borrowed amounts are not lent on.
//
// If every host learns of a change of membership within Settle, less MaxTerm,
// of the first one, the sum never exceeds the limit. Where views differ for longer, it is at
// most limit * (1/n1 + 1/n2 + ...), with ni the count of hosts in host i's view.
package share

import (
	"time"
)

// answerTimeout is how long a borrower waits for the answer to an Ask.
const answerTimeout = 5 * time.Second

// DefaultDrift is how much faster a borrower's clock may run, as a fraction.
const DefaultDrift = 0.02

// Config sets up a Split.
type Config struct {
	// Incarnation names this process; a new process of the same host has a new name.
	Incarnation string
	// IncreaseDelay is how long a larger share waits before it is used; zero: no wait.
	IncreaseDelay time.Duration
	// MaxTerm is the longest term of a loan; zero: no bound. The sum keeps within the
	// limit also when a lender's share shrinks if MaxTerm and the time until every host has
	// learned of a change are together less than Settle.
	MaxTerm time.Duration
	// Drift bounds how far the rates of two clocks differ; zero: DefaultDrift.
	Drift float64
}

// LoanID names a loan. The borrower chooses it.
type LoanID struct {
	Borrower string `json:"borrower"`
	Seq      uint64 `json:"seq"`
}

// LoanRequest is a borrower's message to a lender. An LoanRequest with the ID of a running
// loan renews it.
type LoanRequest struct {
	ID         LoanID        `json:"id"`
	RequestSeq uint64        `json:"round"`
	Key        string        `json:"key"`
	Amount     float64       `json:"amount"`
	Term       time.Duration `json:"term"`
}

// Loan is a lender's answer to an Ask.
type Loan struct {
	ID         LoanID  `json:"id"`
	RequestSeq uint64  `json:"round"`
	Key        string  `json:"key"`
	Amount     float64 `json:"amount"`
}

type heldLoan struct {
	amount float64
	until  time.Time
}

type pendingAsk struct {
	id       LoanID
	amount   float64
	until    time.Time // of the loan, should it come
	answerBy time.Time
}

// Allocation is one host's part of one limit. It is not safe for concurrent use.
// The times given to it must not go back.
type Allocation struct {
	cfg   Config
	key   string
	limit float64
	count int

	own     float64 // in force
	next    float64 // a larger share that is not yet in force
	nextAt  time.Time
	waiting bool

	lent     map[LoanID]heldLoan
	borrowed map[LoanID]heldLoan
	asks     map[uint64]pendingAsk
	seq      uint64

	// Kept in step with lent and borrowed.
	lentSum     float64
	borrowedSum float64
	earliestEnd time.Time // zero: no loan runs
}

// NewAllocation returns a Split that owns nothing.
func NewAllocation(cfg Config, key string) *Allocation {
	if cfg.Drift <= 0 {
		cfg.Drift = DefaultDrift
	}
	return &Allocation{
		cfg: cfg, key: key,
		lent: map[LoanID]heldLoan{}, borrowed: map[LoanID]heldLoan{}, asks: map[uint64]pendingAsk{},
	}
}

// SetLimit sets the whole limit and the number of hosts that share it, this one
// included. A count of zero means that this host has no share.
func (s *Allocation) SetLimit(now time.Time, limit float64, count int) {
	s.Advance(now)
	s.limit, s.count = limit, count
	want := 0.
	if count > 0 {
		want = limit / float64(count)
	}
	switch {
	case want <= s.own || s.cfg.IncreaseDelay <= 0:
		s.own, s.waiting = want, false
	case !s.waiting || s.next != want:
		s.next, s.nextAt, s.waiting = want, now.Add(s.cfg.IncreaseDelay), true
	}
}

// ApplyPendingIncrease puts a larger share in force at once. Call it when every other host
// that shares the limit has confirmed that it uses no more than its own part.
func (s *Allocation) ApplyPendingIncrease(now time.Time) {
	s.Advance(now)
	if s.waiting {
		s.own, s.waiting = s.next, false
	}
}

// IncreasePending reports whether a larger share is not yet in force.
func (s *Allocation) IncreasePending() bool { return s.waiting }

// OwnShare is the share that the host owns, lent parts included.
func (s *Allocation) OwnShare() float64 { return s.own }

// Available is what the host may use: its own share less what it lent, and
// what it borrowed.
func (s *Allocation) Available() float64 {
	return max(0, s.own-s.lentSum) + s.borrowedSum
}

// Lendable is the part of the host's own share that is not lent.
func (s *Allocation) Lendable() float64 { return max(0, s.own-s.lentSum) }

// Next is when Available changes by itself; false when it does not.
func (s *Allocation) Next() (time.Time, bool) {
	next, found := s.earliestEnd, !s.earliestEnd.IsZero()
	if s.waiting && (!found || s.nextAt.Before(next)) {
		next, found = s.nextAt, true
	}
	return next, found
}

// Advance lets everything up to now take effect. At the end of its term a
// borrowed amount is gone and a lent one is back.
func (s *Allocation) Advance(now time.Time) {
	if s.waiting && !now.Before(s.nextAt) {
		s.own, s.waiting = s.next, false
	}
	if s.earliestEnd.IsZero() || now.Before(s.earliestEnd) {
		return
	}
	drop(s.lent, now)
	drop(s.borrowed, now)
	s.changed()
}

// changed brings the sums in step after a change of lent or borrowed.
func (s *Allocation) changed() {
	s.earliestEnd = time.Time{}
	s.lentSum = s.sum(s.lent)
	s.borrowedSum = s.sum(s.borrowed)
}

func (s *Allocation) sum(loans map[LoanID]heldLoan) float64 {
	total := 0.
	for _, l := range loans {
		total += l.amount
		if s.earliestEnd.IsZero() || l.until.Before(s.earliestEnd) {
			s.earliestEnd = l.until
		}
	}
	return total
}

// RequestLoan returns a message that asks a peer for a loan.
func (s *Allocation) RequestLoan(now time.Time, amount float64, term time.Duration) LoanRequest {
	s.seq++
	return s.ask(now, LoanID{Borrower: s.cfg.Incarnation, Seq: s.seq}, amount, term)
}

// Renew returns a message that asks the lender to run a loan for another term.
// It reports false when the host does not have the loan.
func (s *Allocation) Renew(now time.Time, id LoanID, term time.Duration) (LoanRequest, bool) {
	s.Advance(now)
	l, ok := s.borrowed[id]
	if !ok {
		return LoanRequest{}, false
	}
	return s.ask(now, id, l.amount, term), true
}

func (s *Allocation) ask(now time.Time, id LoanID, amount float64, term time.Duration) LoanRequest {
	if s.cfg.MaxTerm > 0 {
		term = min(term, s.cfg.MaxTerm)
	}
	for round, a := range s.asks {
		if now.After(a.answerBy) {
			delete(s.asks, round)
		}
	}
	s.seq++
	s.asks[s.seq] = pendingAsk{id: id, amount: amount, until: now.Add(term), answerBy: now.Add(min(term, answerTimeout))}
	return LoanRequest{ID: id, RequestSeq: s.seq, Key: s.key, Amount: amount, Term: term}
}

// Lend gives up part of the host's own share, at most spare, and returns the
// message that hands it over. It reports false when there is nothing to lend.
// An Ask that renews a running loan needs no further spare.
func (s *Allocation) Lend(now time.Time, ask LoanRequest, spare float64) (Loan, bool) {
	s.Advance(now)
	if ask.Term <= 0 || ask.Key != s.key || (s.cfg.MaxTerm > 0 && ask.Term > s.cfg.MaxTerm) {
		return Loan{}, false
	}
	hold := time.Duration(float64(ask.Term) * (1 + s.cfg.Drift))
	running, renewal := s.lent[ask.ID]
	if !renewal {
		running.amount = min(ask.Amount, spare, s.Lendable())
	}
	if !(running.amount > 0) {
		return Loan{}, false
	}
	if until := now.Add(hold); until.After(running.until) {
		running.until = until
	}
	s.lent[ask.ID] = running
	s.changed()
	return Loan{ID: ask.ID, RequestSeq: ask.RequestSeq, Key: s.key, Amount: running.amount}, true
}

// AcceptLoan takes a loan that a peer sent. It reports false for a loan that the
// host did not ask for or that has expired on the way.
func (s *Allocation) AcceptLoan(now time.Time, loan Loan) bool {
	s.Advance(now)
	a, ok := s.asks[loan.RequestSeq]
	if !ok || !now.Before(a.answerBy) || a.id != loan.ID || loan.Key != s.key || !(loan.Amount > 0) || loan.Amount > a.amount {
		return false
	}
	delete(s.asks, loan.RequestSeq)
	s.borrowed[loan.ID] = heldLoan{amount: loan.Amount, until: a.until}
	s.changed()
	return true
}

// ReturnLoan gives a borrowed amount up. The caller tells the lender afterwards.
func (s *Allocation) ReturnLoan(now time.Time, id LoanID) bool {
	s.Advance(now)
	for round, a := range s.asks {
		if a.id == id {
			delete(s.asks, round)
		}
	}
	_, ok := s.borrowed[id]
	delete(s.borrowed, id)
	s.changed()
	return ok
}

// LoanReturned takes back a loan that its borrower gave up.
func (s *Allocation) LoanReturned(now time.Time, id LoanID) {
	s.Advance(now)
	delete(s.lent, id)
	s.changed()
}

// HasLoanOrRequest reports whether the host has a loan or may still get one it asked for.
func (s *Allocation) HasLoanOrRequest(now time.Time) bool {
	s.Advance(now)
	for _, a := range s.asks {
		if now.Before(a.answerBy) {
			return true
		}
	}
	return len(s.borrowed) > 0
}

// EachBorrowed calls fn for each loan that the host has. fn must not change
// the Split.
func (s *Allocation) EachBorrowed(fn func(id LoanID, amount float64, end time.Time)) {
	for id, l := range s.borrowed {
		fn(id, l.amount, l.until)
	}
}

func drop(loans map[LoanID]heldLoan, now time.Time) {
	for id, l := range loans {
		if !now.Before(l.until) {
			delete(loans, id)
		}
	}
}
