package ledger

import (
	"fmt"
	"time"
)

// FullError reports that the ledger has no capacity for a new ticket. Tickets
// that were issued before keep their reservations.
type FullError struct {
	Entries int
	Bytes   int
}

// Error implements error; the message gives the limits and how to recover.
func (e *FullError) Error() string {
	return fmt.Sprintf("ledger is full (limits: %d entries, %d bytes); retry later or through another host", e.Entries, e.Bytes)
}

// MismatchError reports a ticket that was first used for a different call.
type MismatchError struct{}

// Error implements error; the message says how the caller can recover.
func (*MismatchError) Error() string {
	return "ticket belongs to another method, path or body; repeat the call exactly as it was first sent, or take a new ticket for a different call"
}

// ExpiredError reports a ticket that expired before its call ran; the call will
// never run.
type ExpiredError struct {
	Expiry time.Time
}

// Error implements error; the message gives the expiry and how to recover.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("ticket expired at %s and its call never ran; take a new one", e.Expiry.UTC().Format(time.RFC3339))
}

// VoidError reports a ticket whose earlier use was reported to the caller as not
// run: the call never ran and never will.
type VoidError struct{}

// Error implements error; the message says how the caller can recover.
func (*VoidError) Error() string {
	return "ticket is void because its call was reported as not run; take a new one"
}

// RecordExpiredError reports a ticket that is past its expiry and the retention,
// so that it is no longer known whether its call ran.
type RecordExpiredError struct {
	Expiry time.Time
}

// Error implements error; the message gives the expiry and how to recover.
func (e *RecordExpiredError) Error() string {
	return fmt.Sprintf("ticket expired at %s and its record is no longer kept; look the call up in the service's own records, then take a new ticket", e.Expiry.UTC().Format(time.RFC3339))
}

// ClosedError reports a sealed ledger, which starts no more calls. The ticket's
// call never ran and never will.
type ClosedError struct{}

// Error implements error; the message says how the caller can recover.
func (*ClosedError) Error() string {
	return "ledger is closed and the ticket's call never ran; take a new ticket from another host"
}

// UnknownTicketError reports a text whose hash differs from the one that a
// closed ledger holds for the sequence number: the text was altered, and no call
// ran under it.
type UnknownTicketError struct{}

// Error implements error; the message says how the caller can recover.
func (*UnknownTicketError) Error() string {
	return "ticket was not issued by its owner in this form; send it exactly as it was issued, or take a new one"
}

// StateError reports an entry that is not in the state that a transition
// requires: the caller has a bug, or the ledger was frozen in the meantime.
type StateError struct {
	Seq  uint64
	Have State
	Want State
}

// Error implements error; the message gives both states.
func (e *StateError) Error() string {
	return fmt.Sprintf("ticket %d is %s in the ledger, not %s; do not send the call", e.Seq, e.Have, e.Want)
}
