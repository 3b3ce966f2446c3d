// Package confservice is the client of the platform's configuration service. The
// service can only be read and watched.
package confservice

import (
	"fmt"
	"strings"
	"time"
)

// The keys of published values.
const (
	KeyHosts   = "hosts"
	KeyTargets = "targets"
	KeyPlan    = "plan"
	// rulesPrefix comes before a partner's name.
	rulesPrefix = "rules/"
)

// MaxValueBytes is the largest body that the service holds.
const MaxValueBytes = 1 << 20

// RulesKey returns the key of a partner's rules file.
func RulesKey(partner string) string { return rulesPrefix + partner }

// RulesPartner returns the partner whose rules key is given; "" and false: the
// key is of another kind.
func RulesPartner(key string) (string, bool) {
	partner, ok := strings.CutPrefix(key, rulesPrefix)
	if !ok {
		return "", false
	}
	return partner, true
}

// Value is one published value.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Body     []byte `json:"body"`
}

// Change says that a key has a revision. Revisions count the changes of all
// keys together.
type Change struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// WatchResponse is the answer to a watch.
type WatchResponse struct {
	Changes []Change `json:"changes"`
}

// WatchRequest is what a watch asks for.
type WatchRequest struct {
	// After is the revision above which a change is of interest.
	After uint64
	Keys  []string
	// Wait is how long the service may wait for a change; zero: answer at once.
	Wait time.Duration
}

// NotFoundError tells that nothing is published under a key.
type NotFoundError struct{ Key string }

// Error names the key and the remedy.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("nothing is published as %q; publish it, or remove it from this host's settings", e.Key)
}

// OlderError tells that the service answered with an older revision than it
// gave before.
type OlderError struct {
	Key            string
	Revision, Seen uint64
}

// Error names the revisions and the remedy.
func (e *OlderError) Error() string {
	return fmt.Sprintf("the configuration service answered %q at revision %d after revision %d; the newer one stays in force, check the service's replicas",
		e.Key, e.Revision, e.Seen)
}

// UnavailableError tells that the service gave no usable answer.
type UnavailableError struct {
	Reason string
	Cause  error
}

// Error names the reason and the remedy.
func (e *UnavailableError) Error() string {
	return "the configuration service gave no usable answer: " + e.Reason + "; check its address and health, this host tries again by itself"
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
