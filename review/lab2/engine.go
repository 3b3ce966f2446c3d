package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/platform/standin"
	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

const (
	// crashDelay is the time from the arrival of a request to its first token, at which it
	// crashes its engine, and restartDelay how long the engine is away.
	crashDelay   = time.Second
	restartDelay = 3 * time.Second
	// poison is a part of the path of the request that crashes engines.
	poison = "/book/poison"
)

// arrival is a request that crashes engines, as it arrives at one.
type arrival struct {
	at     time.Time
	engine string
}

// poisonLog records the arrivals and crashes. It is safe for concurrent use.
type poisonLog struct {
	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
}

func (p *poisonLog) arrived(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, arrival{at: time.Now(), engine: engine})
}

func (p *poisonLog) crashed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// crashingEngine is an engine that a request crashes. It starts again with a new id.
type crashingEngine struct {
	lab    *lab
	store  *standin.Store
	runs   *standin.RunLog
	log    *poisonLog
	name   string
	starts int
	sound  bool // the request does not crash it

	mu     sync.Mutex
	server *http.Server
	ended  bool
}

// start serves and registers a new incarnation.
func (e *crashingEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return nil
	}
	e.starts++
	id := fmt.Sprintf("%s-%d", e.name, e.starts)
	target := &standin.Target{ID: id, Zone: "north", Stream: true, Events: 8, Delay: 20 * time.Millisecond, RunLog: e.runs}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: callTimeout}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, poison) {
			e.log.arrived(id)
			time.Sleep(crashDelay)
			if !e.sound {
				e.crash(id, server)
				panic(http.ErrAbortHandler)
			}
		}
		target.ServeHTTP(w, r)
	})
	e.server = server
	go func() { _ = server.Serve(listener) }() // until it is closed
	e.store.Put("servers/"+id, []byte(wire.Engine(listener.Addr().String(), time.Now().UnixMilli())))
	return nil
}

// crash ends an incarnation: all its connections break off, and its registration goes when the
// next one comes.
func (e *crashingEngine) crash(id string, server *http.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != server {
		return // it has crashed already
	}
	e.server = nil
	e.log.crashed()
	e.lab.logf("engine %s crashes", id)
	_ = server.Close() // all connections break off
	time.AfterFunc(restartDelay, func() {
		e.store.Remove("servers/" + id)
		if err := e.start(); err != nil {
			e.lab.logf("engine %s does not come back: %v", e.name, err)
		}
	})
}

// end stops the engine for good.
func (e *crashingEngine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	if e.server != nil {
		_ = e.server.Close() // it is over
	}
}
