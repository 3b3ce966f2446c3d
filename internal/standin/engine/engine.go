// Package engine is a stand-in for a model engine: an HTTP server that speaks
// the protocol of internal/engineapi in real time on top of the model in
// internal/standin/enginemodel. Its answers are a function of the prompt, so
// that a test can tell a whole answer, and a control endpoint injects faults.
package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

// Settings configures a stand-in engine.
type Settings struct {
	ID              string // target id
	Addr            string // IP and port; empty: 127.0.0.1 and any port
	Model           enginemodel.Config
	BytesPerToken   float64         // of prompts; default 4
	OutputTokens    int             // length of an answer at most; 0: the request's limit
	State           engineapi.State // at the start; Model is also what generate requests must name
	ChecksFencing   bool            // refuse orders with an old fencing number
	LoadTime        time.Duration   // to load another model, version or adapters
	CacheEventLag   time.Duration   // before a cache event can be read
	CacheEventLimit int             // cache events kept; older ones are lost; default 256
	Seed            uint64
}

const (
	defaultBytesPerToken   = 4
	defaultCacheEventLimit = 256
	endedStreamTTL         = 30 * time.Second // an ended stream can be resumed for this long
	readHeaderTimeout      = 10 * time.Second
)

// Engine is one stand-in engine. It is safe for concurrent use.
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
	loadDoneAt  time.Time // when the ordered state serves
	cacheEvents eventLog
	leaving     bool
	counts      Counts
}

// Counts is what the engine did since its start, over all incarnations.
type Counts struct {
	Submitted map[string]int // prompts taken, by request id
	Refused   int            // prompts refused since the engine leaves
	Cancelled int
	Crashes   int
}

// New returns a stand-in that does not listen yet: Serve or Start does.
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

// Start listens on Settings.Addr and serves in the background.
func (e *Engine) Start() error {
	addr := e.settings.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.Serve(inner)
	return nil
}

// Serve serves connections of inner in the background until Close.
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

// Addr is the address that the engine listens on.
func (e *Engine) Addr() net.Addr { return e.listener.Addr() }

// Close ends all connections and goroutines.
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

// ReservedTokens is the number of tokens of memory that are reserved.
func (e *Engine) ReservedTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
	return e.model.ReservedTokens()
}

// loop lets the model's events happen in time.
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

// step advances the model to the present and returns the time to its next event.
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

// poke makes the loop look at the model again.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// advance hands the model's events to their streams. The caller holds mu.
func (e *Engine) advance(now time.Time) {
	for _, ev := range e.model.Advance(now) {
		if s := e.streams[ev.ID]; s != nil {
			s.handleEvent(ev, now)
		}
	}
	e.cacheEvents.add(now, e.model.TakeCacheEvents())
}

// forget drops streams that ended long ago. The caller holds mu.
func (e *Engine) removeExpiredStreams(now time.Time) {
	for id, s := range e.streams {
		if s.finishReason != "" && now.Sub(s.endedAt) > endedStreamTTL {
			delete(e.streams, id)
		}
	}
}
