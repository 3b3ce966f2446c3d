package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
)

const (
	// Buckets is the number of parts into which a table's digest is split.
	Buckets = 64
	// maxPast bounds the gone incarnations that are remembered per member.
	maxPast = 8
	// maxNameBytes bounds ids and incarnations in events from peers.
	maxNameBytes = 256
)

// Defaults of Bounds.
const (
	DefaultListLag     = 30 * time.Second
	DefaultRefusalTTL  = 10 * time.Minute
	DefaultSuspectTTL  = time.Minute
	DefaultForgetAfter = time.Hour
	DefaultMaxMembers  = 32768
)

// Config limits what a Table believes and keeps. Zero values take the defaults.
type Config struct {
	ListLag     time.Duration // by which the published lists lag at most
	RefusalTTL  time.Duration // of a refusal by a member of unknown incarnation
	SuspectTTL  time.Duration // of a suspicion that is not renewed
	ForgetAfter time.Duration // of members off the lists, since they were last heard of
	MaxMembers  int           // listed members are always kept
}

func (b Config) withDefaults() Config {
	defaultTo(&b.ListLag, DefaultListLag)
	defaultTo(&b.RefusalTTL, DefaultRefusalTTL)
	defaultTo(&b.SuspectTTL, DefaultSuspectTTL)
	defaultTo(&b.ForgetAfter, DefaultForgetAfter)
	defaultTo(&b.MaxMembers, DefaultMaxMembers)
	return b
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type key struct {
	kind Kind
	id   string
}

// shard is one bucket of members under its own lock.
type shard struct {
	mu      sync.RWMutex
	members map[key]*member
	digest  uint64
	dirty   bool // digest is out of date
}

// Table is what one process knows of all members. It is safe for concurrent use.
type Table struct {
	clk       clock.Clock
	bounds    Config
	shards    [Buckets]shard
	revisions [KindTarget + 1]atomic.Uint64 // of the lists in force, by kind
	listMu    sync.Mutex                    // serialises new lists
	count     atomic.Int64
	version   atomic.Uint64 // grows with each change of a host
	view      atomic.Pointer[view]
	dropped   atomic.Uint64
	applied   atomic.Uint64
}

// New returns an empty table.
func New(clk clock.Clock, bounds Config) *Table {
	t := &Table{clk: clk, bounds: bounds.withDefaults()}
	for i := range t.shards {
		t.shards[i].members = make(map[key]*member)
	}
	return t
}

// ObserveHost notes direct contact with a host's process, which started at the
// given time of its own clock. It returns the events that peers should hear.
func (t *Table) ObserveHost(inc identity.Incarnation, started time.Time) []Event {
	return t.observe(HostEvent(inc, started, Live))
}

// AnnounceHost states that a host's process is leaving or gone. A process
// announces itself; what it announced can't be taken back.
func (t *Table) AnnounceHost(inc identity.Incarnation, started time.Time, state State) []Event {
	return t.observe(HostEvent(inc, started, state))
}

// ObserveTarget notes a report that a target made at a time of its own clock.
func (t *Table) ObserveTarget(id, incarnation string, reported time.Time, leaving bool) []Event {
	e := Event{
		Type: EventIncarnation, Kind: KindTarget, ID: id,
		Incarnation: incarnation, Timestamp: reported.UnixMilli(), State: Live,
	}
	if leaving {
		e.State = Leaving
	}
	return t.observe(e)
}

// RecordTargetRefusal notes that a target refused work since it is leaving, in an
// answer that doesn't name its incarnation.
func (t *Table) RecordTargetRefusal(id string) []Event {
	now := t.clk.Now()
	var events []Event
	t.update(key{KindTarget, id}, true, func(m *member, at moment) bool {
		if m.incarnation != "" && at.now.Sub(m.lastSeen) < t.bounds.ListLag {
			if !m.advance(m.incarnation, m.order, Leaving, now) {
				return false
			}
			m.shared = true
			events = append(events, m.incarnationEvent())
			return true
		}
		m.refused, m.touched = max(m.refused, now.UnixMilli(), m.clearedAt+1), now
		events = append(events, m.refusedEvent())
		return true
	})
	return events
}

// SuspectHost notes that this process can't reach a host. It returns the event to
// pass on, none if the suspicion is known and half of its time is left.
func (t *Table) SuspectHost(id string) []Event {
	var events []Event
	t.update(key{KindHost, id}, false, func(m *member, at moment) bool {
		now := at.now.UnixMilli()
		if m.isSuspected(at) && now-m.suspected < t.bounds.SuspectTTL.Milliseconds()/2 {
			return false
		}
		m.suspected = now
		events = append(events, Event{Type: EventSuspect, Kind: KindHost, ID: id, Incarnation: m.incarnation, Timestamp: now})
		return true
	})
	return events
}

// observe applies an observation of this process's own and returns it if it is news to peers.
func (t *Table) observe(e Event) []Event {
	if !e.valid() {
		return nil
	}
	news := false
	t.update(key{e.Kind, e.ID}, true, func(m *member, at moment) bool {
		changed := m.advance(e.Incarnation, e.Timestamp, e.State, at.now)
		if m.incarnation == e.Incarnation {
			m.lastSeen = at.now
			changed = changed || m.suspected != 0
			m.suspected = 0
		}
		bound := m.bindLeaving(at)
		news = (changed || bound) && (e.Kind == KindHost || m.shared || m.state != Live)
		m.shared = m.shared || news
		e = m.incarnationEvent()
		return changed || bound
	})
	if !news {
		return nil
	}
	return []Event{e}
}

// Apply merges events from a peer and returns those that were news here, to be passed on.
func (t *Table) Apply(events []Event) []Event {
	var news []Event
	for _, e := range events {
		if e.valid() && t.apply(e) {
			news = append(news, e)
		}
	}
	t.applied.Add(uint64(len(news)))
	return news
}

func (t *Table) apply(e Event) bool {
	news := false
	t.update(key{e.Kind, e.ID}, true, func(m *member, at moment) bool {
		shared := m.shared
		news = m.merge(e, at)
		return news || m.shared != shared
	})
	return news
}

// merge applies a peer's event and reports whether it was news.
func (m *member) merge(e Event, at moment) bool {
	switch e.Type {
	case EventIncarnation:
		changed := m.advance(e.Incarnation, e.Timestamp, e.State, at.now)
		learned := m.incarnation == e.Incarnation && !m.shared
		m.shared = true // a peer that knows less has to hear of the current one
		return changed || learned
	case EventList:
		if e.Revision <= max(at.revision, m.listMark) {
			return false
		}
		m.listMark, m.touched = e.Revision, at.now
		return true
	case EventRefused:
		if e.Timestamp <= m.refused || !m.refusalCounts(e.Timestamp, at) {
			return false
		}
		m.refused, m.touched = e.Timestamp, at.now
		return true
	case EventSettled:
		if e.Timestamp <= m.clearedAt || !m.refusalCounts(e.Timestamp, at) {
			return false
		}
		m.clearedAt, m.touched = e.Timestamp, at.now
		return true
	case EventSuspect:
		contact := at.now.Sub(m.lastSeen) < at.bounds.SuspectTTL/2
		if contact || e.Incarnation != m.incarnation || e.Timestamp <= m.suspected {
			return false
		}
		m.suspected = e.Timestamp
		return m.isSuspected(at)
	}
	return false
}

// update runs change on a member under its shard's lock. A missing member is created if
// create is set and there is room.
func (t *Table) update(k key, create bool, change func(*member, moment) bool) {
	s := t.shard(k)
	at := t.moment(k.kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[k]
	if m == nil {
		if !create {
			return
		}
		if t.count.Load() >= int64(t.bounds.MaxMembers) {
			t.dropped.Add(1)
			return
		}
		m = t.addLocked(s, k, at.now)
	}
	if change(m, at) {
		s.dirty = true
		if k.kind == KindHost {
			t.version.Add(1)
		}
	}
}

func (t *Table) addLocked(s *shard, k key, now time.Time) *member {
	m := &member{kind: k.kind, id: k.id, touched: now}
	s.members[k] = m
	t.count.Add(1)
	return m
}

func (t *Table) shard(k key) *shard {
	return &t.shards[(xxhash.Sum64String(k.id)+uint64(k.kind))%Buckets]
}

func (t *Table) moment(kind Kind) moment {
	return moment{now: t.clk.Now(), bounds: t.bounds, revision: t.revisions[kind].Load()}
}
