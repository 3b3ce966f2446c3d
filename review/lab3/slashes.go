package main

import (
	"bufio"
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

// slashRequests is how many requests are sent for each path.
const slashRequests = 10

// slashTimeout limits one request.
const slashTimeout = 4 * time.Second

// seenRequest is a request as a target has run it.
type seenRequest struct{ requestTarget, path, query string }

// pathTarget is a target that keeps the paths of the requests that it runs.
type pathTarget struct {
	id string

	mu   sync.Mutex
	seen map[string]seenRequest // by attempt id
}

// ServeHTTP implements http.Handler. Both forms of a request's target are understood, as any
// HTTP/1.1 server does: a path, or a whole URL.
func (p *pathTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(wire["expect"]); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(wire["attempt"])
	p.mu.Lock()
	p.seen[id] = seenRequest{requestTarget: r.RequestURI, path: r.URL.EscapedPath(), query: r.URL.RawQuery}
	p.mu.Unlock()
	w.Header().Set(wire["attempt"], id)
	w.Header().Set(wire["seal"], "seal-of-"+p.id)
	fmt.Fprint(w, "done")
}

// playSlashes sends orders whose path begins with two slashes, on a route for all paths.
func playSlashes(l *lab) (bool, error) {
	target := &pathTarget{id: "order-1", seen: make(map[string]seenRequest)}
	server := httptest.NewServer(target)
	defer server.Close()
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	config := map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "order", "host": "shop.example", "path_prefix": "/", "kind": "non_idempotent", "timeout_ms": 4000, "slo_ms": 300, "service": "orders", "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": "orders", "health_path": "/health", "max_conns": 96}},
		"limits":   map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "school", "api_keys": []string{callerKey}, "priority": 1}},
	}
	store.Put(wire["config"], config)
	store.Put(wire["targets"]+target.id, map[string]any{
		"service": "orders", "address": strings.TrimPrefix(server.URL, "http://"), "zone": "sapporo", "version": "v1", "slots": 6,
		"state": "ready", "cold_left_ms": 0, "born": time.Now().UnixMilli(), "seq": 1,
	})
	storeAddr := strings.TrimPrefix(storeServer.URL, "http://")
	hosts, err := l.startHosts(storeAddr, storeAddr)
	if err != nil {
		return false, err
	}
	paths := []string{"/orders/7/2f", "/orders/7/2f?a=b"}
	if l.trouble {
		paths = append(paths, "//orders/7/2f", "//orders/7/2f?a=b")
	}
	held := true
	for i, path := range paths {
		for n := range slashRequests {
			id := fmt.Sprintf("s%d-%d", i, n)
			status, err := order(hosts[n%len(hosts)].callersAddr, path, id)
			if err != nil {
				return false, err
			}
			target.mu.Lock()
			run, ran := target.seen[id]
			target.mu.Unlock()
			wantPath, wantQuery, _ := strings.Cut(path, "?")
			same := !ran || (run.path == wantPath && run.query == wantQuery)
			line, _ := json.Marshal([]string{run.requestTarget, run.path, run.query}) // strings can be encoded
			l.note("sent %s POST %s: status %d, ran %v as %s, same %v", id, path, status, ran, line, same)
			held = held && same
		}
	}
	return held, nil
}

// order sends one order.
func order(addr, path, id string) (status int, err error) {
	conn, err := dial(addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	request := "POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 4000\r\nAuthorization: Token %s\r\nContent-Length: 5\r\nConnection: close\r\n\r\norder"
	if _, err := fmt.Fprintf(conn, request, path, wire["attempt"], id, wire["deadline"], callerKey); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
