// Package engineapi defines the messages of the engines' HTTP protocol, which
// docs/TARGETS.md describes. The client and the stand-in engine used in tests
// share them.
package engineapi

// Paths of the engine protocol.
const (
	PathGenerate       = "/v1/generate"     // POST GenerateRequest; the response is one Chunk per line
	PathStreams        = "/v1/streams"      // GET returns AllocationList; GET {id}?offset=N resumes a stream; DELETE {id} cancels it
	PathLoad           = "/v1/load"         // GET returns LoadReport
	PathCacheEvents    = "/v1/cache-events" // GET ?after=seq returns CacheEvents
	PathState          = "/v1/state"        // GET returns and PUT sets State
	PathKVExport       = "/v1/kv/export"    // POST KVExportRequest returns KVBlock
	PathKVImport       = "/v1/kv/import"    // POST KVBlock
	PathKV             = "/v1/kv"           // DELETE {id} releases an exported or imported block
	PathStandinControl = "/standin/control" // POST configures fault injection; served by stand-ins only
)

// Headers that both engines and services use.
const (
	// HeaderRequestID carries the request id, which the target must echo in its
	// response.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun is "1" on a refusal when the target did not run the call.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is "1" on every response of a target that is leaving and
	// therefore takes no new work.
	HeaderLeaving = "X-Leaving"
)

// GenerateRequest asks an engine to run one prompt.
type GenerateRequest struct {
	ID         string   `json:"id"`
	Owner      string   `json:"owner"`       // incarnation of the host that received the request, "host@start"
	DeadlineMS int64    `json:"deadline_ms"` // Unix time in milliseconds, after which the engine drops the stream
	Model      string   `json:"model"`
	Adapter    string   `json:"adapter,omitempty"`
	Prompt     string   `json:"prompt"`
	MaxTokens  int      `json:"max_tokens"`
	Priority   int      `json:"priority"` // lower values run first
	Stop       []string `json:"stop,omitempty"`
	// Parts lists the engines across which the prompt's KV cache is partitioned. It
	// is empty when this engine holds all of it.
	Parts []KVPart `json:"parts,omitempty"`
}

// KVPart is the part of a prompt's KV cache that one engine holds.
type KVPart struct {
	Target string `json:"target"` // target id of the engine
	Tokens int    `json:"tokens"`
}

// Chunk is one line of an engine's response. The last line is the end marker: it
// has End set and carries the number of tokens sent before it.
type Chunk struct {
	ID           string `json:"id"`
	Offset       int    `json:"offset"` // zero-based index of the token in the response
	Token        string `json:"token,omitempty"`
	End          bool   `json:"end,omitempty"`
	Count        int    `json:"count,omitempty"`  // with End: number of tokens in the complete response
	FinishReason string `json:"reason,omitempty"` // with End: "stop", "length", "cancelled" or "error"
	Usage        *Usage `json:"usage,omitempty"`  // with End
	Error        string `json:"error,omitempty"`  // with End and finish reason "error"
}

// Usage holds the token counts of one request.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// Values of Allocation.Kind.
const (
	AllocationStream = "stream"
	AllocationKV     = "kv"
)

// Allocation is engine memory that is pinned by a running stream or by a KV block.
type Allocation struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"` // AllocationStream or AllocationKV
	Owner      string `json:"owner"`
	DeadlineMS int64  `json:"deadline_ms"`
	Tokens     int    `json:"tokens"`
}

// AllocationList lists everything that pins an engine's memory.
type AllocationList struct {
	Allocations []Allocation `json:"held"`
}

// LoadReport is an engine's load as of ObservedMS, which lags behind the time of
// the response.
type LoadReport struct {
	Incarnation   string  `json:"incarnation"` // changes when the engine restarts
	ObservedMS    int64   `json:"observed_ms"` // Unix time of the measurement, in milliseconds
	Model         string  `json:"model"`
	Leaving       bool    `json:"leaving"`
	Running       int     `json:"running"`
	PrefillTokens int     `json:"prefill_tokens"` // prompt tokens still to be prefilled
	MemoryUsed    int     `json:"memory_used"`    // tokens
	MemoryTotal   int     `json:"memory_total"`   // tokens
	PrefillRate   float64 `json:"prefill_rate"`   // tokens per second during prefill
	DecodeRate    float64 `json:"decode_rate"`    // tokens per second of one stream
	PromptBytes   int64   `json:"prompt_bytes"`   // cumulative; with PromptTokens, gives the ratio of bytes to tokens
	PromptTokens  int64   `json:"prompt_tokens"`  // cumulative
}

// CacheEvent reports that a prompt prefix was added to or evicted from an
// engine's prefix cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"` // hash of the prefix's blocks
	Tokens int    `json:"tokens"`
	Added  bool   `json:"added"`
}

// CacheEvents is a batch of consecutive cache events. If From is greater than the
// requested sequence number plus one, the events in between are lost.
type CacheEvents struct {
	From   uint64       `json:"from"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// State describes what an engine runs. In a PUT request it is the desired state.
type State struct {
	Fencing  uint64   `json:"fencing"` // fencing number of the last applied or requested change
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Serving  bool     `json:"serving"` // false while the model loads; ignored in a PUT request
}

// KVExportRequest asks an engine to pin and export a stream's KV cache.
type KVExportRequest struct {
	ID         string `json:"id"`
	Stream     string `json:"stream"`
	Owner      string `json:"owner"`
	DeadlineMS int64  `json:"deadline_ms"`
}

// KVBlock is an exported block of KV cache.
type KVBlock struct {
	ID         string `json:"id"`
	Owner      string `json:"owner"`
	DeadlineMS int64  `json:"deadline_ms"`
	Tokens     int    `json:"tokens"`
	Data       []byte `json:"data,omitempty"`
}

// Values of Refusal.Reason.
const (
	ReasonBusy         = "busy"
	ReasonLeaving      = "leaving"
	ReasonNoMemory     = "no_memory"
	ReasonWrongModel   = "wrong_model"
	ReasonLoading      = "loading"
	ReasonStaleFencing = "stale_fencing"
	ReasonNotFound     = "not_found"
	ReasonDuplicate    = "duplicate" // the engine already has a stream or block with this id
	ReasonInvalid      = "invalid"   // the request cannot be decoded
)

// Refusal is the body of a response that refuses a request.
type Refusal struct {
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
}
