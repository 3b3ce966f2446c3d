package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one key of the store, or its removal.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{} // closed at each change
	cut      chan struct{} // closed to cut the watches that wait
	era      int64
	away     bool
}

// storeCopy is a copy of a store.
type storeCopy struct {
	revision int64
	items    map[string]storeItem
	history  []storeItem
}

// copyNow takes a copy.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// leave makes the store answer nothing but 503, and cuts the watches.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.cut)
	s.cut = make(chan struct{})
}

// comeBack makes the store come back from a copy.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
}

func newStore() *store {
	return &store{revision: 100, era: 1, items: make(map[string]storeItem), changed: make(chan struct{}), cut: make(chan struct{})}
}

// put writes a value and returns its revision when the store has accepted it.
func (s *store) put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(storeItem{Key: key, Value: raw}, false)
}

// remove removes a key. With cutWatches, the watches that wait are cut instead of answered.
func (s *store) remove(key string, cutWatches bool) {
	s.write(storeItem{Key: key, Removed: true}, cutWatches)
}

func (s *store) write(it storeItem, cutWatches bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	s.history = append(s.history, it)
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	if cutWatches {
		close(s.cut)
		s.cut = make(chan struct{})
		return it.Revision // a new watch finds the change in the history
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return it.Revision
}

// ServeHTTP serves ranges and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	w.Header().Set(names["era"], strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case names["range"]:
		s.serveRange(w, r)
	case names["watch"]:
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("path_prefix")) && key > r.FormValue("after") {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		changed, cut, revision := s.changed, s.cut, s.revision
		w.Header().Set(names["era"], strconv.FormatInt(s.era, 10))
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || waited {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-cut:
			panic(http.ErrAbortHandler) // closes the channel without an answer
		case <-changed:
		case <-end:
			waited = true
		}
	}
}
