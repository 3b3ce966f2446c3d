// Package share divides a limit between hosts that share no state. Each host owns
// the limit divided by the number of hosts, and lends its unused part to peers by
// exchanging messages.
//
// Three rules keep the sum of the amounts available on all hosts within the limit:
//
//   - A host applies a decrease of its share immediately and an increase only after
//     Config.IncreaseDelay, by when every other host has applied its decrease.
//   - A lender stops using an amount before the borrower receives the loan, and reclaims
//     it only after the loan has expired at the borrower. The borrower measures the term
//     from its request, the lender from its grant, each on its own clock, so the offset
//     between the clocks does not matter. Config.MaxClockDrift covers the
//     difference of their rates.
//   - A borrowed amount is never lent to a third host.
//
// If every host learns of a membership change within IncreaseDelay - MaxTerm after the
// first host has, the sum never exceeds the limit. While the hosts' views differ for longer,
// it is at most limit * (1/n1 + 1/n2 + ...), with ni the count of hosts in host i's view.
package share

import (
	"time"
)

// replyTimeout is how long a borrower waits for the reply to a LoanRequest.
const replyTimeout = 5 * time.Second

// DefaultMaxClockDrift is the default of Config.MaxClockDrift: 2%.
const DefaultMaxClockDrift = 0.02

// Config configures an Allocation.
type Config struct {
	// Incarnation identifies this process; a restarted host has a new incarnation.
	Incarnation string
	// IncreaseDelay is the time before an increase of the share takes effect; zero: none.
	IncreaseDelay time.Duration
	// MaxTerm is the longest term of a loan; zero: unlimited. For the sum to stay within the
	// limit also when a lender's share decreases, MaxTerm plus the time until every host has
	// learned of a membership change must be less than IncreaseDelay.
	MaxTerm time.Duration
	// MaxClockDrift is the largest relative difference between the rates of two hosts'
	// clocks; zero: DefaultMaxClockDrift. A lender extends the term by this fraction.
	MaxClockDrift float64
}

// LoanID identifies a loan. The borrower assigns it.
type LoanID struct {
	Borrower string `json:"borrower"`
	Seq      uint64 `json:"seq"`
}

// LoanRequest is a borrower's message to a lender. A LoanRequest with the ID of an existing
// loan renews it.
type LoanRequest struct {
	ID         LoanID        `json:"id"`
	RequestSeq uint64        `json:"round"` // identifies the request; the Loan in reply repeats it
	Key        string        `json:"key"`
	Amount     float64       `json:"amount"`
	Term       time.Duration `json:"term"`
}

// Loan is a lender's reply to a LoanRequest.
type Loan struct {
	ID         LoanID  `json:"id"`
	RequestSeq uint64  `json:"round"`
	Key        string  `json:"key"`
	Amount     float64 `json:"amount"`
}

type activeLoan struct {
	amount    float64
	expiresAt time.Time
}

type pendingRequest struct {
	id            LoanID
	amount        float64
	expiresAt     time.Time // end of the loan if it is granted
	replyDeadline time.Time
}

// Allocation is one host's share of one limit, including loans. It is not safe for concurrent use.
// The times passed to it must not decrease.
type Allocation struct {
	cfg       Config
	key       string
	limit     float64
	hostCount int

	own             float64 // share in effect
	increasedShare  float64 // larger share that is not yet in effect
	increaseAt      time.Time
	increasePending bool

	lent            map[LoanID]activeLoan
	borrowed        map[LoanID]activeLoan
	pendingRequests map[uint64]pendingRequest
	seq             uint64

	// Derived from lent and borrowed by updateTotals.
	lentTotal     float64
	borrowedTotal float64
	earliestEnd   time.Time // zero: there is no loan
}

// NewAllocation returns an Allocation with no share.
func NewAllocation(cfg Config, key string) *Allocation {
	if cfg.MaxClockDrift <= 0 {
		cfg.MaxClockDrift = DefaultMaxClockDrift
	}
	return &Allocation{
		cfg: cfg, key: key,
		lent: map[LoanID]activeLoan{}, borrowed: map[LoanID]activeLoan{}, pendingRequests: map[uint64]pendingRequest{},
	}
}

