package membership

import (
	"slices"
	"time"
)

// member is what is known of one host or target. Its shard's lock guards it.
type member struct {
	kind   Kind
	id     string
	domain string

	listed      bool
	listLeaving bool
	offSince    time.Time // when a newer list no longer had it
	listMark    uint64    // newest list revision known to show it as leaving

	incarnation string // the current one
	order       int64
	state       State // of the current incarnation
	firstSeen   time.Time
	lastSeen    time.Time
	past        []string // gone incarnations, oldest first

	refused   int64 // time of the newest refusal, Unix milliseconds
	clearedAt int64 // refusals until then are settled
	suspected int64 // time of the newest suspicion, Unix milliseconds

	shared  bool // peers were told of an incarnation, or told us
	touched time.Time
}

// moment is what a member's state depends on beside itself.
type moment struct {
	now      time.Time
	bounds   Config
	revision uint64 // of the list of the member's kind
}

// advance merges one observation of an incarnation and reports whether something changed
// that peers should hear.
func (m *member) advance(incarnation string, order int64, state State, now time.Time) bool {
	if slices.Contains(m.past, incarnation) {
		return false
	}
	m.touched = now
	if incarnation == m.incarnation {
		m.order = max(m.order, order)
		if state <= m.state {
			return false
		}
		m.state = state
		return true
	}
	if m.incarnation != "" && !newer(order, incarnation, m.order, m.incarnation) {
		m.bury(incarnation)
		return false
	}
	if m.incarnation != "" {
		m.bury(m.incarnation)
	}
	m.incarnation, m.order, m.state = incarnation, order, state
	m.firstSeen, m.suspected = now, 0
	return true
}

// newer orders incarnations of one member; ties are broken in the same way everywhere.
func newer(orderA int64, a string, orderB int64, b string) bool {
	return orderA > orderB || (orderA == orderB && a > b)
}

// bury remembers a gone incarnation, the last few only.
func (m *member) bury(incarnation string) {
	m.past = append(m.past, incarnation)
	if len(m.past) > maxPast {
		m.past = slices.Delete(m.past, 0, 1)
	}
}

// list takes over what a list says. A list lags by at most the bound, so a
// process that was first seen longer ago than that is the one that the list calls leaving.
func (m *member) list(e Entry, at moment) {
	back := m.listLeaving || !m.offSince.IsZero()
	if back && !e.Leaving {
		m.clearedAt = at.now.UnixMilli()
	}
	if !e.Leaving && m.listMark <= at.revision {
		m.listMark = 0
	}
	if e.Leaving && (!m.listLeaving || m.listMark == 0) {
		m.listMark = at.revision
	}
	m.domain, m.listed, m.listLeaving = e.Domain, true, e.Leaving
	m.offSince, m.touched = time.Time{}, at.now
	m.bindLeaving(at)
}

// unlist notes that a newer list no longer has the member.
func (m *member) unlist(now time.Time) {
	if m.listed {
		m.listed, m.listLeaving, m.offSince = false, false, now
	}
}

// bindLeaving makes the list's word stick to the incarnation that it is about.
func (m *member) bindLeaving(at moment) bool {
	known := m.incarnation != "" && at.now.Sub(m.firstSeen) >= at.bounds.ListLag
	if !m.listLeaving || !known || m.state != Live {
		return false
	}
	m.state = Leaving
	return true
}

// effective is the member's state for new work.
func (m *member) effective(at moment) State {
	switch {
	case m.state == Gone, m.goneFromList(at):
		return Gone
	case m.leaving(at):
		return Leaving
	case m.isSuspected(at), !m.listed:
		return Unknown
	}
	return Live
}

func (m *member) leaving(at moment) bool {
	dropped := !m.listed && !m.offSince.IsZero()
	return m.state == Leaving || m.listLeaving || dropped || m.listMark > at.revision || m.isRefused(at)
}

// goneFromList reports whether newer lists have not had the member for longer than
// lists lag, and nobody here saw it since.
func (m *member) goneFromList(at moment) bool {
	return !m.listed && !m.offSince.IsZero() &&
		at.now.Sub(m.offSince) >= at.bounds.ListLag && at.now.Sub(m.lastSeen) >= at.bounds.ListLag
}

func (m *member) isRefused(at moment) bool {
	return m.refused > m.clearedAt && m.refusalCounts(m.refused, at)
}

// refusalCounts reports whether a refusal at the given time is not too old, and not from a
// clock that is far ahead.
func (m *member) refusalCounts(refused int64, at moment) bool {
	age := at.now.UnixMilli() - refused
	return refused > 0 && age < at.bounds.RefusalTTL.Milliseconds() && age >= -at.bounds.ListLag.Milliseconds()
}

func (m *member) isSuspected(at moment) bool {
	return m.suspected != 0 && at.now.UnixMilli()-m.suspected < at.bounds.SuspectTTL.Milliseconds()
}

// isGone reports whether an incarnation is known to be gone.
func (m *member) isGone(incarnation string, at moment) bool {
	if slices.Contains(m.past, incarnation) {
		return true
	}
	if incarnation == m.incarnation && m.state == Gone {
		return true
	}
	return m.goneFromList(at) && (m.incarnation == "" || incarnation == m.incarnation)
}

// exchanged reports whether the member takes part in the exchange with peers: those
// that lists lately had.
func (m *member) exchanged(at moment) bool {
	return m.listed || (!m.offSince.IsZero() && at.now.Sub(m.offSince) < at.bounds.ListLag)
}

// events returns what peers should know of the member.
func (m *member) events(at moment) []Event {
	var events []Event
	if m.shared && m.incarnation != "" {
		events = append(events, m.incarnationEvent())
	}
	if m.listMark > 0 {
		events = append(events, Event{Type: EventList, Kind: m.kind, ID: m.id, Revision: m.listMark})
	}
	if !m.refusalCounts(m.refused, at) {
		return events
	}
	events = append(events, m.refusedEvent())
	if m.clearedAt > 0 {
		events = append(events, Event{Type: EventSettled, Kind: m.kind, ID: m.id, Timestamp: m.clearedAt})
	}
	return events
}

func (m *member) refusedEvent() Event {
	return Event{Type: EventRefused, Kind: m.kind, ID: m.id, Timestamp: m.refused}
}

func (m *member) incarnationEvent() Event {
	return Event{
		Type: EventIncarnation, Kind: m.kind, ID: m.id,
		Incarnation: m.incarnation, Timestamp: m.order, State: m.state,
	}
}

// forgettable reports whether nothing needs the member any more.
func (m *member) forgettable(at moment) bool {
	return !m.listed && at.now.Sub(m.touched) >= at.bounds.ForgetAfter
}
