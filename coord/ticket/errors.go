package ticket

import (
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// MalformedError reports a text that cannot be decoded as a ticket.
type MalformedError struct {
	Reason string
}

// Error implements error; the message gives the reason and how to recover.
func (e *MalformedError) Error() string {
	return "ticket is malformed (" + e.Reason + "); send it exactly as it was issued, or take a new one"
}

// ForgedError reports a ticket that its named owner did not issue: the MAC does
// not match.
type ForgedError struct{}

// Error implements error; the message says how the caller can recover.
func (*ForgedError) Error() string {
	return "ticket was not issued by the owner that it names; send it exactly as it was issued, or take a new one"
}

// ExpiredError reports a ticket with a valid MAC that is past its expiry.
type ExpiredError struct {
	Expiry time.Time
}

// Error implements error; the message gives the expiry and how to recover.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("ticket expired at %s; take a new one", e.Expiry.UTC().Format(time.RFC3339))
}

// WrongOwnerError reports a ticket that names another process as its owner.
type WrongOwnerError struct {
	Owner identity.Incarnation
}

// Error implements error; the message gives the owner to forward the call to.
func (e *WrongOwnerError) Error() string {
	return fmt.Sprintf("ticket belongs to %s; forward the call there", e.Owner)
}
