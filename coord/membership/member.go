package membership

import (
	"slices"
	"time"
)

// member is the known state of one host or target. The lock of its shard guards it.
type member struct {
	kind   Kind
	id     string
	domain string

	listed          bool
	listedLeaving   bool
	unlistedSince   time.Time // when a newer list no longer contained it
	leavingRevision uint64    // newest list revision known to show it as leaving; 0 if none

	incarnation      string // the current incarnation
	timestamp        int64  // of the current incarnation, Unix milliseconds
	state            State  // of the current incarnation
	firstSeen        time.Time
	lastSeen         time.Time
	goneIncarnations []string // gone incarnations, oldest first

	refusedAt         int64 // newest refusal, Unix milliseconds
	refusalsClearedAt int64 // refusals up to this Unix time in milliseconds are invalid
	suspectedAt       int64 // newest suspicion, Unix milliseconds

	gossiped  bool // an incarnation was sent to peers or received from one
	updatedAt time.Time
}

// evalContext holds the inputs of a member's state that are not part of the member.
type evalContext struct {
	now      time.Time
	cfg      Config
	revision uint64 // of the current list of the member's kind
}

// mergeIncarnation merges one observation of an incarnation and reports whether anything
// changed that peers need to know.
func (m *member) mergeIncarnation(incarnation string, timestamp int64, state State, now time.Time) bool {
	if slices.Contains(m.goneIncarnations, incarnation) {
		return false
	}
	m.updatedAt = now
	if incarnation == m.incarnation {
		m.timestamp = max(m.timestamp, timestamp)
		if state <= m.state {
			return false
		}
		m.state = state
		return true
	}
	if m.incarnation != "" && !supersedes(timestamp, incarnation, m.timestamp, m.incarnation) {
		m.addGone(incarnation)
		return false
	}
	if m.incarnation != "" {
		m.addGone(m.incarnation)
	}
	m.incarnation, m.timestamp, m.state = incarnation, timestamp, state
	m.firstSeen, m.suspectedAt = now, 0
	return true
}

// supersedes reports whether incarnation a of a member is later than b. Equal timestamps are
// ordered by incarnation, so that every host decides the same.
func supersedes(timestampA int64, a string, timestampB int64, b string) bool {
	return timestampA > timestampB || (timestampA == timestampB && a > b)
}

// addGone records a gone incarnation and drops the oldest one if there are too many.
func (m *member) addGone(incarnation string) {
	m.goneIncarnations = append(m.goneIncarnations, incarnation)
	if len(m.goneIncarnations) > maxGoneIncarnations {
		m.goneIncarnations = slices.Delete(m.goneIncarnations, 0, 1)
	}
}

// applyListEntry merges the member's entry in a new list. A list lags by at most MaxListLag,
// so if it shows the member as leaving, it means a process first seen at least that long ago.
func (m *member) applyListEntry(e Entry, ec evalContext) {
	returned := m.listedLeaving || !m.unlistedSince.IsZero()
	if returned && !e.Leaving {
		m.refusalsClearedAt = ec.now.UnixMilli()
	}
	if !e.Leaving && m.leavingRevision <= ec.revision {
		m.leavingRevision = 0
	}
	if e.Leaving && (!m.listedLeaving || m.leavingRevision == 0) {
		m.leavingRevision = ec.revision
	}
	m.domain, m.listed, m.listedLeaving = e.Domain, true, e.Leaving
	m.unlistedSince, m.updatedAt = time.Time{}, ec.now
	m.applyListedLeaving(ec)
}

// markUnlisted records that a newer list no longer contains the member.
func (m *member) markUnlisted(now time.Time) {
	if m.listed {
		m.listed, m.listedLeaving, m.unlistedSince = false, false, now
	}
}

// applyListedLeaving marks the current incarnation as leaving if the list shows the member as
// leaving and the incarnation is old enough to be the one that the list means. It reports
// whether the state changed.
func (m *member) applyListedLeaving(ec evalContext) bool {
	listApplies := m.incarnation != "" && ec.now.Sub(m.firstSeen) >= ec.cfg.MaxListLag
	if !m.listedLeaving || !listApplies || m.state != Live {
		return false
	}
	m.state = Leaving
	return true
}

