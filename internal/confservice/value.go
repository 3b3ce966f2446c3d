// Package confservice is the client of the platform's configuration service. The
// service can only be read and watched.
package confservice

import (
	"fmt"
	"strings"
	"time"
)

// Keys of published values.
const (
	KeyHosts   = "hosts"
	KeyTargets = "targets"
	KeyPlan    = "plan"
	// rulesPrefix is followed by a partner's name.
	rulesPrefix = "rules/"
)

// MaxValueBytes is the size limit of a published body.
const MaxValueBytes = 1 << 20

// RulesKey returns the key of a partner's rules file.
func RulesKey(partner string) string { return rulesPrefix + partner }

// RulesPartner returns the partner of a rules key. It returns false for a key of
// another kind.
func RulesPartner(key string) (string, bool) {
	partner, ok := strings.CutPrefix(key, rulesPrefix)
	if !ok {
		return "", false
	}
	return partner, true
}

// Value is a published value with its revision.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Body     []byte `json:"body"`
}

// Change is the latest revision of a key. Revisions increase with every change of
// any key.
type Change struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// WatchResponse is the response to a watch.
type WatchResponse struct {
	Changes []Change `json:"changes"`
}

// WatchRequest selects the changes that a watch returns.
type WatchRequest struct {
	// After is the revision after which changes are returned.
	After uint64
	Keys  []string
	// Wait is how long the service may wait for a change; with zero it responds
	// immediately.
	Wait time.Duration
}

// NotFoundError is returned for a key without a published value.
type NotFoundError struct{ Key string }

// Error returns a message with the key and the remedy.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("nothing is published as %q; publish it, or remove it from this host's settings", e.Key)
}

// StaleRevisionError is returned if the service responded with an older revision
// than it did before.
type StaleRevisionError struct {
	Key            string
	Revision, Seen uint64
}

// Error returns a message with both revisions and the remedy.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("the configuration service answered %q at revision %d after revision %d; the newer one stays in force, check the service's replicas",
		e.Key, e.Revision, e.Seen)
}

// UnavailableError is returned if the service gave no usable response.
type UnavailableError struct {
	Reason string
	Cause  error
}

// Error returns a message with the reason and the remedy.
func (e *UnavailableError) Error() string {
	return "the configuration service gave no usable answer: " + e.Reason + "; check its address and health, this host tries again by itself"
}

// Unwrap returns the cause, such as a transport error; it may be nil.
func (e *UnavailableError) Unwrap() error { return e.Cause }
