// Package enginemodel simulates one model engine in virtual time: continuous
// batching, prefill by priority, limited KV memory and a prefix cache. It does
// no I/O, starts no goroutine and reads no clock, so the same calls produce the
// same events. The simulation is event-driven: its cost grows with the number of
// requests, not with the number of tokens.
//
// An Engine is not safe for concurrent use.
package enginemodel

import (
	"errors"
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// The errors with which Submit and Pin reject a request.
var (
	ErrNoMemory  = errors.New("engine has too little free KV memory; send the request to another engine or wait")
	ErrLeaving   = errors.New("engine is leaving; send the request to another engine")
	ErrDown      = errors.New("engine is down; send the request to another engine")
	ErrDuplicate = errors.New("engine already has a stream or KV block with this id; use a new id")
)

// Config sets the capacity, speed and reporting of an engine.
type Config struct {
	MemoryTokens   int           // KV memory, in tokens
	PrefillRate    float64       // tokens per second, over all prompts; 0 or less: 1
	DecodeInterval time.Duration // between two tokens of one running stream
	MaxBatch       int           // maximum number of streams that decode concurrently; 0: unlimited
	CacheTokens    int           // prefix cache, in tokens, separate from the KV memory
	ReportLag      time.Duration // age of the data in a load report
	Grace          time.Duration // time between the deadline of a stream and its drop
	KeepExpired    bool          // keep streams past their deadline
	TokenEvents    bool          // emit Token events besides FirstToken, Finished and Dropped
	RecordCache    bool          // record cache events for TakeCacheEvents
	Model          string        // model name in load reports
}

// Job is one generation request.
type Job struct {
	ID           string
	Owner        string    // incarnation of the host that received the request
	Deadline     time.Time // zero: no deadline
	PromptTokens int
	MaxTokens    int // output limit; reserved in full
	OutputTokens int // length of the response; 0 or above MaxTokens: MaxTokens
	Priority     int // lower values run first
	PromptBytes  int
	// ReserveTokens is the memory to reserve if the KV memory of the prompt is
	// split over several engines; 0: PromptTokens plus MaxTokens.
	ReserveTokens int
	PrefixHashes  []uint64 // hashes of the leading blocks, shortest first
	BlockTokens   int      // tokens in one block
}

// EventKind tells what an Event reports.
type EventKind uint8

// The kinds of Event.
const (
	FirstToken EventKind = iota + 1 // the first token is generated; Tokens is 1
	Token                           // Tokens further tokens are generated
	Finished                        // the response is complete; Tokens is its length
	Dropped                         // the deadline and the grace period have passed; Tokens is the length so far
)

// String returns the name of the kind as used in logs and test output.
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

// Event reports the progress or the end of one stream.
type Event struct {
	At           time.Time
	ID           string
	Kind         EventKind
	Tokens       int
	CachedTokens int // with FirstToken: prompt tokens found in the prefix cache
}

// Engine simulates one model engine.
type Engine struct {
	cfg      Config
	seed     uint64
	restarts int
	down     bool
	leaving  bool
	speed    float64

	now      time.Time // virtual time up to which the simulation has run
	workDone float64   // seconds of work at nominal speed
	seq      uint64

	streams        map[string]*stream
	pins           map[string]engineapi.Allocation
	prefill        streamHeap // by priority, then order of arrival
	decode         streamHeap // by lastTokenWork
	deadlines      streamHeap // by dropAt
	reservedTokens int
	prefillBacklog float64 // prompt tokens still to be prefilled
	cache          *prefixCache

	promptBytes   int64
	promptTokens  int64
	history       []snapshot
	pendingEvents []Event
	spareEvents   []Event
}

// stream is the state of one admitted job.
type stream struct {
	job            Job
	seq            uint64
	reservedTokens int
	outputTokens   int     // length of the complete response
	prefillLeft    float64 // prompt tokens still to be prefilled
	cachedTokens   int
	cacheConsulted bool // the prefix cache has been looked up for this stream
	decoding       bool
	firstTokenWork float64   // value of Engine.workDone at the first token
	lastTokenWork  float64   // value of Engine.workDone at the last token
	reportedTokens int       // tokens already reported in events
	dropAt         time.Time // zero: never

	queueIndex    int // position in Engine.prefill or Engine.decode
	deadlineIndex int // position in Engine.deadlines
}

// New returns an idle engine whose virtual time begins at start. The seed is only
// used to name its incarnations.
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

// Submit admits job at now and reserves memory for its prompt and its output
// limit. It returns ErrDown, ErrLeaving, ErrDuplicate or ErrNoMemory if the job
// is not admitted.
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
	s := &stream{job: job, seq: e.seq, reservedTokens: need, outputTokens: job.OutputTokens, prefillLeft: float64(job.PromptTokens)}
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

// Cancel ends the stream with this id at now and frees its memory. It reports
// whether the stream existed.
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

// Pin reserves memory for an exported or imported KV block until Release. The
// engine never frees it on its own, not even after the deadline.
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

// Release frees a pinned KV block and reports whether it existed.
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

// SetSpeed makes the engine run at factor times its nominal speed, from the time
// to which it has last been advanced. At 0 it makes no progress.
func (e *Engine) SetSpeed(factor float64) {
	e.speed = max(factor, 0)
	e.record()
}

// SetLeaving makes the engine reject new jobs with ErrLeaving, or admit them
// again.
func (e *Engine) SetLeaving(leaving bool) {
	e.leaving = leaving
	e.record()
}

// Crash discards all state at now and returns the ids of the lost streams in
// order of arrival. The engine stays down until Restart.
func (e *Engine) Crash(now time.Time) []string {
	e.runUntil(now)
	ids := e.streamIDsByArrival()
	e.reset()
	e.down = true
	e.history = nil
	e.record()
	return ids
}

// Restart starts a crashed engine again with empty state as a new incarnation.
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

// Down reports whether the engine has crashed and has not been restarted.
func (e *Engine) Down() bool { return e.down }

// ReservedTokens returns the KV memory reserved for streams and pinned blocks, in
// tokens.
func (e *Engine) ReservedTokens() int { return e.reservedTokens }

// Incarnation returns the id of the current engine process. It changes with each
// Restart.
func (e *Engine) Incarnation() string { return fmt.Sprintf("%016x-%d", e.seed, e.restarts) }
