package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	zone         = "sapporo"
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// environment holds all that a case has started.
type environment struct {
	program string
	dir     string
	rec     *record
	store   *store
	runs    *runLog

	closeOnce sync.Once
	mu        sync.Mutex
	closers   []func()
}

func newEnvironment(program string, rec *record) (*environment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	env := &environment{program: program, dir: dir, rec: rec, runs: &runLog{rec: rec}}
	env.onClose(func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	env.store, err = newStore(env)
	if err != nil {
		env.close()
		return nil, err
	}
	return env, nil
}

func (e *environment) onClose(fn func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closers = append(e.closers, fn)
}

// close ends all that was started, the latest first.
func (e *environment) close() {
	e.closeOnce.Do(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for i := len(e.closers) - 1; i >= 0; i-- {
			e.closers[i]()
		}
	})
}

// serve serves HTTP on a free loopback address and returns the address.
func (e *environment) serve(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	e.onClose(func() { closeServer(srv) })
	return l.Addr().String(), srv, nil
}

// closeServer ends a server and all its channels.
func closeServer(srv *http.Server) {
	if err := srv.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// freePorts returns a number of loopback ports that were free a moment ago. The last two
// follow each other.
func freePorts(count int) ([]int, error) {
	const firstPort, lastPort, attempts = 20000, 29000, 200
	for base := range attempts {
		start := firstPort + (os.Getpid()*37+base*(count+3))%(lastPort-firstPort)
		if ports, ok := portsFrom(start, count); ok {
			return ports, nil
		}
	}
	return nil, errors.New("no free ports on loopback")
}

func portsFrom(start, count int) ([]int, bool) {
	var ports []int
	for port := start; port < start+count; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return nil, false
		}
		l.Close()
		ports = append(ports, port)
	}
	return ports, true
}

// waitFor polls a condition.
func waitFor(what string, timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, timeout)
}