// SetLimit sets the total limit and the number of hosts that share it, including this
// host. A hostCount of zero means that this host has no share.
func (s *Allocation) SetLimit(now time.Time, limit float64, hostCount int) {
	s.Advance(now)
	s.limit, s.hostCount = limit, hostCount
	share := 0.
	if hostCount > 0 {
		share = limit / float64(hostCount)
	}
	switch {
	case share <= s.own || s.cfg.IncreaseDelay <= 0:
		s.own, s.increasePending = share, false
	case !s.increasePending || s.increasedShare != share:
		s.increasedShare, s.increaseAt, s.increasePending = share, now.Add(s.cfg.IncreaseDelay), true
	}
}

// ApplyPendingIncrease applies a pending increase of the share without waiting for the rest of
// Config.IncreaseDelay. Call it when every other host that shares the limit has confirmed
// that it uses no more than its own share.
func (s *Allocation) ApplyPendingIncrease(now time.Time) {
	s.Advance(now)
	if s.increasePending {
		s.own, s.increasePending = s.increasedShare, false
	}
}

// IncreasePending reports whether a larger share is waiting to take effect.
func (s *Allocation) IncreasePending() bool { return s.increasePending }

// OwnShare is the share that the host owns, including the amounts that it has lent.
func (s *Allocation) OwnShare() float64 { return s.own }

// Available is the amount that the host may use: its own share minus the amounts lent
// plus the amounts borrowed.
func (s *Allocation) Available() float64 {
	return max(0, s.own-s.lentTotal) + s.borrowedTotal
}

// Lendable is the part of the host's own share that it has not lent.
func (s *Allocation) Lendable() float64 { return max(0, s.own-s.lentTotal) }

// NextChange returns the time of the next change of Available due to a pending increase or the
// end of a loan. It reports false if there is none.
func (s *Allocation) NextChange() (time.Time, bool) {
	next, found := s.earliestEnd, !s.earliestEnd.IsZero()
	if s.increasePending && (!found || s.increaseAt.Before(next)) {
		next, found = s.increaseAt, true
	}
	return next, found
}

// Advance applies a pending increase and removes expired loans that are due by now. A
// borrowed amount that has expired can no longer be used; a lent one is available again.
func (s *Allocation) Advance(now time.Time) {
	if s.increasePending && !now.Before(s.increaseAt) {
		s.own, s.increasePending = s.increasedShare, false
	}
	if s.earliestEnd.IsZero() || now.Before(s.earliestEnd) {
		return
	}
	removeExpired(s.lent, now)
	removeExpired(s.borrowed, now)
	s.updateTotals()
}

// updateTotals recalculates the totals after lent or borrowed has changed.
func (s *Allocation) updateTotals() {
	s.earliestEnd = time.Time{}
	s.lentTotal = s.total(s.lent)
	s.borrowedTotal = s.total(s.borrowed)
}

// total returns the sum of the loans' amounts. It also lowers earliestEnd to their earliest
// expiry.
func (s *Allocation) total(loans map[LoanID]activeLoan) float64 {
	total := 0.
	for _, l := range loans {
		total += l.amount
		if s.earliestEnd.IsZero() || l.expiresAt.Before(s.earliestEnd) {
			s.earliestEnd = l.expiresAt
		}
	}
	return total
}

// RequestLoan returns a request for a loan to send to a peer.
func (s *Allocation) RequestLoan(now time.Time, amount float64, term time.Duration) LoanRequest {
	s.seq++
	return s.newRequest(now, LoanID{Borrower: s.cfg.Incarnation, Seq: s.seq}, amount, term)
}

// RenewLoan returns a request to the lender to extend a loan by another term. It reports
// false if this host has no such loan.
func (s *Allocation) RenewLoan(now time.Time, id LoanID, term time.Duration) (LoanRequest, bool) {
	s.Advance(now)
	l, ok := s.borrowed[id]
	if !ok {
		return LoanRequest{}, false
	}
	return s.newRequest(now, id, l.amount, term), true
}

