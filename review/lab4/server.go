package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server began to run.
type run struct {
	id, server, target string // target is the request line's
	at                 time.Time
}

// server is a server of the platform: a plain one, or an engine if it has memory.
type server struct {
	id, service, zone string
	slots             int
	memory            int           // tokens; 0 for a plain server
	work              time.Duration // until the answer, or between two events
	events            int
	fleet             *fleet
	addr              string
	leaving           atomic.Bool
	turnAway          atomic.Int64    // how many requests to turn away
	retryAfter        string          // named to them, in seconds
	poison            string          // a request with this body crashes the server
	restarted         func(s *server) // is called as the server is back
	born              int64
	silence           atomic.Pointer[chan struct{}] // closed at the end of a silence; nil for none

	http     *http.Server
	crashing atomic.Bool

	mu      sync.Mutex
	tickets map[string]*ticket
}

// firstToken is how long a server reads a prompt of the middle size until it begins to write.
const firstToken = 1200 * time.Millisecond

// ticket is memory that is set aside.
type ticket struct {
	id      string
	tokens  int
	expires time.Time
	users   map[string]func() // ends a request in progress, by its id
}

// fleet holds all servers and what they have run.
type fleet struct {
	rec    *record
	byAddr map[string]*server

	mu      sync.Mutex
	runs    []run
	shared  []string    // tickets that two requests used at the same time
	crashes []time.Time // of servers
}

// crashTime returns when the n-th crash was.
func (f *fleet) crashTime(n int) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < n {
		return time.Time{}, false
	}
	return f.crashes[n-1], true
}

var errNoCrash = errors.New("fewer servers crashed than the case needs")

func (f *fleet) addRun(r run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
	f.rec.add("server %s runs request %s: %s", r.server, r.id, r.target)
}

func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

// firstBorn is when servers have started, in Unix milliseconds.
const firstBorn = 1790000000000

// entry is the server's entry in the store.
func (s *server) entry(address, state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "cold_left_ms": 0, "born": firstBorn + s.born, "seq": 4,
	}
}

// start begins to serve on a free address.
func (s *server) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = listener.Addr().String()
	s.tickets = make(map[string]*ticket)
	s.fleet.byAddr[s.addr] = s
	s.serve(listener)
	return nil
}

func (s *server) serve(listener net.Listener) {
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
}

// crash ends all that the server does. It is back after some seconds, as another lifetime.
func (s *server) crash(id string) {
	if !s.crashing.CompareAndSwap(false, true) {
		return
	}
	s.fleet.mu.Lock()
	s.fleet.crashes = append(s.fleet.crashes, time.Now())
	s.fleet.mu.Unlock()
	s.fleet.rec.add("request %s crashes server %s", id, s.id)
	_ = s.http.Close()
	time.AfterFunc(crashTime, func() {
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			s.fleet.rec.add("server %s is not back: %v", s.id, err)
			return
		}
		s.born += crashTime.Milliseconds()
		s.serve(listener)
		s.crashing.Store(false)
		s.fleet.rec.add("server %s is back", s.id)
		s.restarted(s)
	})
}

// crashTime is how long a server is away that has crashed.
const crashTime = 3 * time.Second

