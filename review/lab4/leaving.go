package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

const (
	drainBound     = 2 * time.Second         // drain_ms
	heartbeat      = 1200 * time.Millisecond // heartbeat_ms
	lapse          = 3 * heartbeat           // until the entry of a silent server is removed
	requestSpacing = 50 * time.Millisecond
)

// traffic sends requests to a machine at a steady rate until stopped, each one on a kept channel.
type traffic struct {
	mu      sync.Mutex
	sentAt  map[string]time.Time
	answers []answer
	times   map[string]time.Time // of the answers, by id
	stop    chan struct{}
	done    sync.WaitGroup
}

func startTraffic(l *lab, h *host, make func() call) *traffic {
	t := &traffic{sentAt: map[string]time.Time{}, times: map[string]time.Time{}, stop: newStop()}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.done.Go(func() {
		ticker := time.NewTicker(requestSpacing)
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			t.done.Go(func() {
				c := make()
				t.mu.Lock()
				t.sentAt[c.id] = time.Now()
				t.mu.Unlock()
				a := c.send(client, h, l.rec)
				t.mu.Lock()
				defer t.mu.Unlock()
				t.answers = append(t.answers, a)
				t.times[c.id] = time.Now()
			})
		}
	})
	return t
}

func newStop() chan struct{} { return make(chan struct{}) }

func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

// firstLeaving returns when the first answer that says that its server leaves reached a client.
func (t *traffic) firstLeaving() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, a := range t.answers {
		if at := t.times[a.id]; a.err == nil && a.header.Get(names["leaving"]) != "" && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// get is a request that may be repeated.
func get() call { return call{method: http.MethodGet, path: "/cufi504/fi50/2f", id: newID()} }

// playLeaving: a server leaves and says so in its answers, while it does not reach the store. The
// machine that passes such an answer on has got it through another machine, since it is cut off
// from all servers for a while.
func playLeaving(l *lab) ([]string, error) {
	if err := l.addServers(3, 0); err != nil {
		return nil, err
	}
	links, err := l.startBehindLinks()
	if err != nil {
		return nil, err
	}
	view := l.view
	h, leaver := l.hosts[0], l.plain[0]
	before := startTraffic(l, h, get)
	time.Sleep(2 * time.Second)
	before.end() // no request is in progress as the cut begins
	if l.trouble {
		l.rec.add("%s is cut off from all servers", h.name)
		cutAll(links)
	}
	t := startTraffic(l, h, get)
	time.Sleep(1500 * time.Millisecond)
	l.rec.add("server %s leaves and says so in all its answers", leaver.id)
	leaver.leaving.Store(true)
	leavesAt := time.Now()
	if l.trouble {
		l.rec.add("server %s does not reach the store", leaver.id)
	} else {
		for _, s := range []*store{view, l.store} {
			s.put(names["servers"]+leaver.id, leaver.entry(leaver.addr, "draining"))
		}
	}
	time.Sleep(2200 * time.Millisecond)
	if l.trouble {
		if err := healAll(links); err != nil {
			return nil, err
		}
		l.rec.add("%s reaches all servers again", h.name)
	}
	time.Sleep(time.Until(leavesAt.Add(lapse)))
	l.rec.add("the store removes the entry of server %s", leaver.id)
	view.remove(names["servers"]+leaver.id, false)
	l.store.remove(names["servers"]+leaver.id, false)
	time.Sleep(time.Second)
	t.end()
	passedAt, passed := t.firstLeaving()
	if !passed {
		if l.trouble {
			return nil, fmt.Errorf("no answer of the leaving server was passed on")
		}
		return nil, nil
	}
	l.rec.add("%s passed on an answer that says that its server leaves, first %.3f s after the start", h.name, passedAt.Sub(l.rec.start).Seconds())
	return l.lateRuns(t, leaver, passedAt.Add(drainBound)), nil
}

// lateRuns lists the requests that a server ran though their client sent them after a time.
func (l *lab) lateRuns(t *traffic, s *server, after time.Time) []string {
	var late []string
	for _, r := range l.fleet.allRuns() {
		if sent := t.sentAt[r.id]; r.server == s.id && sent.After(after) {
			late = append(late, fmt.Sprintf("request %s, sent %.3f s after the bound, reached server %s at %.3f", r.id, sent.Sub(after).Seconds(), s.id, r.at.Sub(l.rec.start).Seconds()))
		}
	}
	return late
}
