// Package status defines the status report of a host, as served to operators.
package status

// Status is the status report of one host.
type Status struct {
	Host           string           `json:"host"`
	Incarnation    string           `json:"incarnation"`
	Version        string           `json:"version"`
	Partner        string           `json:"partner"`
	FailureDomain  string           `json:"failure_domain"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"not_ready_because,omitempty"`
	DegradedReason string           `json:"note,omitempty"` // why a ready host may serve outdated values; empty: no known reason
	Draining       bool             `json:"draining"`
	UptimeSeconds  float64          `json:"up_seconds"`
	Values         []Value          `json:"values"`
	PlatformReader bool             `json:"reader"`
	Peers          []Peer           `json:"peers"`
	Targets        []Target         `json:"targets"`
	Queued         int              `json:"queued"`
	Quarantined    []Quarantine     `json:"quarantined"`
	Tickets        Tickets          `json:"tickets"`
	Refusals       []RefusalCounter `json:"refusals"`
}

// Value is the revision of a published value that is in force on this host.
type Value struct {
	Key        string  `json:"key"`
	Revision   uint64  `json:"revision"`
	AgeSeconds float64 `json:"age_seconds"` // since the configuration service last confirmed the revision; negative: never
	Problem    string  `json:"problem,omitempty"`
}

// Peer is the state of the connection to another host.
type Peer struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation,omitempty"`
	State       string `json:"state"`
}

// Target is the state of a target as this host's scheduler sees it.
type Target struct {
	ID                   string  `json:"id"`
	Model                string  `json:"model"`
	State                string  `json:"state"`
	Running              int     `json:"running"`
	PredictedWaitSeconds float64 `json:"predicted_wait_seconds"`
	MemoryReservedTokens int     `json:"memory_reserved_tokens"`
	MemoryTotalTokens    int     `json:"memory_total_tokens"`
}

// Quarantine is the fingerprint of a request that is refused because it crashed
// targets.
type Quarantine struct {
	Fingerprint      string  `json:"fingerprint"`
	RemainingSeconds float64 `json:"left_seconds"`
}

// Tickets is the usage of this host's ledger of tickets, and the number of closed
// ledgers that it holds.
type Tickets struct {
	Held          int   `json:"held"`
	Capacity      int   `json:"capacity"`
	Bytes         int64 `json:"bytes"`
	ClosedLedgers int   `json:"closed_ledgers"`
}

// RefusalCounter is the number of error responses of one kind.
type RefusalCounter struct {
	Kind  string `json:"kind"`
	Count int64  `json:"count"`
}
