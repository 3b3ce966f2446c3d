package follow

import (
	"time"

	"go.uber.org/zap"
)

// evacuationState is what is known of one failure domain's evacuation.
type evacuationState struct {
	lifted   bool     // the evacuation has ended; kept so that older changes are ignored
	revision Revision // of the last change
	// expireAt is when the grace period of an evacuation that a complete listing lacked
	// ends; zero if it is listed.
	expireAt time.Time
}

// evacuations holds the evacuations by failure domain.
type evacuations map[string]*evacuationState

// active reports whether the targets of a failure domain get no new requests.
func (e evacuations) active(domain string) bool {
	state := e[domain]
	return state != nil && !state.lifted
}

// doubtUnlisted starts the grace period of the evacuations that a complete listing lacks.
// The store may have come back from a copy that is older than the operator's request, who
// then writes it again.
func (e evacuations) doubtUnlisted(listed map[string]struct{}, now time.Time) {
	for domain, state := range e {
		if _, ok := listed[domain]; ok || state.lifted || !state.expireAt.IsZero() {
			continue
		}
		state.expireAt = now.Add(removalGracePeriod)
	}
}

// forgetRevisions makes any later change apply: revisions of another era are not comparable.
func (e evacuations) forgetRevisions() {
	for _, state := range e {
		state.revision = 0
	}
}

// applyEvacuation applies the start or the end of an evacuation and reports whether the
// view changes with it.
func (f *Follower) applyEvacuation(e Evacuation, revision Revision) bool {
	state, known := f.evacuations[e.Domain]
	if known && revision < state.revision && state.expireAt.IsZero() {
		return false
	}
	wasActive := f.evacuations.active(e.Domain)
	f.evacuations[e.Domain] = &evacuationState{lifted: e.Lifted, revision: revision}
	if wasActive == !e.Lifted {
		return false
	}
	f.logEvacuation(e.Domain, e.Lifted, revision)
	return true
}

// expireEvacuations ends the evacuations whose grace period has ended and reports whether
// there were any.
func (f *Follower) expireEvacuations(now time.Time) bool {
	changed := false
	for domain, state := range f.evacuations {
		if state.lifted || state.expireAt.IsZero() || now.Before(state.expireAt) {
			continue
		}
		delete(f.evacuations, domain)
		f.logEvacuation(domain, true, f.revision)
		changed = true
	}
	return changed
}

func (f *Follower) logEvacuation(domain string, lifted bool, revision Revision) {
	message := "failure domain evacuated"
	if lifted {
		message = "evacuation of a failure domain lifted"
	}
	f.log.Info(message, zap.String("domain", domain), zap.Int64("revision", int64(revision)), zap.Duration("view_age", f.Age()))
}

// EvacuatedDomains returns the number of failure domains whose targets get no new requests.
func (f *Follower) EvacuatedDomains() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for domain := range f.evacuations {
		if f.evacuations.active(domain) {
			count++
		}
	}
	return count
}
