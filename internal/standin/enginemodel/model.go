// Package enginemodel models one model engine in virtual time: continuous
// batching, prefill by priority, limited KV memory and a prefix cache. It does
// no I/O, starts no goroutine and reads no clock, so equal calls give equal
// events. It is event-driven: its cost grows with requests, not with tokens.
//
// An Engine is not safe for concurrent use.
package enginemodel

import (
	"errors"
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// The refusals of Submit and Pin.
var (
	ErrNoMemory  = errors.New("engine has too little free KV memory; send the request to another engine or wait")
	ErrLeaving   = errors.New("engine is leaving; send the request to another engine")
	ErrDown      = errors.New("engine is down; send the request to another engine")
	ErrDuplicate = errors.New("engine already holds something of this id; use a fresh id")
)

// Config sets an engine's size and speed.
type Config struct {
	MemoryTokens   int           // KV memory, in tokens
	PrefillRate    float64       // tokens per second, over all prompts; at least above 0
	DecodeInterval time.Duration // between two tokens of one running stream
	MaxBatch       int           // streams that decode at the same time; 0: no bound
	CacheTokens    int           // prefix cache, in tokens, beside the KV memory
	ReportLag      time.Duration // age of a load report when it is read
	Grace          time.Duration // after its deadline a stream is dropped this much later
	KeepExpired    bool          // never drop a stream at its deadline
	TokenEvents    bool          // report Token events; without, only first tokens and ends
	RecordCache    bool          // keep cache events for TakeCacheEvents
	Model          string        // name in load reports
}

// Job is one prompt to run.
type Job struct {
	ID           string
	Owner        string    // incarnation of the entry host
	Deadline     time.Time // zero: none
	PromptTokens int
	MaxTokens    int // output limit; reserved in full
	OutputTokens int // length of the answer; 0 or above MaxTokens: MaxTokens
	Priority     int // lower runs first
	PromptBytes  int
	// ReserveTokens is the memory to reserve, for a prompt that is held in
	// parts; 0: PromptTokens plus MaxTokens.
	ReserveTokens int
	Prefixes      []uint64 // hashes of the leading blocks, shortest first
	BlockTokens   int      // tokens in one block
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of Event.
const (
	FirstToken EventKind = iota + 1 // the first token came; Tokens is 1
	Token                           // Tokens more tokens came
	Finished                        // the answer is whole; Tokens is its length
	Dropped                         // the deadline passed; Tokens came before it
)

// String returns the kind's name.
func (k EventKind) String() string {
	switch k {
	case FirstToken:
		return "first_token"
	case Token:
		return "token"
	case Finished:
		return "finished"
	case Dropped:
		return "dropped"
	default:
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
}

// Event is something that happened to one stream.
type Event struct {
	At     time.Time
	ID     string
	Kind   EventKind
	Tokens int
	Cached int // with FirstToken: prompt tokens that the cache held
}

// Engine is the model of one engine.
type Engine struct {
	cfg      Config
	seed     uint64
	restarts int
	down     bool
	leaving  bool
	speed    float64

	now      time.Time // everything up to here has happened
	workDone float64   // seconds of work done so far at nominal speed
	seq      uint64

	streams        map[string]*stream
	pins           map[string]engineapi.Allocation
	prefill        streamHeap // by priority, then order of arrival
	decode         streamHeap // by the work time of the last token
	deadlines      streamHeap // by the time of the drop
	reservedTokens int        // reserved tokens
	prefillBacklog float64    // prefill tokens not yet computed
	cache          *prefixCache

	promptBytes   int64
	promptTokens  int64
	history       []snapshot
	pendingEvents []Event
	spareEvents   []Event
}

// stream is one admitted job.
type stream struct {
	job            Job
	seq            uint64
	reserved       int
	outputTokens   int     // tokens of the whole answer
	prefillLeft    float64 // prefill tokens not yet computed
	cachedTokens   int
	cacheConsulted bool // the cache was consulted
	decoding       bool
	firstTokenWork float64 // work time of the first token
	lastTokenWork  float64 // work time of the last token
	reportedTokens int     // tokens reported in events
	dropAt         time.Time

	queueIndex    int // in prefill or decode
	deadlineIndex int
}

// New returns an engine that is up and idle at start. The seed only names its
// incarnations.
func New(cfg Config, start time.Time, seed uint64) *Engine {
	if cfg.PrefillRate <= 0 {
		cfg.PrefillRate = 1
	}
	e := &Engine{cfg: cfg, seed: seed, speed: 1, now: start}
	e.reset()
	e.record()
	return e
}

func (e *Engine) reset() {
	e.streams = make(map[string]*stream)
	e.pins = make(map[string]engineapi.Allocation)
	e.prefill = streamHeap{less: byPriority, index: queueIndex}
	e.decode = streamHeap{less: byLastToken, index: queueIndex}
	e.deadlines = streamHeap{less: byDropTime, index: deadlineIndex}
	e.cache = newPrefixCache(e.cfg.CacheTokens, e.cfg.RecordCache)
	e.reservedTokens, e.prefillBacklog = 0, 0
	e.promptBytes, e.promptTokens = 0, 0
}

// Submit admits job at now and reserves its prompt plus its output limit. It
// returns ErrDown, ErrLeaving, ErrDuplicate or ErrNoMemory when it does not.
func (e *Engine) Submit(now time.Time, job Job) error {
	e.runUntil(now)
	need := job.ReserveTokens
	if need <= 0 {
		need = job.PromptTokens + job.MaxTokens
	}
	if err := e.checkAdmission(job.ID, need); err != nil {
		return err
	}
	e.seq++
	s := &stream{job: job, seq: e.seq, reserved: need, outputTokens: job.OutputTokens, prefillLeft: float64(job.PromptTokens)}
	if s.outputTokens <= 0 || s.outputTokens > job.MaxTokens {
		s.outputTokens = job.MaxTokens
	}
	e.streams[job.ID] = s
	e.reservedTokens += need
	e.prefillBacklog += s.prefillLeft
	e.promptBytes += int64(job.PromptBytes)
	e.promptTokens += int64(job.PromptTokens)
	e.prefill.push(s)
	if !job.Deadline.IsZero() && !e.cfg.KeepExpired {
		s.dropAt = job.Deadline.Add(e.cfg.Grace)
		e.deadlines.push(s)
	}
	e.record()
	return nil
}

func (e *Engine) checkAdmission(id string, tokens int) error {
	switch {
	case e.down:
		return ErrDown
	case e.leaving:
		return ErrLeaving
	case e.hasID(id):
		return ErrDuplicate
	case e.reservedTokens+tokens > e.cfg.MemoryTokens:
		return ErrNoMemory
	}
	return nil
}

func (e *Engine) hasID(id string) bool {
	if _, ok := e.streams[id]; ok {
		return true
	}
	_, ok := e.pins[id]
	return ok
}

// Cancel ends the stream id at now and gives its memory back. It reports
// whether the engine held it.
func (e *Engine) Cancel(now time.Time, id string) bool {
	e.runUntil(now)
	s, ok := e.streams[id]
	if !ok {
		return false
	}
	e.remove(s)
	e.record()
	return true
}

// Pin reserves tokens for an exported piece of KV memory until Release. The
// engine never gives it back by itself.
func (e *Engine) Pin(now time.Time, id, owner string, deadline time.Time, tokens int) error {
	e.runUntil(now)
	if err := e.checkAdmission(id, tokens); err != nil {
		return err
	}
	e.pins[id] = engineapi.Allocation{ID: id, Kind: engineapi.AllocationKV, Owner: owner, DeadlineMS: deadline.UnixMilli(), Tokens: tokens}
	e.reservedTokens += tokens
	e.record()
	return nil
}

// Release gives pinned memory back and reports whether the engine held it.
func (e *Engine) Release(now time.Time, id string) bool {
	e.runUntil(now)
	pin, ok := e.pins[id]
	if !ok {
		return false
	}
	delete(e.pins, id)
	e.reservedTokens -= pin.Tokens
	e.record()
	return true
}

// SetSpeed makes the engine run at factor times its nominal speed from the
// last time it was told on. At 0 it stands still.
func (e *Engine) SetSpeed(factor float64) {
	e.speed = max(factor, 0)
	e.record()
}

// SetLeaving makes the engine refuse new jobs, or take them again.
func (e *Engine) SetLeaving(leaving bool) {
	e.leaving = leaving
	e.record()
}

// Crash loses everything at now and returns the ids of the streams that ran,
// in order of arrival. The engine stays down until Restart.
func (e *Engine) Crash(now time.Time) []string {
	e.runUntil(now)
	ids := e.streamIDsByArrival()
	e.reset()
	e.down = true
	e.history = nil
	e.record()
	return ids
}

// Restart brings a crashed engine back, empty and as a new incarnation.
func (e *Engine) Restart(now time.Time) {
	e.runUntil(now)
	if !e.down {
		return
	}
	e.down, e.leaving = false, false
	e.restarts++
	e.history = nil
	e.record()
}

// Down reports whether the engine has crashed and not restarted.
func (e *Engine) Down() bool { return e.down }

// ReservedTokens is the number of reserved tokens.
func (e *Engine) ReservedTokens() int { return e.reservedTokens }

// Incarnation names the engine's process; it changes at each Restart.
func (e *Engine) Incarnation() string { return fmt.Sprintf("%016x-%d", e.seed, e.restarts) }
