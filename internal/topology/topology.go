// Package topology holds what the platform publishes about the fleet: the
// entry hosts, the targets and the plan of what each target should run.
package topology

import "net/netip"

// MemberState is an entry host's state on the host list.
type MemberState string

// The states of a host or target on the published lists.
const (
	StateLive    MemberState = "live"
	StateLeaving MemberState = "leaving"
)

// Host is one entry host.
type Host struct {
	ID       string         `json:"id"`
	Partner  string         `json:"partner"`
	Domain   string         `json:"domain"`
	Region   string         `json:"region,omitempty"`
	State    MemberState    `json:"state"`
	PeerAddr netip.AddrPort `json:"peer_addr"`
}

// TargetKind tells engines from plain services.
type TargetKind string

// The kinds of target.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Target is one model engine or plain service.
type Target struct {
	ID      string         `json:"id"`
	Kind    TargetKind     `json:"kind"`
	Partner string         `json:"partner"`
	Domain  string         `json:"domain"`
	State   MemberState    `json:"state"`
	Addr    netip.AddrPort `json:"addr"`
	// Model is the model an engine serves, or the service's name.
	Model string `json:"model"`
	// MemoryTokens is the KV memory of an engine, in tokens.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// ChecksFencing tells whether the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Group names the engines that may hold one prompt in parts; empty: the engine may not.
	Group string `json:"group,omitempty"`
}

// DesiredEngine is the state that the plan asks of one engine.
type DesiredEngine struct {
	Target   string   `json:"target"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// HostList is the platform's lagging list of entry hosts.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// TargetList is the platform's lagging list of targets.
type TargetList struct {
	Targets []Target `json:"targets"`
}

// ModelMinimum is the least number of targets that must keep serving a model.
type ModelMinimum struct {
	Model      string `json:"model"`
	MinServing int    `json:"serving"`
}

// Plan is the published wanted state of the engines.
type Plan struct {
	Desired []DesiredEngine `json:"wanted"`
	// Minimums bounds how many targets of a model may change at the same time.
	Minimums []ModelMinimum `json:"minimums,omitempty"`
	// LoadsPerSecond is the weight store's rate, over all engines.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty"`
}
