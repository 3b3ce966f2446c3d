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
	// Buckets is the number of buckets into which a table and its digest are split.
	Buckets = 64
	// maxGoneIncarnations limits the gone incarnations that are kept per member.
	maxGoneIncarnations = 8
	// maxNameBytes limits the length of ids and incarnations in events from peers.
	maxNameBytes = 256
)

// Defaults of Config.
const (
	DefaultMaxListLag   = 30 * time.Second
	DefaultRefusalTTL   = 10 * time.Minute
	DefaultSuspicionTTL = time.Minute
	DefaultUnlistedTTL  = time.Hour
	DefaultMaxMembers   = 32768
)

// Config sets how long a Table relies on facts and how much it stores. Fields that are zero
// take their defaults.
type Config struct {
	MaxListLag   time.Duration // longest time by which published lists lag behind
	RefusalTTL   time.Duration // lifetime of a refusal by a member of unknown incarnation
	SuspicionTTL time.Duration // lifetime of a suspicion that is not renewed
	UnlistedTTL  time.Duration // how long an unlisted member is kept after its last update
	MaxMembers   int           // limit for members learned from events; listed members are always stored
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxListLag, DefaultMaxListLag)
	setDefault(&c.RefusalTTL, DefaultRefusalTTL)
	setDefault(&c.SuspicionTTL, DefaultSuspicionTTL)
	setDefault(&c.UnlistedTTL, DefaultUnlistedTTL)
	setDefault(&c.MaxMembers, DefaultMaxMembers)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type memberKey struct {
	kind Kind
	id   string
}

// shard holds the members of one bucket, with its own lock.
type shard struct {
	mu      sync.RWMutex
	members map[memberKey]*member
	digest  uint64
	dirty   bool // digest has to be computed again
}

// Table holds one process's knowledge of all members. It is safe for concurrent use.
type Table struct {
	clk         clock.Clock
	cfg         Config
	shards      [Buckets]shard
	revisions   [KindTarget + 1]atomic.Uint64 // of the current lists, by kind
	listMu      sync.Mutex                    // serialises list updates
	memberCount atomic.Int64
	version     atomic.Uint64 // incremented by each change of a host, invalidates view
	view        atomic.Pointer[view]
	dropped     atomic.Uint64
	applied     atomic.Uint64
}

// New returns a table without members, which reads the time from clk.
func New(clk clock.Clock, cfg Config) *Table {
	t := &Table{clk: clk, cfg: cfg.withDefaults()}
	for i := range t.shards {
		t.shards[i].members = make(map[memberKey]*member)
	}
	return t
}

// ObserveHost records direct contact with a host's process, which started at the
// given time of its own clock. It returns the events to gossip to peers.
func (t *Table) ObserveHost(inc identity.Incarnation, started time.Time) []Event {
	return t.observe(HostEvent(inc, started, Live))
}

// AnnounceHost records that a host's process is leaving or gone. Only the process
// itself announces this, and it cannot revoke the announcement. It returns the events
// to gossip to peers.
func (t *Table) AnnounceHost(inc identity.Incarnation, started time.Time, state State) []Event {
	return t.observe(HostEvent(inc, started, state))
}

// ObserveTarget records a report that a target made at the given time of its own clock.
// It returns the events to gossip to peers.
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

// RecordTargetRefusal records that a target refused work because it is leaving, in a
// response that does not name its incarnation. If the target was seen within the last
// MaxListLag, its current incarnation is marked as leaving. It returns the events to
// gossip to peers.
func (t *Table) RecordTargetRefusal(id string) []Event {
	now := t.clk.Now()
	var events []Event
	t.update(memberKey{KindTarget, id}, true, func(m *member, ec evalContext) bool {
		if m.incarnation != "" && ec.now.Sub(m.lastSeen) < t.cfg.MaxListLag {
			if !m.mergeIncarnation(m.incarnation, m.timestamp, Leaving, now) {
				return false
			}
			m.gossiped = true
			events = append(events, m.incarnationEvent())
			return true
		}
		m.refusedAt, m.updatedAt = max(m.refusedAt, now.UnixMilli(), m.refusalsClearedAt+1), now
		events = append(events, m.refusalEvent())
		return true
	})
	return events
}

// SuspectHost records that this process cannot reach a host. It returns the event to
// gossip to peers, or none if the host is already suspected and more than half of
// SuspicionTTL is left.
func (t *Table) SuspectHost(id string) []Event {
	var events []Event
	t.update(memberKey{KindHost, id}, false, func(m *member, ec evalContext) bool {
		now := ec.now.UnixMilli()
		if m.isSuspected(ec) && now-m.suspectedAt < t.cfg.SuspicionTTL.Milliseconds()/2 {
			return false
		}
		m.suspectedAt = now
		events = append(events, Event{Type: EventSuspicion, Kind: KindHost, ID: id, Incarnation: m.incarnation, Timestamp: now})
		return true
	})
	return events
}

