package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
)

// RequestLoan returns a request to a peer for a loan of tokens of an engine's memory
// for the term. It returns false for an unknown engine.
func (l *Ledger) RequestLoan(now time.Time, target string, tokens int, term time.Duration) (share.LoanRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		return share.LoanRequest{}, false
	}
	a.allocation.Advance(now)
	return a.allocation.RequestLoan(now, float64(tokens), term), true
}

// Lend grants a peer's loan request from the unreserved part of this host's share,
// less reserve tokens that are not lent. It returns false if nothing can be lent.
func (l *Ledger) Lend(now time.Time, req share.LoanRequest, reserve int) (share.Loan, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[req.Key]
	if !ok {
		return share.Loan{}, false
	}
	a.allocation.Advance(now)
	// Twice the term covers the loan and the lender's extension for clock drift.
	spare := a.headroom(now.Add(2 * req.Term))
	return a.allocation.Lend(now, req, float64(int(spare)-reserve))
}

// AcceptLoan adds a loan that a peer granted. It returns false if this host did not
// request the loan or no longer waits for it.
func (l *Ledger) AcceptLoan(now time.Time, loan share.Loan) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[loan.Key]
	return ok && a.allocation.AcceptLoan(now, loan)
}

// LoanReturned ends a loan that the borrower returned.
func (l *Ledger) LoanReturned(now time.Time, target string, id share.LoanID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[target]; ok {
		a.allocation.LoanReturned(now, id)
	}
}

// ReturnIdleLoans ends the loans on the target that no reservation needs and returns
// their ids. The caller notifies the lenders.
func (l *Ledger) ReturnIdleLoans(now time.Time, target string) []share.LoanID {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[target]
	if !ok {
		return nil
	}
	a.allocation.Advance(now)
	unreserved := a.allocation.Available() - float64(a.reserved)
	var idle []share.LoanID
	for _, loan := range a.borrowedLoans() {
		if loan.amount > unreserved {
			continue
		}
		unreserved -= loan.amount
		idle = append(idle, loan.id)
		a.allocation.ReturnLoan(now, loan.id)
	}
	return idle
}

// borrowedLoan is a loan that this host has received, in tokens.
type borrowedLoan struct {
	id     share.LoanID
	amount float64
}

// borrowedLoans returns the loans in the order in which they were requested.
func (a *account) borrowedLoans() []borrowedLoan {
	var loans []borrowedLoan
	a.allocation.EachBorrowed(func(id share.LoanID, amount float64, _ time.Time) {
		loans = append(loans, borrowedLoan{id: id, amount: amount})
	})
	slices.SortFunc(loans, func(x, y borrowedLoan) int { return cmp.Compare(x.id.Seq, y.id.Seq) })
	return loans
}
