// Package follow keeps an entry host's view of what is published current. It
// watches a store that can only be read, knows how old its newest confirmed
// view is, never goes back to an older configuration, and keeps targets whose
// registration lapsed while the store was away until it is clear that they
// are gone.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// Revision counts the changes of the store.
type Revision int64

// ErrCompacted is returned by Source.Watch when the store no longer knows
// the changes since the given revision; list everything again.
var ErrCompacted = errors.New("the store has dropped the history asked for: list everything again")

// Entry is one change as it is stored. Only a Source can read it; hosts pass
// it on to each other.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
}

// Change is one change of the store. Exactly one of Config and TargetID is set;
// a change that cannot be read carries neither.
type Change struct {
	Entry    Entry
	Revision Revision
	Config   *catalog.Config
	TargetID string
	// Target is the registration, nil when it was removed or names no usable target.
	Target *catalog.Target
}

// Response is an answer of the store.
type Response struct {
	Revision Revision // watch from here
	Changes  []Change
	// Age is how old the answer was when it was given; 0 from the store itself.
	Age time.Duration
}

// Source reads the store. Its methods return when ctx ends at the latest.
type Source interface {
	// List returns everything that is published.
	List(ctx context.Context) (Response, error)
	// Watch returns the changes after a revision, or none after wait.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Response, error)
	// Decode reads an entry that another host has passed on.
	Decode(Entry) Change
}
