// Package confservice is a client of the platform's configuration service. Its
// API is read-only: values are read and watched by key.
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
	// rulesPrefix and the partner's name form the key of a rules file.
	rulesPrefix = "rules/"
)

// MaxValueBytes is the largest value that the service stores, in bytes.
const MaxValueBytes = 1 << 20

// RulesKey returns the key of a partner's rules file.
func RulesKey(partner string) string { return rulesPrefix + partner }

// ParseRulesKey returns the partner of a rules key, or "" and false if key is
// not the key of a rules file.
func ParseRulesKey(key string) (string, bool) {
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

// Change reports the new revision of a key. One counter of revisions is shared by
// all keys.
type Change struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// WatchResponse is the response body of a watch.
type WatchResponse struct {
	Changes []Change `json:"changes"`
}

// WatchRequest holds the parameters of a watch.
type WatchRequest struct {
	// After selects changes with a higher revision.
	After uint64
	Keys  []string
	// Wait is how long the service may wait for a change. With zero it responds at
	// once.
	Wait time.Duration
}

// NotFoundError reports that no value is published under a key.
type NotFoundError struct{ Key string }

// Error returns a message with the key and the remedy.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("nothing is published as %q; publish it, or remove it from this host's settings", e.Key)
}

// StaleRevisionError reports that the service returned Revision of a key after
// it had returned the higher revision Seen.
type StaleRevisionError struct {
	Key            string
	Revision, Seen uint64
}

// Error returns a message with the revisions and the remedy.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("the configuration service answered %q at revision %d after revision %d; the newer one stays in force, check the service's replicas",
		e.Key, e.Revision, e.Seen)
}

// UnavailableError reports that the service returned no usable response.
type UnavailableError struct {
	Reason string
	Cause  error
}

// Error returns a message with the reason and the remedy.
func (e *UnavailableError) Error() string {
	return "the configuration service gave no usable answer: " + e.Reason + "; check its address and health, this host tries again by itself"
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