// observe merges an observation made by this process and returns it if peers need to know it.
func (t *Table) observe(e Event) []Event {
	if !e.valid() {
		return nil
	}
	publish := false
	t.update(memberKey{e.Kind, e.ID}, true, func(m *member, ec evalContext) bool {
		changed := m.mergeIncarnation(e.Incarnation, e.Timestamp, e.State, ec.now)
		if m.incarnation == e.Incarnation {
			m.lastSeen = ec.now
			changed = changed || m.suspectedAt != 0
			m.suspectedAt = 0
		}
		markedLeaving := m.applyListedLeaving(ec)
		publish = (changed || markedLeaving) && (e.Kind == KindHost || m.gossiped || m.state != Live)
		m.gossiped = m.gossiped || publish
		e = m.incarnationEvent()
		return changed || markedLeaving
	})
	if !publish {
		return nil
	}
	return []Event{e}
}

// Apply merges events from a peer and returns those that were new to the table, which are to
// be gossiped further.
func (t *Table) Apply(events []Event) []Event {
	var accepted []Event
	for _, e := range events {
		if e.valid() && t.apply(e) {
			accepted = append(accepted, e)
		}
	}
	t.applied.Add(uint64(len(accepted)))
	return accepted
}

func (t *Table) apply(e Event) bool {
	accepted := false
	t.update(memberKey{e.Kind, e.ID}, true, func(m *member, ec evalContext) bool {
		gossiped := m.gossiped
		accepted = m.merge(e, ec)
		return accepted || m.gossiped != gossiped
	})
	return accepted
}

// merge merges an event from a peer and reports whether it is to be gossiped further.
func (m *member) merge(e Event, ec evalContext) bool {
	switch e.Type {
	case EventIncarnation:
		changed := m.mergeIncarnation(e.Incarnation, e.Timestamp, e.State, ec.now)
		newlyGossiped := m.incarnation == e.Incarnation && !m.gossiped
		m.gossiped = true // peers with an older incarnation have to receive the current one
		return changed || newlyGossiped
	case EventListedLeaving:
		if e.Revision <= max(ec.revision, m.leavingRevision) {
			return false
		}
		m.leavingRevision, m.updatedAt = e.Revision, ec.now
		return true
	case EventRefusal:
		if e.Timestamp <= m.refusedAt || !m.isRefusalValid(e.Timestamp, ec) {
			return false
		}
		m.refusedAt, m.updatedAt = e.Timestamp, ec.now
		return true
	case EventRefusalsCleared:
		if e.Timestamp <= m.refusalsClearedAt || !m.isRefusalValid(e.Timestamp, ec) {
			return false
		}
		m.refusalsClearedAt, m.updatedAt = e.Timestamp, ec.now
		return true
	case EventSuspicion:
		recentContact := ec.now.Sub(m.lastSeen) < ec.cfg.SuspicionTTL/2
		if recentContact || e.Incarnation != m.incarnation || e.Timestamp <= m.suspectedAt {
			return false
		}
		m.suspectedAt = e.Timestamp
		return m.isSuspected(ec)
	}
	return false
}

// update calls change on a member while it holds the lock of the member's shard. A missing
// member is created if create is set and the table has fewer than MaxMembers.
func (t *Table) update(k memberKey, create bool, change func(*member, evalContext) bool) {
	s := t.shard(k)
	ec := t.evalContext(k.kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[k]
	if m == nil {
		if !create {
			return
		}
		if t.memberCount.Load() >= int64(t.cfg.MaxMembers) {
			t.dropped.Add(1)
			return
		}
		m = t.addLocked(s, k, ec.now)
	}
	if change(m, ec) {
		s.dirty = true
		if k.kind == KindHost {
			t.version.Add(1)
		}
	}
}

func (t *Table) addLocked(s *shard, k memberKey, now time.Time) *member {
	m := &member{kind: k.kind, id: k.id, updatedAt: now}
	s.members[k] = m
	t.memberCount.Add(1)
	return m
}

func (t *Table) shard(k memberKey) *shard {
	return &t.shards[(xxhash.Sum64String(k.id)+uint64(k.kind))%Buckets]
}

func (t *Table) evalContext(kind Kind) evalContext {
	return evalContext{now: t.clk.Now(), cfg: t.cfg, revision: t.revisions[kind].Load()}
}
