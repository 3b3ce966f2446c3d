package membership

import "slices"

// SetHosts puts a host list in force. A list whose revision is not above the one in force
// changes nothing. It returns the events that peers should hear.
func (t *Table) SetHosts(revision uint64, hosts []Entry) []Event {
	return t.setList(KindHost, revision, hosts)
}

// SetTargets puts a target list in force, like SetHosts.
func (t *Table) SetTargets(revision uint64, targets []Entry) []Event {
	return t.setList(KindTarget, revision, targets)
}

// Revisions returns the revisions of the host list and of the target list in force.
func (t *Table) Revisions() (hosts, targets uint64) {
	return t.revisions[KindHost].Load(), t.revisions[KindTarget].Load()
}

func (t *Table) setList(kind Kind, revision uint64, entries []Entry) []Event {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	if revision <= t.revisions[kind].Load() {
		return nil
	}
	at := moment{now: t.clk.Now(), bounds: t.bounds, revision: revision}
	byShard := make(map[*shard][]Entry)
	for _, e := range entries {
		s := t.shard(key{kind, e.ID})
		byShard[s] = append(byShard[s], e)
	}
	var events []Event
	for i := range t.shards {
		s := &t.shards[i]
		events = append(events, t.setShard(s, kind, byShard[s], at)...)
	}
	t.revisions[kind].Store(revision) // last: until then older marks keep members out of use
	t.version.Add(1)
	return events
}

func (t *Table) setShard(s *shard, kind Kind, entries []Entry, at moment) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dirty = true
	listed := make(map[string]bool, len(entries))
	var events []Event
	for _, e := range entries {
		listed[e.ID] = true
		m := s.members[key{kind, e.ID}]
		if m == nil {
			m = t.addLocked(s, key{kind, e.ID}, at.now)
		}
		wasLeaving, state, cleared := m.listLeaving, m.state, m.clearedAt
		m.list(e, at)
		m.shared = m.shared || m.state != state
		if m.listLeaving != wasLeaving || m.state != state || m.clearedAt != cleared {
			events = append(events, m.events(at)...)
		}
	}
	for k, m := range s.members {
		if k.kind == kind && !listed[k.id] {
			m.unlist(at.now)
		}
	}
	return slices.Clip(events)
}

// Sweep lets time take effect: it binds what lists say of leaving members, ends
// what expired and forgets members off the lists. It is meant to run every few seconds.
func (t *Table) Sweep() []Event {
	var events []Event
	for i := range t.shards {
		events = append(events, t.sweepShard(&t.shards[i])...)
	}
	t.version.Add(1)
	return events
}

func (t *Table) sweepShard(s *shard) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dirty = true
	var events []Event
	for k, m := range s.members {
		at := t.moment(k.kind)
		if m.bindLeaving(at) {
			m.shared = true
			events = append(events, m.incarnationEvent())
		}
		if m.forgettable(at) {
			delete(s.members, k)
			t.count.Add(-1)
		}
	}
	return events
}
