// Package topology defines the values that the platform publishes about the
// fleet: the entry hosts, the targets and the desired state of each engine.
package topology

import "net/netip"

// MemberState is the state of a host or a target on its published list.
type MemberState string

// The states of hosts and targets. A leaving member accepts no new work.
const (
	StateLive    MemberState = "live"
	StateLeaving MemberState = "leaving"
)

// Host is an entry host on the published host list.
type Host struct {
	ID       string         `json:"id"`
	Partner  string         `json:"partner"`
	Domain   string         `json:"domain"`
	Region   string         `json:"region,omitempty"`
	State    MemberState    `json:"state"`
	PeerAddr netip.AddrPort `json:"peer_addr"`
}

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of targets.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Target is a model engine or an instance of a plain service.
type Target struct {
	ID      string         `json:"id"`
	Kind    TargetKind     `json:"kind"`
	Partner string         `json:"partner"`
	Domain  string         `json:"domain"`
	State   MemberState    `json:"state"`
	Addr    netip.AddrPort `json:"addr"`
	// Model is the model an engine serves, or the service's name.
	Model string `json:"model"`
	// MemoryTokens is the KV cache capacity of an engine, in tokens.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// ChecksFencing reports whether the engine rejects orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Group names a set of engines that can split one prompt among them. An engine
	// without a group serves only prompts that fit into its own memory.
	Group string `json:"group,omitempty"`
}

// DesiredEngine is the desired state of one engine.
type DesiredEngine struct {
	Target   string   `json:"target"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// HostList is the published list of entry hosts. It may lag behind the fleet.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// TargetList is the published list of targets. It may lag behind the fleet.
type TargetList struct {
	Targets []Target `json:"targets"`
}

// ModelMinimum is the minimum number of targets that must keep serving a model.
type ModelMinimum struct {
	Model      string `json:"model"`
	MinServing int    `json:"serving"`
}

// Plan is the published desired state of the engines.
type Plan struct {
	Desired []DesiredEngine `json:"wanted"`
	// Minimums limit how many targets of a model may change at the same time.
	Minimums []ModelMinimum `json:"minimums,omitempty"`
	// LoadsPerSecond is the rate at which the weight store can serve model loads, over
	// all engines.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty"`
}
