package follow

import "slices"

// maxHistory is the number of changes kept to answer other hosts.
const maxHistory = 512

// history holds the newest changes, for hosts that do not read the store
// themselves.
type history struct {
	entries       []Entry
	completeAfter Revision      // entries holds all changes after this revision
	changed       chan struct{} // closed at the next change
}

// record adds the changes of a response. A complete response replaces the history.
func (h *history) record(resp Response, complete bool) {
	if complete {
		h.entries = nil
		h.completeAfter = resp.Revision
		return
	}
	for _, c := range resp.Changes {
		h.entries = append(h.entries, c.Entry)
	}
	if extra := len(h.entries) - maxHistory; extra > 0 {
		h.completeAfter = h.entries[extra-1].Revision
		h.entries = append([]Entry(nil), h.entries[extra:]...)
	}
	if len(resp.Changes) > 0 {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// changesSince returns the changes after a revision, or false if the history does
// not reach back that far. A value is left out if a newer value of its key
// follows. A removal does not replace the value before it, because that value
// tells whether the target had announced that it was leaving.
func (h *history) changesSince(after Revision) ([]Entry, bool) {
	if after < h.completeAfter {
		return nil, false
	}
	var newest []Entry
	replaced := make(map[string]struct{})
	for _, e := range slices.Backward(h.entries) {
		if e.Revision <= after {
			break
		}
		if _, ok := replaced[e.Key]; ok && !e.Removed {
			continue
		}
		if !e.Removed {
			replaced[e.Key] = struct{}{}
		}
		newest = append(newest, e)
	}
	slices.Reverse(newest)
	return newest, true
}

// Delta holds the store's changes after a revision, as one host passes them to
// another.
type Delta struct {
	Entries   []Entry
	Revision  Revision
	Era       Era
	AgeMillis int64 // age of the sender's view, in milliseconds
}

// ChangesSince returns the changes after a revision of an era and the age of the view, or
// false if this host does not know all of them, also because it knows another era.
func (f *Follower) ChangesSince(after Revision, era Era) (Delta, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries, ok := f.history.changesSince(after)
	if !ok || f.revision < after || f.era.differs(era) {
		return Delta{}, false
	}
	return Delta{Entries: entries, Revision: f.revision, Era: f.era, AgeMillis: f.Age().Milliseconds() + 1}, true
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.changed
}
