package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bookWork      = 60 * time.Millisecond
	streamEvents  = 32
	streamPause   = 40 * time.Millisecond
	chatPrefill   = 290 * time.Millisecond
	reviewPrefill = 1400 * time.Millisecond
	heartbeatTime = 1200 * time.Millisecond
)

// run is one request that a runner began to run.
type run struct {
	id, runner, method, uri, tenant string
	at                              time.Time
	sound                           bool // the runner is sound
}

// runLog holds what all runners have run. It is safe for concurrent use.
type runLog struct {
	rec *record

	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.mu.Unlock()
	l.rec.write("run: %s at %s: %s %s, tenant %q", r.id, r.runner, r.method, r.uri, r.tenant)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// runner is a stand-in for a runner of one of the services.
type runner struct {
	env     *environment
	id      string
	service string
	slots   int
	addr    string
	server  *http.Server
	born    int64
	seq     atomic.Int64

	// fault answers a request in place of a sound answer. It returns false if it leaves the
	// request alone.
	fault  func(w http.ResponseWriter, r *http.Request) bool
	refuse atomic.Bool // all requests get a 503 that says that they did not run
}

func startRunner(env *environment, id, service string, slots int) (*runner, error) {
	r := &runner{env: env, id: id, service: service, slots: slots, born: time.Now().UnixMilli()}
	var err error
	r.addr, r.server, err = env.serve(r)
	return r, err
}

// register writes the runner's entry.
func (r *runner) register(state string, coldLeft time.Duration) {
	r.env.store.put(serversPrefix+r.id, fields{
		"service": r.service, "address": r.addr, "zone": zone, "version": "1.4", "slots": r.slots, "state": state,
		"cold_left_ms": coldLeft.Milliseconds(), "seq": r.seq.Add(1), "born": r.born,
	})
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get(headerExpectInstance); expected != "" && expected != r.id {
		w.Header().Set(headerInstanceID, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/health":
		w.Header().Set(headerInstanceID, r.id)
		return
	case "/report":
		fmt.Fprintf(w, `{"phase":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":1,"kv_used":0,"kv_total":232000,"handles":0,"born":%d}`, r.born)
		return
	case "/order":
		fmt.Fprint(w, `{"free":200000}`)
		return
	}
	r.serveRequest(w, req)
}

func (r *runner) serveRequest(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(headerAttemptID)
	if r.refuse.Load() {
		w.Header().Set(headerAttemptID, id)
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return // the host has given up
	}
	r.env.runs.add(run{
		id: id, runner: r.id, method: req.Method, uri: req.RequestURI, tenant: req.Header.Get(headerTenant), at: time.Now(), sound: r.fault == nil,
	})
	if r.fault != nil && r.fault(w, req) {
		return
	}
	w.Header().Set(headerAttemptID, id)
	w.Header().Set(headerSignature, "seal."+r.id+"."+id)
	if r.service == modelService {
		r.stream(w, req, id)
		return
	}
	if !pause(req, bookWork) {
		return
	}
	fmt.Fprintf(w, "booked %s", id)
}

func (r *runner) stream(w http.ResponseWriter, req *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0 // from the first event
	}
	prefill := chatPrefill
	if strings.HasPrefix(req.URL.Path, reviewPath) {
		prefill = reviewPrefill
	}
	if !pause(req, prefill) {
		return
	}
	for n := last + 1; n <= streamEvents; n++ {
		if !pause(req, streamPause) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if err := control.Flush(); err != nil {
			return // the host has given up
		}
	}
}

// pause reports whether the time has passed and the host still waits.
func pause(req *http.Request, d time.Duration) bool {
	select {
	case <-req.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// startFleet starts and registers sound runners of both services.
func startFleet(env *environment, models, books int) (modelRunners, bookRunners []*runner, err error) {
	for i := range models + books {
		id, service, slots := fmt.Sprintf("i-llm-%d", i), modelService, modelSlots
		if i >= models {
			id, service, slots = fmt.Sprintf("i-book-%d", i-models), bookService, bookSlots
		}
		r, err := startRunner(env, id, service, slots)
		if err != nil {
			return nil, nil, err
		}
		if i < models {
			modelRunners = append(modelRunners, r)
		} else {
			bookRunners = append(bookRunners, r)
		}
	}
	return modelRunners, bookRunners, nil
}
