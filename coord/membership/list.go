package membership

import "slices"

// SetHosts replaces the host list. A list whose revision is not higher than the current one
// is ignored. It returns the events to gossip to peers.
func (t *Table) SetHosts(revision uint64, hosts []Entry) []Event {
	return t.applyList(KindHost, revision, hosts)
}

// SetTargets replaces the target list in the same way as SetHosts.
func (t *Table) SetTargets(revision uint64, targets []Entry) []Event {
	return t.applyList(KindTarget, revision, targets)
}

// Revisions returns the revisions of the current host list and target list.
func (t *Table) Revisions() (hosts, targets uint64) {
	return t.revisions[KindHost].Load(), t.revisions[KindTarget].Load()
}

func (t *Table) applyList(kind Kind, revision uint64, entries []Entry) []Event {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	if revision <= t.revisions[kind].Load() {
		return nil
	}
	ec := evalContext{now: t.clk.Now(), cfg: t.cfg, revision: revision}
	byShard := make(map[*shard][]Entry)
	for _, e := range entries {
		s := t.shard(memberKey{kind, e.ID})
		byShard[s] = append(byShard[s], e)
	}
	var events []Event
	for i := range t.shards {
		s := &t.shards[i]
		events = append(events, t.applyListToShard(s, kind, byShard[s], ec)...)
	}
	t.revisions[kind].Store(revision) // stored last: until all shards have the new list, a leaving revision above the old list's stays in effect
	t.version.Add(1)
	return events
}

func (t *Table) applyListToShard(s *shard, kind Kind, entries []Entry, ec evalContext) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dirty = true
	listed := make(map[string]bool, len(entries))
	var events []Event
	for _, e := range entries {
		listed[e.ID] = true
		m := s.members[memberKey{kind, e.ID}]
		if m == nil {
			m = t.addLocked(s, memberKey{kind, e.ID}, ec.now)
		}
		wasLeaving, state, cleared := m.listedLeaving, m.state, m.refusalsClearedAt
		m.applyListEntry(e, ec)
		m.gossiped = m.gossiped || m.state != state
		if m.listedLeaving != wasLeaving || m.state != state || m.refusalsClearedAt != cleared {
			events = append(events, m.events(ec)...)
		}
	}
	for k, m := range s.members {
		if k.kind == kind && !listed[k.id] {
			m.markUnlisted(ec.now)
		}
	}
	return slices.Clip(events)
}

// Sweep applies the changes that depend on time. It marks the incarnations that the lists show
// as leaving, has digests and views recomputed without expired facts, and removes members that
// have been unlisted for too long. It is meant to run every few seconds, and returns the events
// to gossip to peers.
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
		ec := t.evalContext(k.kind)
		if m.applyListedLeaving(ec) {
			m.gossiped = true
			events = append(events, m.incarnationEvent())
		}
		if m.canRemove(ec) {
			delete(s.members, k)
			t.memberCount.Add(-1)
		}
	}
	return events
}
