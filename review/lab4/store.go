package main

import (
	"encoding/json"
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
}

func newStore() *store {
	return &store{revision: 100, items: make(map[string]storeItem), changed: make(chan struct{}), cut: make(chan struct{})}
}

// put writes a value and returns when the store has accepted it.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(storeItem{Key: key, Value: raw}, false)
}

// remove removes a key. With cutWatches, the watches that wait are cut instead of answered.
func (s *store) remove(key string, cutWatches bool) {
	s.write(storeItem{Key: key, Removed: true}, cutWatches)
}

func (s *store) write(it storeItem, cutWatches bool) {
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
		return // a new watch finds the change in the history
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves ranges and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names["era"], "1")
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
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
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
