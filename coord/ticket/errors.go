package ticket

import (
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// MalformedError says that a text is not a ticket at all.
type MalformedError struct {
	Reason string
}

// Error names the reason and the remedy.
func (e *MalformedError) Error() string {
	return "ticket is malformed (" + e.Reason + "); send it exactly as it was issued, or take a new one"
}

// ForgedError says that the owner never issued the text.
type ForgedError struct{}

// Error names the remedy.
func (*ForgedError) Error() string {
	return "ticket was not issued by the owner that it names; send it exactly as it was issued, or take a new one"
}

// ExpiredError says that a genuine ticket is past its expiry.
type ExpiredError struct {
	Expiry time.Time
}

// Error names the expiry and the remedy.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("ticket expired at %s; take a new one", e.Expiry.UTC().Format(time.RFC3339))
}

// WrongOwnerError says that the ticket names another process.
type WrongOwnerError struct {
	Owner identity.Incarnation
}

// Error names the owner and the remedy.
func (e *WrongOwnerError) Error() string {
	return fmt.Sprintf("ticket belongs to %s; forward the call there", e.Owner)
}