// ServeHTTP serves requests, orders and questions.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if silence := s.silence.Load(); silence != nil {
		<-*silence
	}
	if s.leaving.Load() {
		w.Header().Set(names["leaving"], "1")
	}
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != s.id {
		w.Header().Set(names["instance"], s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set(names["instance"], s.id)
	case "/report":
		s.serveReport(w)
	case "/order":
		s.serveOrder(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["attempt"])
	w.Header().Set(names["attempt"], id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	end := make(chan struct{})
	var once sync.Once
	stop := func() { once.Do(func() { close(end) }) }
	if s.turnAway.Add(-1) >= 0 {
		s.fleet.rec.add("server %s turns request %s away with 503 and Retry-After: %s", s.id, id, s.retryAfter)
		w.Header().Set(names["notrun"], "1")
		w.Header().Set("Retry-After", s.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	done, missing := s.useTickets(id, r.Header.Get(names["helpers"]), stop)
	defer done()
	if missing != "" {
		s.fleet.rec.add("server %s rejects request %s: no ticket at %s", s.id, id, missing)
		w.Header().Set(names["fault"], missing)
		w.Header().Set(names["notrun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.fleet.addRun(run{id: id, server: s.id, target: r.Method + " " + r.RequestURI, at: time.Now()})
	if s.poison != "" && string(body) == s.poison {
		time.Sleep(firstToken)
		s.crash(id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names["seal"], "seal-of-"+s.id)
	if s.memory > 0 {
		s.stream(w, r, id, end)
		return
	}
	if s.pause(r, end) {
		if silence := s.silence.Load(); silence != nil {
			<-*silence
		}
		fmt.Fprintf(w, "done by %s", s.id)
	}
}

// fallSilent answers nothing for a while and goes on then.
func (s *server) fallSilent(d time.Duration) {
	silence := make(chan struct{})
	s.fleet.rec.add("server %s falls silent for %s", s.id, d)
	s.silence.Store(&silence)
	time.Sleep(d)
	s.silence.Store(nil)
	close(silence)
	s.fleet.rec.add("server %s goes on", s.id)
}

// pause works for a step and reports whether the request goes on.
func (s *server) pause(r *http.Request, end <-chan struct{}) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-end:
		panic(http.ErrAbortHandler)
	case <-time.After(s.work):
		return true
	}
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, end <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	defer func() {
		select {
		case <-end:
			s.fleet.rec.add("server %s cuts request %s off: its memory is gone", s.id, id)
		default:
			s.fleet.rec.add("server %s ends with request %s", s.id, id)
		}
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= s.events; i++ {
		if !s.pause(r, end) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// useTickets marks the tickets of a request as used until done is called. missing is the server
// that lacks one. A ticket that ends meanwhile stops the request.
func (s *server) useTickets(id, helpers string, stop func()) (done func(), missing string) {
	var used []func()
	done = func() {
		for _, f := range used {
			f()
		}
	}
	if helpers == "" {
		return done, ""
	}
	for _, item := range strings.Split(helpers, ",") {
		addr, name, hasTicket := strings.Cut(item, "/")
		other := s.fleet.byAddr[addr]
		if other == nil {
			return done, addr
		}
		if !hasTicket {
			continue
		}
		f, ok := other.use(name, id, stop)
		if !ok {
			return done, addr
		}
		used = append(used, f)
	}
	return done, ""
}

func (s *server) use(name, id string, stop func()) (done func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	t := s.tickets[name]
	if t == nil {
		return nil, false
	}
	key := id + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	if len(t.users) > 0 {
		s.fleet.mu.Lock()
		s.fleet.shared = append(s.fleet.shared, name)
		s.fleet.mu.Unlock()
		s.fleet.rec.add("server %s: a second request uses ticket %s, which one uses already", s.id, name)
	}
	t.users[key] = stop
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(t.users, key)
	}, true
}

// expire ends the tickets whose time is over. The caller holds mu.
func (s *server) expire() {
	for name, t := range s.tickets {
		if time.Now().After(t.expires) {
			s.drop(name)
		}
	}
}

// drop ends a ticket and cuts off the requests that use it. The caller holds mu.
func (s *server) drop(name string) {
	t := s.tickets[name]
	if t == nil {
		return
	}
	delete(s.tickets, name)
	for _, stop := range t.users {
		stop()
	}
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	list := []map[string]any{}
	used := 0
	for _, t := range s.tickets {
		state := "held"
		if len(t.users) > 0 {
			state = "used"
		}
		used += t.tokens
		list = append(list, map[string]any{"id": t.id, "tokens": t.tokens, "state": state, "age_ms": 1})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "colocated", "busy": false, "seq": 1, "queued": 0, "running": 0,
		"kv_used": used, "kv_total": s.memory, "handles": 0, "tickets": list,
	})
}

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
		HoldMS    int    `json:"hold_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch order.Operation {
	case "reserve":
		free := s.memory
		for name, t := range s.tickets {
			if name != order.ID {
				free -= t.tokens
			}
		}
		if order.Tokens > free {
			w.WriteHeader(http.StatusConflict)
			return
		}
		t := s.tickets[order.ID]
		if t == nil {
			t = &ticket{id: order.ID, users: make(map[string]func())}
			s.tickets[order.ID] = t
		}
		t.tokens, t.expires = order.Tokens, time.Now().Add(time.Duration(order.HoldMS)*time.Millisecond)
		s.fleet.rec.add("server %s sets %d tokens aside for ticket %s", s.id, order.Tokens, order.ID)
		_ = json.NewEncoder(w).Encode(map[string]any{"free": free - order.Tokens})
	case "release":
		s.fleet.rec.add("server %s releases ticket %s", s.id, order.ID)
		s.drop(order.ID)
		_ = json.NewEncoder(w).Encode(map[string]any{"free": s.memory})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}
