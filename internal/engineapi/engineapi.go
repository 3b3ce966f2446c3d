// Package engineapi holds the messages of the engines' HTTP protocol, which
// docs/TARGETS.md describes. The client and the stand-in share them.
package engineapi

// Paths of the engine protocol.
const (
	PathGenerate       = "/v1/generate"     // POST GenerateRequest; answers lines of Chunk
	PathStreams        = "/v1/streams"      // GET HeldList; {id}?offset=N resumes; DELETE {id} cancels
	PathLoad           = "/v1/load"         // GET LoadReport
	PathCacheEvents    = "/v1/cache-events" // GET ?after=seq; CacheEvents
	PathState          = "/v1/state"        // GET and PUT State
	PathKVExport       = "/v1/kv/export"    // POST KVExportRequest; KVBlock
	PathKVImport       = "/v1/kv/import"    // POST KVBlock
	PathKV             = "/v1/kv"           // DELETE {id} releases an exported block
	PathStandinControl = "/standin/control" // POST; fault switches of the stand-in only
)

// Headers that engines and services share.
const (
	// HeaderRequestID carries the request's id; a target must echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun is "1" on a refusal by a target that did not run the call.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is "1" on any answer of a target that is leaving.
	HeaderLeaving = "X-Leaving"
)

// GenerateRequest asks an engine to run one prompt.
type GenerateRequest struct {
	ID         string   `json:"id"`
	Owner      string   `json:"owner"`       // incarnation of the entry host, "host@start"
	DeadlineMS int64    `json:"deadline_ms"` // Unix time in milliseconds; the engine drops the stream after it
	Model      string   `json:"model"`
	Adapter    string   `json:"adapter,omitempty"`
	Prompt     string   `json:"prompt"`
	MaxTokens  int      `json:"max_tokens"`
	Priority   int      `json:"priority"` // lower runs first
	Stop       []string `json:"stop,omitempty"`
	// Parts names the engines that hold the prompt's KV memory in parts, by target id; empty: this one alone.
	Parts []KVPart `json:"parts,omitempty"`
}

// KVPart is one engine's share of a prompt that is held in parts.
type KVPart struct {
	Target string `json:"target"`
	Tokens int    `json:"tokens"`
}

// Chunk is one line of an engine's answer. The last line has End set and the
// count of tokens that were sent before it.
type Chunk struct {
	ID           string `json:"id"`
	Offset       int    `json:"offset"` // index of the token in the answer, from 0
	Token        string `json:"token,omitempty"`
	End          bool   `json:"end,omitempty"`
	Count        int    `json:"count,omitempty"`  // with End: tokens in the whole answer
	FinishReason string `json:"reason,omitempty"` // with End: "stop", "length", "cancelled" or "error"
	Usage        *Usage `json:"usage,omitempty"`  // with End
	Error        string `json:"error,omitempty"`  // with End and reason "error"
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// The kinds of Held.
const (
	AllocationStream = "stream"
	AllocationKV     = "kv"
)

// Allocation is one thing that pins an engine's memory.
type Allocation struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"` // HeldStream or HeldKV
	Owner      string `json:"owner"`
	DeadlineMS int64  `json:"deadline_ms"`
	Tokens     int    `json:"tokens"`
}

// AllocationList is everything that pins an engine's memory.
type AllocationList struct {
	Allocations []Allocation `json:"held"`
}

// LoadReport is what an engine says about its load, with a lag.
type LoadReport struct {
	Incarnation   string  `json:"incarnation"` // changes when the engine restarts
	ObservedMS    int64   `json:"observed_ms"` // Unix time in milliseconds of the observation
	Model         string  `json:"model"`
	Leaving       bool    `json:"leaving"`
	Running       int     `json:"running"`
	PrefillTokens int     `json:"prefill_tokens"` // prefill tokens not yet computed
	MemoryUsed    int     `json:"memory_used"`    // tokens
	MemoryTotal   int     `json:"memory_total"`   // tokens
	PrefillRate   float64 `json:"prefill_rate"`   // tokens per second while prefilling
	DecodeRate    float64 `json:"decode_rate"`    // tokens per second of one running stream
	PromptBytes   int64   `json:"prompt_bytes"`   // cumulative, with PromptTokens: bytes to tokens
	PromptTokens  int64   `json:"prompt_tokens"`  // cumulative
}

// CacheEvent says that a prompt prefix came into or left an engine's cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"` // hash of the prefix's blocks
	Tokens int    `json:"tokens"`
	Added  bool   `json:"added"`
}

// CacheEvents is a run of cache events. When From is above the asked sequence
// plus one, events in between are lost.
type CacheEvents struct {
	From   uint64       `json:"from"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// State is what an engine runs, and as an order what it should run.
type State struct {
	Fencing  uint64   `json:"fencing"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Serving  bool     `json:"serving"` // false while loading; ignored in an order
}

// KVExportRequest asks an engine to pin and export a stream's KV memory.
type KVExportRequest struct {
	ID         string `json:"id"`
	Stream     string `json:"stream"`
	Owner      string `json:"owner"`
	DeadlineMS int64  `json:"deadline_ms"`
}

// KVBlock is an exported piece of KV memory.
type KVBlock struct {
	ID         string `json:"id"`
	Owner      string `json:"owner"`
	DeadlineMS int64  `json:"deadline_ms"`
	Tokens     int    `json:"tokens"`
	Data       []byte `json:"data,omitempty"`
}

// The reasons of a Refusal.
const (
	ReasonBusy         = "busy"
	ReasonLeaving      = "leaving"
	ReasonNoMemory     = "no_memory"
	ReasonWrongModel   = "wrong_model"
	ReasonLoading      = "loading"
	ReasonStaleFencing = "stale_fencing"
	ReasonNotFound     = "not_found"
	ReasonDuplicate    = "duplicate" // the engine already has something of this id
	ReasonInvalid      = "invalid"   // the request cannot be read
)

// Refusal is the body of an engine's refusal.
type Refusal struct {
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
}
