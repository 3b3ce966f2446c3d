package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/platform/standin"
)

// callerKey is the key of the only tenant.
const callerKey = "key-of-school"

// arrival is a request that has reached a target.
type arrival struct {
	id, path string
	at       time.Time
}

// target is a plain target that keeps what it ran.
type target struct {
	id, zone, service string
	delay             time.Duration
	born              int64
	header            http.Header // of its answers, beside those that the protocol wants
	address           string      // where it listens; that of server if empty
	server            *httptest.Server

	mu   sync.Mutex
	runs []arrival
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire["instance"], t.id)
	if want := r.Header.Get(wire["expect"]); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its sender has left
	}
	id := r.Header.Get(wire["attempt"])
	t.record(arrival{id: id, path: r.RequestURI, at: time.Now()})
	for name, values := range t.header {
		w.Header()[name] = values
	}
	w.Header().Set(wire["attempt"], id)
	w.Header().Set(wire["seal"], "seal-of-"+t.id)
	time.Sleep(t.delay)
	fmt.Fprintf(w, "done by %s: %d bytes", t.id, len(body))
}

// ran returns the runs of a request.
func (t *target) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, run := range t.runs {
		if run.id == id {
			n++
		}
	}
	return n
}

// ran returns the runs of a request at all targets.
func (f *fleet) ran(id string) int {
	n := 0
	for _, t := range f.targets {
		n += t.ran(id)
	}
	return n
}

// fleet is a store and plain targets. Hosts that are to lose their way to the targets have a
// view of the store of their own, which names proxies before them.
type fleet struct {
	targets []*target
	views   []*view
}

// view is the store as some hosts see it.
type view struct {
	store   *standin.Store
	server  *httptest.Server
	addr    string
	proxies map[string]*standin.Proxy // by target id; nil if the hosts reach the targets themselves
}

// newFleet starts targets and, for each entry of proxied, a view of the store.
func newFleet(count int, delay time.Duration, proxied ...bool) (*fleet, error) {
	f := &fleet{}
	for i := range count {
		t := &target{id: fmt.Sprint("order-", i+1), zone: zones[i%len(zones)], service: "orders", delay: delay, born: time.Now().UnixMilli(), header: make(http.Header)}
		t.server = httptest.NewServer(t)
		f.targets = append(f.targets, t)
	}
	for _, behind := range proxied {
		v := &view{store: standin.NewStore()}
		v.server = httptest.NewServer(v.store)
		v.addr = strings.TrimPrefix(v.server.URL, "http://")
		if behind {
			v.proxies = make(map[string]*standin.Proxy)
			for _, t := range f.targets {
				p, err := standin.NewProxy(t.addr())
				if err != nil {
					return nil, err
				}
				v.proxies[t.id] = p
			}
		}
		f.views = append(f.views, v)
	}
	f.put(wire["config"], json.RawMessage(configText))
	for _, t := range f.targets {
		f.register(t, "ready")
	}
	return f, nil
}

func (t *target) addr() string {
	if t.address != "" {
		return t.address
	}
	return strings.TrimPrefix(t.server.URL, "http://")
}

// record records a run.
func (t *target) record(run arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, run)
}

// put writes an item to the store, for all views.
func (f *fleet) put(key string, value any) {
	for _, v := range f.views {
		v.store.Put(key, value)
	}
}

// register writes the entry of a target.
func (f *fleet) register(t *target, state string) {
	for _, v := range f.views {
		addr := t.addr()
		if v.proxies != nil {
			addr = v.proxies[t.id].Addr()
		}
		v.store.Put(wire["targets"]+t.id, map[string]any{
			"service": t.service, "address": addr, "zone": t.zone, "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0, "born": t.born, "seq": time.Now().UnixMilli(),
		})
	}
}

// cut cuts the hosts of a view off from all targets, or heals the cut.
func (v *view) cut(off bool) {
	mode := standin.ProxyForwards
	if off {
		mode = standin.ProxyCuts
	}
	for _, p := range v.proxies {
		p.SetMode(mode)
	}
}

func (f *fleet) close() {
	for _, v := range f.views {
		for _, p := range v.proxies {
			p.Close()
		}
		v.server.CloseClientConnections()
		v.server.Close()
	}
	for _, t := range f.targets {
		t.server.CloseClientConnections()
		t.server.Close()
	}
}

// configText has one route that may be repeated and one that may not.
const configText = `{"version":7,"routes":[
{"name":"order","host":"shop.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":2000,"slo_ms":300,"service":"orders","max_attempts":1,"priority":2},
{"name":"status","host":"shop.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":2000,"slo_ms":300,"service":"orders","max_attempts":2,"priority":2}],
"services":[{"name":"orders","health_path":"/health","max_conns":96}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"school","api_keys":["` + callerKey + `"],"priority":1}]}`

// answer is what a caller got.
type answer struct {
	status int    // 0 if the channel was closed without one
	body   string // whole
	err    error
}

// success reports whether the answer is a whole one of a target.
func (a answer) success() bool {
	return a.status == http.StatusOK && a.err == nil && strings.HasPrefix(a.body, "done by")
}

// caller sends requests over channels that it keeps.
type caller struct{ client *http.Client }

func newCaller() *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// send sends one request without a retry.
func (c *caller) send(h *host, method, path, id string) answer {
	return c.sendWithKey(h, method, path, id, callerKey, callerDeadline)
}

// sendWithKey sends one request with a key, without a retry.
func (c *caller) sendWithKey(h *host, method, path, id, key string, deadline time.Duration) answer {
	body := ""
	if method == http.MethodPost {
		body = "order " + id
	}
	req, err := http.NewRequest(method, "http://"+h.callersAddr+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return answer{err: err}
	}
	req.ContentLength = int64(len(body))
	req.Host = "shop.example"
	req.Header.Set(wire["attempt"], id)
	req.Header.Set(wire["deadline"], fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	client := *c.client
	client.Timeout = deadline
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(text), err: err}
}
