package hints

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/hints/hintspb"
)

func encodeLoanRequest(req share.LoanRequest) *hintspb.Ask {
	return &hintspb.Ask{
		Borrower: req.ID.Borrower, Seq: req.ID.Seq, Round: req.RequestSeq, Key: req.Key, Amount: req.Amount, TermUs: req.Term.Microseconds(),
	}
}

func decodeLoanRequest(m *hintspb.Ask) share.LoanRequest {
	return share.LoanRequest{
		ID:         share.LoanID{Borrower: m.GetBorrower(), Seq: m.GetSeq()},
		RequestSeq: m.GetRound(), Key: m.GetKey(), Amount: m.GetAmount(), Term: time.Duration(m.GetTermUs()) * time.Microsecond,
	}
}

func encodeLoan(l share.Loan) *hintspb.Loan {
	return &hintspb.Loan{Borrower: l.ID.Borrower, Seq: l.ID.Seq, Round: l.RequestSeq, Key: l.Key, Amount: l.Amount}
}

func decodeLoan(m *hintspb.Loan) share.Loan {
	return share.Loan{ID: share.LoanID{Borrower: m.GetBorrower(), Seq: m.GetSeq()}, RequestSeq: m.GetRound(), Key: m.GetKey(), Amount: m.GetAmount()}
}
