package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// lab is what a case runs in.
type lab struct {
	rec     *record
	dir     string
	trouble bool
	store   *store
	view    *store // of the first machine, if it reaches the servers over links
	fleet   *fleet
	plain   []*server
	engines []*server
	hosts   []*host
}

// cases maps the names of the cases to what plays them. It returns what broke the rule.
var cases = map[string]func(*lab) ([]string, error){}

var errUsage = errors.New("usage: lab4 CASE RECORD, with TROUBLE=0 for no disruption")

func main() { os.Exit(run1()) }

func run1() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return statusNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "lab4-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	l := &lab{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), fleet: &fleet{rec: rec, byAddr: make(map[string]*server)}}
	defer func() {
		for _, h := range l.hosts {
			h.kill()
		}
	}()
	broken, err := cases[os.Args[1]](l)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return statusNotRun
	}
	if len(broken) == 0 {
		rec.add("the rule held")
		fmt.Println("the rule held")
		return statusHeld
	}
	for _, b := range broken {
		rec.add("BROKEN: %s", b)
	}
	fmt.Println("broken:", len(broken), "times; first:", broken[0])
	return statusBroken
}

// addServers starts and registers plain servers and engines.
func (l *lab) addServers(plain, engines int) error {
	l.store.put(names["config"], config(7))
	for i := range plain {
		l.plain = append(l.plain, &server{id: fmt.Sprintf("i-plain%d", i), service: "wuno96b", zone: zones[i%len(zones)], slots: 6, work: 60 * time.Millisecond, fleet: l.fleet})
	}
	for i := range engines {
		l.engines = append(l.engines, &server{id: fmt.Sprintf("i-engine%d", i), service: "huvo11a", zone: zones[i%len(zones)], slots: 16, memory: 232000, work: 100 * time.Millisecond, events: 20, fleet: l.fleet})
	}
	for _, s := range append(append([]*server(nil), l.plain...), l.engines...) {
		s.restarted = func(s *server) { l.store.put(names["servers"]+s.id, s.entry(s.addr, "ready")) }
		if err := s.start(); err != nil {
			return err
		}
		l.store.put(names["servers"]+s.id, s.entry(s.addr, "ready"))
	}
	return nil
}

// serveStore serves a store on a free address.
func serveStore(s http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// startHosts starts machines that all read the same store.
func (l *lab) startHosts(count int) error {
	addr, err := serveStore(l.store)
	if err != nil {
		return err
	}
	stores := make([]string, count)
	for i := range stores {
		stores[i] = addr
	}
	l.hosts, err = startHosts(l.dir, stores)
	return err
}

// startBehindLinks starts three machines. The first one reaches the servers over links of its own,
// which are returned, and reads a store that names these.
func (l *lab) startBehindLinks() ([]*link, error) {
	addr, err := serveStore(l.store)
	if err != nil {
		return nil, err
	}
	l.view = newStore()
	l.view.put(names["config"], config(7))
	var links []*link
	for _, s := range l.plain {
		way, err := newLink(s.addr)
		if err != nil {
			return nil, err
		}
		links = append(links, way)
		l.view.put(names["servers"]+s.id, s.entry(way.addr, "ready"))
	}
	viewAddr, err := serveStore(l.view)
	if err != nil {
		return nil, err
	}
	l.hosts, err = startHosts(l.dir, []string{viewAddr, addr, addr})
	return links, err
}

func cutAll(links []*link) {
	for _, way := range links {
		way.cut()
	}
}

func healAll(links []*link) error {
	for _, way := range links {
		if err := way.heal(); err != nil {
			return err
		}
	}
	return nil
}
