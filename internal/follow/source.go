// Package follow maintains an entry host's view of the published configuration
// and targets. It watches a store to which it has read-only access, tracks the
// age of its newest confirmed view and never returns to an older configuration.
// Targets whose registration expired while the store was unreachable are kept
// for a grace period, in which they may register again.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// Revision is the store's version number, which grows with each change of an era.
type Revision int64

// Era tells apart the histories of the store: it rises when the store comes back from a copy,
// and revisions are given out again. 0 if the store names none.
type Era int64

// differs reports whether two eras are known to be different.
func (e Era) differs(other Era) bool { return e != 0 && other != 0 && e != other }

// ErrCompacted is returned by Source.Watch when the store no longer has all
// changes since the given revision. The caller has to call List again.
var ErrCompacted = errors.New("the store has compacted the requested history: list everything again")

// Entry is one change in the store's encoding. Hosts pass it to each other
// unchanged; only a Source can decode it.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
}

// Evacuation says whether the targets of a failure domain are to get no new requests,
// as an operator has asked.
type Evacuation struct {
	Domain string
	Lifted bool // the operator has taken it back
}

// Change is a decoded Entry. Exactly one of Config, Evacuation and TargetID is set; none
// is set if the entry cannot be decoded.
type Change struct {
	Entry    Entry
	Revision Revision
	Config   *catalog.Config
	// Evacuation is the start or the end of an evacuation.
	Evacuation *Evacuation
	TargetID   string
	// Target is the registration; nil if it was removed or describes no usable
	// target.
	Target *catalog.Target
}

// Response is the result of a List or Watch.
type Response struct {
	Revision Revision // the revision to watch from next
	Era      Era      // of all revisions here
	Changes  []Change
	// Age is how old the response's view already was; 0 if it came from the store
	// itself.
	Age time.Duration
}

// Source reads the store. List and Watch return when ctx ends at the latest.
type Source interface {
	// List returns the complete current state.
	List(ctx context.Context) (Response, error)
	// Watch returns the changes after a revision as soon as there are any, or none
	// once wait has passed.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Response, error)
	// Decode decodes an entry that came from another host.
	Decode(Entry) Change
}