func (s *Allocation) newRequest(now time.Time, id LoanID, amount float64, term time.Duration) LoanRequest {
	if s.cfg.MaxTerm > 0 {
		term = min(term, s.cfg.MaxTerm)
	}
	for seq, p := range s.pendingRequests {
		if now.After(p.replyDeadline) {
			delete(s.pendingRequests, seq)
		}
	}
	s.seq++
	s.pendingRequests[s.seq] = pendingRequest{id: id, amount: amount, expiresAt: now.Add(term), replyDeadline: now.Add(min(term, replyTimeout))}
	return LoanRequest{ID: id, RequestSeq: s.seq, Key: s.key, Amount: amount, Term: term}
}

// Lend sets aside part of the host's own share, at most spare, and returns the loan to send
// to the borrower. It reports false if the request is invalid or nothing can be lent.
// A LoanRequest that renews an existing loan needs no further spare.
func (s *Allocation) Lend(now time.Time, req LoanRequest, spare float64) (Loan, bool) {
	s.Advance(now)
	if req.Term <= 0 || req.Key != s.key || (s.cfg.MaxTerm > 0 && req.Term > s.cfg.MaxTerm) {
		return Loan{}, false
	}
	lenderTerm := time.Duration(float64(req.Term) * (1 + s.cfg.MaxClockDrift))
	existing, renewal := s.lent[req.ID]
	if !renewal {
		existing.amount = min(req.Amount, spare, s.Lendable())
	}
	if !(existing.amount > 0) {
		return Loan{}, false
	}
	if expiresAt := now.Add(lenderTerm); expiresAt.After(existing.expiresAt) {
		existing.expiresAt = expiresAt
	}
	s.lent[req.ID] = existing
	s.updateTotals()
	return Loan{ID: req.ID, RequestSeq: req.RequestSeq, Key: s.key, Amount: existing.amount}, true
}

// AcceptLoan adds a loan received from a peer. It reports false for a loan that this host did
// not request or whose reply came after the deadline.
func (s *Allocation) AcceptLoan(now time.Time, loan Loan) bool {
	s.Advance(now)
	p, ok := s.pendingRequests[loan.RequestSeq]
	if !ok || !now.Before(p.replyDeadline) || p.id != loan.ID || loan.Key != s.key || !(loan.Amount > 0) || loan.Amount > p.amount {
		return false
	}
	delete(s.pendingRequests, loan.RequestSeq)
	s.borrowed[loan.ID] = activeLoan{amount: loan.Amount, expiresAt: p.expiresAt}
	s.updateTotals()
	return true
}

// ReturnLoan ends a borrowed loan and cancels its pending requests. The caller notifies the
// lender afterwards.
func (s *Allocation) ReturnLoan(now time.Time, id LoanID) bool {
	s.Advance(now)
	for seq, p := range s.pendingRequests {
		if p.id == id {
			delete(s.pendingRequests, seq)
		}
	}
	_, ok := s.borrowed[id]
	delete(s.borrowed, id)
	s.updateTotals()
	return ok
}

// LoanReturned ends a loan that its borrower has returned.
func (s *Allocation) LoanReturned(now time.Time, id LoanID) {
	s.Advance(now)
	delete(s.lent, id)
	s.updateTotals()
}

// HasLoanOrRequest reports whether the host has borrowed an amount or has an unanswered
// request whose reply deadline has not passed.
func (s *Allocation) HasLoanOrRequest(now time.Time) bool {
	s.Advance(now)
	for _, p := range s.pendingRequests {
		if now.Before(p.replyDeadline) {
			return true
		}
	}
	return len(s.borrowed) > 0
}

// EachBorrowed calls fn for each loan that the host has borrowed. fn must not modify the
// Allocation.
func (s *Allocation) EachBorrowed(fn func(id LoanID, amount float64, end time.Time)) {
	for id, l := range s.borrowed {
		fn(id, l.amount, l.expiresAt)
	}
}

func removeExpired(loans map[LoanID]activeLoan, now time.Time) {
	for id, l := range loans {
		if !now.Before(l.expiresAt) {
			delete(loans, id)
		}
	}
}
