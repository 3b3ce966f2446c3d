// Package status holds what an operator sees of one host at a glance.
package status

// Status is the state of one host.
type Status struct {
	Host           string           `json:"host"`
	Incarnation    string           `json:"incarnation"`
	Version        string           `json:"version"`
	Partner        string           `json:"partner"`
	FailureDomain  string           `json:"failure_domain"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"not_ready_because,omitempty"`
	DegradedReason string           `json:"note,omitempty"` // what a ready host lacks
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

// Value is one published value as this host knows it.
type Value struct {
	Key        string  `json:"key"`
	Revision   uint64  `json:"revision"`
	AgeSeconds float64 `json:"age_seconds"` // since the last confirmation; negative: never confirmed
	Problem    string  `json:"problem,omitempty"`
}

// Peer is the link to another host.
type Peer struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation,omitempty"`
	State       string `json:"state"`
}

// Target is one target as this host sees it.
type Target struct {
	ID                   string  `json:"id"`
	Model                string  `json:"model"`
	State                string  `json:"state"`
	Running              int     `json:"running"`
	PredictedWaitSeconds float64 `json:"predicted_wait_seconds"`
	MemoryReservedTokens int     `json:"memory_reserved_tokens"`
	MemoryTotalTokens    int     `json:"memory_total_tokens"`
}

// Quarantine is one refused fingerprint.
type Quarantine struct {
	Fingerprint      string  `json:"fingerprint"`
	RemainingSeconds float64 `json:"left_seconds"`
}

// Tickets counts the tickets that this host owns.
type Tickets struct {
	Held          int   `json:"held"`
	Capacity      int   `json:"capacity"`
	Bytes         int64 `json:"bytes"`
	ClosedLedgers int   `json:"closed_ledgers"`
}

// RefusalCounter counts the errors of one kind.
type RefusalCounter struct {
	Kind  string `json:"kind"`
	Count int64  `json:"count"`
}
