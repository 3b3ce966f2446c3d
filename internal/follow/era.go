package follow

import (
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// goneMemory is how long a host remembers targets that have left, in case the store comes
// back from a copy that still lists them.
const goneMemory = time.Minute

// Era returns the era of the current view, or 0 if the store names none.
func (f *Follower) Era() Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

func (f *Follower) isOtherEra(era Era) bool { return f.Era().differs(era) }

// beginEra adopts the era of a response and reports whether it is a listing of another era
// than before. Revisions of the two are not comparable, so what is known keeps none, and what
// this host knows to have left stays away although the copy may list it. The caller holds mu.
func (f *Follower) beginEra(resp *Response) bool {
	other := f.era.differs(resp.Era)
	if resp.Era != 0 {
		f.era = resp.Era
	}
	if !other {
		return false
	}
	f.log.Warn("view taken over into another era of the store", zap.Int64("era", int64(resp.Era)), zap.Int64("revision_before", int64(f.revision)), zap.Int64("revision", int64(resp.Revision)))
	f.revision = 0
	for _, state := range f.targets {
		state.revision = 0
	}
	f.evacuations.forgetRevisions()
	now := time.Now()
	for i := range resp.Changes {
		if target := resp.Changes[i].Target; target != nil && f.hasLeft(target.TargetKey, now) {
			leaving := *target
			leaving.Leaving = true
			resp.Changes[i].Target = &leaving
		}
	}
	return true
}

// hasLeft reports whether this incarnation of a target is known to be leaving or gone.
func (f *Follower) hasLeft(key catalog.TargetKey, now time.Time) bool {
	if state, known := f.targets[key.ID]; known && state.target.TargetKey == key {
		return state.target.Leaving
	}
	at, gone := f.gone[key]
	return gone && now.Sub(at) < goneMemory
}

// remove forgets a target that has left.
func (f *Follower) remove(id string, now time.Time) {
	for key, at := range f.gone {
		if now.Sub(at) >= goneMemory {
			delete(f.gone, key)
		}
	}
	f.gone[f.targets[id].target.TargetKey] = now
	delete(f.targets, id)
}
