package ledger

import (
	"fmt"
	"time"
)

// FullError says that no place is left for a new ticket. Tickets that were
// issued before keep theirs.
type FullError struct {
	Entries int
	Bytes   int
}

// Error names the bounds and the remedy.
func (e *FullError) Error() string {
	return fmt.Sprintf("ledger is full (bounds: %d entries, %d bytes); ask again later or through another host", e.Entries, e.Bytes)
}

// MismatchError says that the ticket was first used for another call.
type MismatchError struct{}

// Error names the remedy.
func (*MismatchError) Error() string {
	return "ticket belongs to another method, path or body; repeat the call exactly as it was first sent, or take a new ticket for a different call"
}

// ExpiredError says that the ticket never ran and never will.
type ExpiredError struct {
	Expiry time.Time
}

// Error names the expiry and the remedy.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("ticket expired unused at %s and was never run; take a new one", e.Expiry.UTC().Format(time.RFC3339))
}

// VoidError says that an earlier use of the ticket was told as not run: the
// ticket never ran and never will.
type VoidError struct{}

// Error names the remedy.
func (*VoidError) Error() string {
	return "ticket was used for a call that was not run, and is void; take a new one"
}

// RecordExpiredError says that the ticket is older than the ledger's memory, so
// that nobody knows any more whether its call ran.
type RecordExpiredError struct {
	Expiry time.Time
}

// Error names the expiry and the remedy.
func (e *RecordExpiredError) Error() string {
	return fmt.Sprintf("ticket expired at %s and its record is gone; look the call up in the service's own records, then take a new ticket", e.Expiry.UTC().Format(time.RFC3339))
}

// ClosedError says that the ledger starts no more calls. The ticket was never
// run and never will be.
type ClosedError struct{}

// Error names the remedy.
func (*ClosedError) Error() string {
	return "ledger is closed and the ticket was never run; take a new ticket from another host"
}

// UnknownTicketError says that a closed ledger holds the ticket's sequence
// number with another text: the text was altered and never ran.
type UnknownTicketError struct{}

// Error names the remedy.
func (*UnknownTicketError) Error() string {
	return "ticket was not issued by its owner in this form; send it exactly as it was issued, or take a new one"
}

// StateError says that an entry is not in the state that a transition needs:
// a fault in the program that uses the ledger, or a ledger frozen meanwhile.
type StateError struct {
	Seq  uint64
	Have State
	Want State
}

// Error names both states.
func (e *StateError) Error() string {
	return fmt.Sprintf("ticket %d is %s in the ledger, not %s; do not send the call", e.Seq, e.Have, e.Want)
}