// effectiveState returns the state that decides whether the member gets new work.
func (m *member) effectiveState(ec evalContext) State {
	switch {
	case m.state == Gone, m.presumedGone(ec):
		return Gone
	case m.isLeaving(ec):
		return Leaving
	case m.isSuspected(ec), !m.listed:
		return Unknown
	}
	return Live
}

func (m *member) isLeaving(ec evalContext) bool {
	unlisted := !m.listed && !m.unlistedSince.IsZero()
	return m.state == Leaving || m.listedLeaving || unlisted || m.leavingRevision > ec.revision || m.hasActiveRefusal(ec)
}

// presumedGone reports whether the member has been unlisted, and not been seen by this
// process, for at least MaxListLag.
func (m *member) presumedGone(ec evalContext) bool {
	return !m.listed && !m.unlistedSince.IsZero() &&
		ec.now.Sub(m.unlistedSince) >= ec.cfg.MaxListLag && ec.now.Sub(m.lastSeen) >= ec.cfg.MaxListLag
}

func (m *member) hasActiveRefusal(ec evalContext) bool {
	return m.refusedAt > m.refusalsClearedAt && m.isRefusalValid(m.refusedAt, ec)
}

// isRefusalValid reports whether a refusal at the given Unix time in milliseconds is neither
// expired nor from a clock that is too far ahead.
func (m *member) isRefusalValid(refusedAt int64, ec evalContext) bool {
	age := ec.now.UnixMilli() - refusedAt
	return refusedAt > 0 && age < ec.cfg.RefusalTTL.Milliseconds() && age >= -ec.cfg.MaxListLag.Milliseconds()
}

func (m *member) isSuspected(ec evalContext) bool {
	return m.suspectedAt != 0 && ec.now.UnixMilli()-m.suspectedAt < ec.cfg.SuspicionTTL.Milliseconds()
}

// isIncarnationGone reports whether an incarnation was superseded, announced that it is gone,
// or is presumed gone.
func (m *member) isIncarnationGone(incarnation string, ec evalContext) bool {
	if slices.Contains(m.goneIncarnations, incarnation) {
		return true
	}
	if incarnation == m.incarnation && m.state == Gone {
		return true
	}
	return m.presumedGone(ec) && (m.incarnation == "" || incarnation == m.incarnation)
}

// isExchanged reports whether the member takes part in the anti-entropy exchange with peers:
// it is listed, or was within the last MaxListLag.
func (m *member) isExchanged(ec evalContext) bool {
	return m.listed || (!m.unlistedSince.IsZero() && ec.now.Sub(m.unlistedSince) < ec.cfg.MaxListLag)
}

// events returns the events that bring a peer up to date on the member.
func (m *member) events(ec evalContext) []Event {
	var events []Event
	if m.gossiped && m.incarnation != "" {
		events = append(events, m.incarnationEvent())
	}
	if m.leavingRevision > 0 {
		events = append(events, Event{Type: EventListedLeaving, Kind: m.kind, ID: m.id, Revision: m.leavingRevision})
	}
	if !m.isRefusalValid(m.refusedAt, ec) {
		return events
	}
	events = append(events, m.refusalEvent())
	if m.refusalsClearedAt > 0 {
		events = append(events, Event{Type: EventRefusalsCleared, Kind: m.kind, ID: m.id, Timestamp: m.refusalsClearedAt})
	}
	return events
}

func (m *member) refusalEvent() Event {
	return Event{Type: EventRefusal, Kind: m.kind, ID: m.id, Timestamp: m.refusedAt}
}

func (m *member) incarnationEvent() Event {
	return Event{
		Type: EventIncarnation, Kind: m.kind, ID: m.id,
		Incarnation: m.incarnation, Timestamp: m.timestamp, State: m.state,
	}
}

// canRemove reports whether the member is unlisted and was not updated for UnlistedTTL.
func (m *member) canRemove(ec evalContext) bool {
	return !m.listed && ec.now.Sub(m.updatedAt) >= ec.cfg.UnlistedTTL
}
