package hints

import (
	"time"

	"github.com/plantainrun/plantainrun/coord/share"
	"github.com/plantainrun/plantainrun/internal/hints/hintspb"
)

func encodeAsk(a share.LoanRequest) *hintspb.Ask {
	return &hintspb.Ask{
		Borrower: a.ID.Borrower, Seq: a.ID.Seq, Round: a.RequestSeq, Key: a.Key, Amount: a.Amount, TermUs: a.Term.Microseconds(),
	}
}

func decodeAsk(m *hintspb.Ask) share.LoanRequest {
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
