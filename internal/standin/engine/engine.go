// Package engine is a stand-in for a model engine: an HTTP server that implements
// the protocol of internal/engineapi in real time on top of the simulation in
// internal/standin/enginemodel. Responses are a function of the prompt, so that a
// test can verify that a response is complete. A control endpoint injects faults.
package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/loopback"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

// Settings configures a stand-in engine.
type Settings struct {
	ID              string // target id
	Addr            string // IP and port; empty: a free address of loopback
	Model           enginemodel.Config
	BytesPerToken   float64         // bytes per prompt token; default 4
	OutputTokens    int             // maximum length of a response; 0: the request's limit
	State           engineapi.State // initial state; generate requests must name the model of the current state
	ChecksFencing   bool            // reject state changes with an outdated fencing number
	LoadTime        time.Duration   // time to load another model, version or adapters
	CacheEventLag   time.Duration   // time until a cache event becomes visible
	CacheEventLimit int             // number of cache events retained; older ones are discarded; default 256
	Seed            uint64
}

const (
	defaultBytesPerToken   = 4
	defaultCacheEventLimit = 256
	endedStreamTTL         = 30 * time.Second // how long an ended stream can be resumed
	readHeaderTimeout      = 10 * time.Second
)

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	settings   Settings
	faults     faults
	server     *http.Server
	listener   *listener
	wake       chan struct{}
	ctx        context.Context
	stop       context.CancelFunc
	background sync.WaitGroup

	mu          sync.Mutex
	model       *enginemodel.Engine
	streams     map[string]*stream
	state       engineapi.State
	loadDoneAt  time.Time // when the requested state starts serving
	cacheEvents eventLog
	leaving     bool
	counts      Counts
}

// Counts holds counters since New, over all incarnations.
type Counts struct {
	Submitted map[string]int // prompts admitted, by request id
	Refused   int            // prompts rejected because the engine is leaving
	Cancelled int
	Crashes   int
}

// New returns a stand-in that does not accept connections until Serve or Start.
func New(settings Settings) *Engine {
	if settings.BytesPerToken <= 0 {
		settings.BytesPerToken = defaultBytesPerToken
	}
	if settings.CacheEventLimit <= 0 {
		settings.CacheEventLimit = defaultCacheEventLimit
	}
	settings.Model.TokenEvents, settings.Model.RecordCache = true, true
	settings.Model.Model = settings.State.Model
	e := &Engine{settings: settings, wake: make(chan struct{}, 1), streams: make(map[string]*stream), state: settings.State}
	e.model = enginemodel.New(settings.Model, time.Now(), settings.Seed)
	e.cacheEvents = eventLog{lag: settings.CacheEventLag, limit: settings.CacheEventLimit}
	e.counts.Submitted = make(map[string]int)
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.server = &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	e.background.Add(1)
	go e.loop()
	return e
}

// Start listens on Settings.Addr and serves connections in the background until
// Close.
func (e *Engine) Start() error {
	addr := e.settings.Addr
	if addr == "" {
		free, err := loopback.FreeAddr()
		if err != nil {
			return err
		}
		addr = free.String()
	}
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.Serve(inner)
	return nil
}

// Serve serves connections accepted by inner in the background until Close.
func (e *Engine) Serve(inner net.Listener) {
	e.listener = newListener(inner)
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
			e.stop()
		}
	}()
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() net.Addr { return e.listener.Addr() }

// Close closes all connections, silent ones included, and waits for the
// background goroutines.
func (e *Engine) Close() {
	e.stop()
	_ = e.server.Close()
	if e.listener != nil {
		e.listener.forceCloseAll()
	}
	e.background.Wait()
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Submitted = make(map[string]int, len(e.counts.Submitted))
	for id, n := range e.counts.Submitted {
		c.Submitted[id] = n
	}
	return c
}

// ReservedTokens returns the reserved KV memory in tokens.
func (e *Engine) ReservedTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
	return e.model.ReservedTokens()
}

// loop advances the simulation in real time.
func (e *Engine) loop() {
	defer e.background.Done()
	for {
		timer := time.NewTimer(e.tick())
		select {
		case <-e.ctx.Done():
			timer.Stop()
			return
		case <-e.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tick advances the simulation to the present and returns the time until its next
// event.
func (e *Engine) tick() time.Duration {
	const maxStep = time.Second
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	e.removeExpiredStreams(now)
	if next, ok := e.model.NextEvent(); ok {
		return min(max(next.Sub(now), 0), maxStep)
	}
	return maxStep
}

// wakeLoop makes loop recompute the time of the next event.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// advance advances the simulation to now and dispatches its events to their
// streams. The caller holds mu.
func (e *Engine) advance(now time.Time) {
	for _, ev := range e.model.Advance(now) {
		if s := e.streams[ev.ID]; s != nil {
			s.handleEvent(ev, now)
		}
	}
	e.cacheEvents.add(now, e.model.TakeCacheEvents())
}

// removeExpiredStreams removes streams that ended more than endedStreamTTL ago.
// The caller holds mu.
func (e *Engine) removeExpiredStreams(now time.Time) {
	for id, s := range e.streams {
		if s.finishReason != "" && now.Sub(s.endedAt) > endedStreamTTL {
			delete(e.streams, id)
		}
	}
}
