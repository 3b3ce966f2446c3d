// Package catalog defines the published configuration of a deployment (routes,
// services with their engines, organisations and their keys, limits) and its
// registered targets. All values are immutable once built and safe for concurrent
// use.
package catalog

import (
	"net/netip"
	"slices"
	"time"
)

// Kind says whether the requests of a route may run more than once.
type Kind uint8

const (
	// NonIdempotent requests run at most once. It is the zero value, so that
	// requests of a route with an unknown kind are never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They may run more
	// than once only if the route is resumable.
	Streaming
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Backend is one of a route's services with its weight in the traffic split.
type Backend struct {
	Service string
	Weight  int // relative to the sum of the route's weights
}

// Route maps a virtual host and a path prefix to services.
type Route struct {
	Name        string
	Host        string // virtual host of the request
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Backends    []Backend
	Timeout     time.Duration // from arrival to the end of the answer
	Objective   time.Duration // latency objective for the answer, or for a stream's first event
	MaxEventGap time.Duration // largest gap between two events of a timely stream
	MaxAttempts int           // attempts that may run one request
	Public      bool          // requires no key
	Resumable   bool          // a stream may continue at another target
	Regions     Regions       // where requests may run
	Priority    int           // among the routes of its service; 0 is the highest
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Parameters of Route.AbandonAfter.
const (
	minAbandonAfter   = 2 * time.Second
	abandonObjectives = 4 // times the objective
	abandonEventGaps  = 8 // times the largest event gap
)

// AbandonAfter is the time without an event after which the caller of a stream is
// assumed to disconnect.
func (r *Route) AbandonAfter() time.Duration {
	return AbandonAfter(r.Objective, r.MaxEventGap)
}

// AbandonAfter is the time without an event after which the caller of a stream with
// the given objective and largest timely event gap is assumed to disconnect.
func AbandonAfter(objective, maxEventGap time.Duration) time.Duration {
	return max(minAbandonAfter, abandonObjectives*objective, abandonEventGaps*maxEventGap)
}

// Engine describes the capacity and the speed of a service's model engines. An
// engine works in passes of StepsPerPass token steps.
type Engine struct {
	Slots                  int           // requests that run at once
	MemoryTokens           int           // KV memory, in tokens
	StepTime               time.Duration // duration of a token step
	StepTimePerSeq         time.Duration // added for each decoding request
	StepTimePerKiloToken   time.Duration // added per 1,000 tokens of the decoding requests' context
	PrefillRate            float64       // prompt tokens per second
	AttentionTimePerMPairs time.Duration // added to prefill per million pairs of a token and an earlier one
	StepsPerPass           int           // token steps in a pass
}

// PrefillTime is the time that one otherwise idle engine takes to prefill a prompt.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	n := float64(tokens)
	linear := n / e.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.AttentionTimePerMPairs)
	return time.Duration(linear + pairs)
}

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	MaxConns   int     // connections that a target accepts from all hosts
	HealthPath string  // where a target tells whether it is healthy
	Engine     *Engine // nil for a plain service
	// ColdRate is the number of requests per second that a cold target accepts from all
	// hosts together, 0 for no limit; ColdPeriod is how long a target is cold after a start.
	ColdRate   float64
	ColdPeriod time.Duration
}

// Organisation is a customer that authenticates with keys.
type Organisation struct {
	Name     string
	Priority int     // 0 is the highest
	Regions  Regions // where its requests may run
}

// Regions are the regions in which requests may run; none means everywhere.
type Regions []string

// Permit reports whether requests may run in a region. A region that is not known, "", is
// permitted only if all are.
func (r Regions) Permit(region string) bool {
	return len(r) == 0 || (region != "" && slices.Contains(r, region))
}

// Limits holds the size and time limits for callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TargetKey identifies one incarnation of a target, from its start to its end.
type TargetKey struct {
	ID             string
	StartUnixMilli int64 // Unix time of its start in milliseconds; 0 if unknown
}

// Target is one registered target.
type Target struct {
	TargetKey
	Service string
	Addr    netip.AddrPort
	Domain  string // failure domain
	Slots   int    // requests that run at once
	Leaving bool   // draining: takes no new requests
	// ColdFor is how much longer the target is cold as of its registration. In a view,
	// ColdUntil is when that ends, zero if it is not cold.
	ColdFor   time.Duration
	ColdUntil time.Time
}
