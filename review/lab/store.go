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

const maxWatchWait = 30 * time.Second

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Removed   bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	env  *environment
	addr string

	mu       sync.Mutex
	revision int64
	era      int64
	items    map[string]storeItem
	history  []storeItem
	away     bool
	changed  chan struct{} // closed and replaced at each change
	returned chan struct{} // closed when the store comes back
}

func newStore(env *environment) (*store, error) {
	s := &store{env: env, revision: 100, era: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
	addr, _, err := env.serve(s)
	s.addr = addr
	return s, err
}

// put writes an item. Its return is the ack.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // a value of this program cannot be encoded
	}
	s.write(storeItem{Key: key, Value: raw})
}

func (s *store) remove(key string) { s.write(storeItem{Key: key, Removed: true}) }

func (s *store) write(it storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	it.CreateRev = it.Revision
	if old, ok := s.items[it.Key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.history = append(s.history, it)
	s.items[it.Key] = it
	if it.Removed {
		delete(s.items, it.Key)
	}
	s.env.rec.write("store: era %d, revision %d acknowledged: %s %s", s.era, it.Revision, it.Key, shortText(string(it.Value)))
	s.notify()
}

const maxShortText = 220

func shortText(text string) string {
	if len(text) > maxShortText {
		return text[:maxShortText] + ".."
	}
	return text
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyOfStore is a copy from which the store may come back.
type copyOfStore struct {
	revision int64
	items    map[string]storeItem
	history  []storeItem
}

func (s *store) copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.env.rec.write("store: a copy is made at revision %d", s.revision)
	return copyOfStore{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// goAway makes the store silent: calls in progress and new ones get no response.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.env.rec.write("store: away, at era %d, revision %d", s.era, s.revision)
	s.away = true
	s.returned = make(chan struct{})
	s.notify()
}

// comeBack makes the store answer again, from a copy.
func (s *store) comeBack(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.history = c.revision, c.items, c.history
	s.away = false
	close(s.returned)
	s.env.rec.write("store: back, era %d, from the copy at revision %d", s.era, s.revision)
	s.notify()
}

// ServeHTTP serves reads and watches. A call that was in progress when the store went away
// is never answered.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	if away {
		<-r.Context().Done()
		return
	}
	w.Header().Set(headerEra, strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case rangePath:
		s.serveRange(w, r)
	case watchPath:
		s.serveWatch(w, r, era)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("path_prefix")) && key > r.FormValue("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	s.env.rec.write("store: range answered at era %d, revision %d: %d items", s.era, s.revision, len(items))
	s.reply(w, map[string]any{"items": items, "truncated": false, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, era int64) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := maxWatchWait
	if ms, err := strconv.Atoi(r.FormValue("wait_ms")); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	end := time.After(wait)
	for {
		answered, changed := s.tryWatch(w, r, era, after, false)
		if answered {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			s.tryWatch(w, r, era, after, true)
			return
		case <-changed:
		}
	}
}

// tryWatch answers a watch if there is a change, or if its time is over.
func (s *store) tryWatch(w http.ResponseWriter, r *http.Request, era, after int64, over bool) (bool, chan struct{}) {
	s.mu.Lock()
	if s.away || s.era != era {
		s.mu.Unlock()
		<-r.Context().Done() // a channel on which a response is lost returns nothing further
		return true, nil
	}
	defer s.mu.Unlock()
	if after > s.revision {
		s.env.rec.write("store: watch after %d at revision %d: 410", after, s.revision)
		w.WriteHeader(http.StatusGone)
		return true, nil
	}
	events := []storeItem{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("path_prefix")) {
			events = append(events, it)
		}
	}
	if len(events) == 0 && !over {
		return false, s.changed
	}
	if len(events) > 0 {
		s.env.rec.write("store: watch after %d answered at era %d, revision %d: %d events", after, s.era, s.revision, len(events))
	}
	s.reply(w, map[string]any{"events": events, "store_revision": s.revision})
	return true, nil
}

func (s *store) reply(w http.ResponseWriter, body any) {
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.env.rec.write("store: response not sent: %v", err)
	}
}
