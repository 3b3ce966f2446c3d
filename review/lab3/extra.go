package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// extraShare is the share of its answers after which a faulty target sends more bytes.
	// The users' days spoil up to 0.03 of the answers of up to 0.6 of the targets; here it is one
	// target of three.
	extraShare = 0.03
	// extraTime is how long orders are sent, and extraInterval the time between two at each host.
	extraTime     = 60 * time.Second
	extraInterval = 16 * time.Millisecond
	// extraSeed makes the choice of the spoilt answers repeatable.
	extraSeed = 7
)

// extraTarget is a target that speaks HTTP itself. After some of its answers it sends more
// bytes: a second answer that belongs to no request. They arrive late, where the next answer on
// the channel is due.
type extraTarget struct {
	*target
	faulty   bool
	listener net.Listener

	mu     sync.Mutex
	random *rand.Rand
	before []string // ids of the requests before whose answers more bytes were sent
}

func (t *extraTarget) serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return // closed
		}
		go t.serveConn(conn)
	}
}

// spoils decides whether an answer is followed by more bytes.
func (t *extraTarget) spoils() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faulty && t.random.Float64() < extraShare
}

// sendExtra sends a second answer, which belongs to no request, before the answer to one.
func (t *extraTarget) sendExtra(conn net.Conn, id string) {
	t.mu.Lock()
	t.before = append(t.before, id)
	t.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire["not-executed"])
}

func (t *extraTarget) serveConn(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	extra := false
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get(wire["attempt"])
		if extra {
			t.sendExtra(conn, id)
			extra = false
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if want := req.Header.Get(wire["expect"]); want != "" && want != t.id {
			fmt.Fprint(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		t.record(arrival{id: id, path: req.RequestURI, at: time.Now()})
		time.Sleep(t.delay)
		body := "done by " + t.id
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s\r\nContent-Length: %d\r\n\r\n%s", wire["attempt"], id, wire["seal"], t.id, len(body), body); err != nil {
			return
		}
		extra = t.spoils()
	}
}

// playExtra sends orders to three targets, one of which sends more bytes after some answers.
func playExtra(l *lab) (bool, error) {
	f, err := newFleet(0, 0, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	var targets []*extraTarget
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		defer listener.Close()
		t := &extraTarget{
			target:   &target{id: fmt.Sprint("order-", i+1), zone: zones[i], service: "orders", delay: 60 * time.Millisecond, born: time.Now().UnixMilli(), address: listener.Addr().String()},
			faulty:   l.trouble && i == 0,
			listener: listener, random: rand.New(rand.NewPCG(extraSeed, 0)),
		}
		go t.serve()
		targets = append(targets, t)
		f.register(t.target, "ready")
	}
	hosts, err := l.startHosts(f.views[0].addr, f.views[0].addr)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	callers := newCaller()
	answers := make(map[string]answer)
	for end, n := time.Now().Add(extraTime), 0; time.Now().Before(end); n++ {
		for i, h := range hosts {
			group.Go(func() {
				id := fmt.Sprintf("e%d-%d", i, n)
				a := callers.send(h, http.MethodPost, "/order/"+id, id)
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a
			})
		}
		time.Sleep(extraInterval)
	}
	group.Wait()
	time.Sleep(time.Second) // runs that began are recorded
	twice, refused := 0, 0
	for id, a := range answers {
		runs := 0
		var ranAt []string
		for _, t := range targets {
			if n := t.ran(id); n > 0 {
				runs += n
				ranAt = append(ranAt, t.id)
			}
		}
		l.write("order %s: answered %d %q, ran %d times, at %v", id, a.status, a.body, runs, ranAt)
		if runs > 1 {
			twice++
			l.note("TWICE: %s ran %d times; its caller got status %d", id, runs, a.status)
		}
		if runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused++
			l.note("REFUSED: %s ran %d times; its caller got status %d", id, runs, a.status)
		}
	}
	for _, t := range targets {
		l.note("%s ran %d orders", t.id, len(t.runs))
	}
	extras := targets[0].before
	l.note("more bytes were sent before the answers to %v", extras)
	l.note("%d orders sent; %d answers were followed by more bytes; %d orders ran twice, %d ran and were refused", len(answers), len(extras), twice, refused)
	if l.trouble && len(extras) == 0 {
		return false, errors.New("no answer was followed by more bytes")
	}
	return twice == 0 && refused == 0, nil
}
