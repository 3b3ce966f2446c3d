// Package catalog holds what operators publish for the entry hosts of a
// deployment: routes, services with their engines, organisations and their
// keys, and the targets that are registered at the moment. All values are
// immutable once built and safe for concurrent use.
package catalog

import (
	"net/netip"
	"time"
)

// Kind says what may be repeated on a route.
type Kind uint8

const (
	// NonIdempotent requests run at most once. It is the zero value, so that a
	// route whose kind cannot be read is never retried.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events. They may be
	// repeated only where the route is resumable.
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

// Backend is one of a route's services with its share of the requests.
type Backend struct {
	Service string
	Weight  int // in proportion to the sum over the route
}

// Route says which service answers the requests below a path of a host name.
type Route struct {
	Name        string
	Host        string // virtual host, from the request
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Backends    []Backend
	Timeout     time.Duration // longest that a caller is kept waiting
	Objective   time.Duration // time to the answer, or to a stream's first event
	MaxEventGap time.Duration // longest pause between two events of a timely stream
	MaxAttempts int           // targets that may run one request
	Public      bool          // needs no key
	Resumable   bool          // a stream may go on at another target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Bounds of a caller's patience with a silent stream.
const (
	patienceFloor      = 2 * time.Second
	patienceObjectives = 4 // times the objective
	patiencePauses     = 8 // times the longest pause
)

// AbandonAfter is how long callers of a stream wait for an event before they leave.
func (r *Route) AbandonAfter() time.Duration {
	return max(patienceFloor, patienceObjectives*r.Objective, patiencePauses*r.MaxEventGap)
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots                  int           // requests that run at once
	MemoryTokens           int           // tokens that fit in memory
	StepTime               time.Duration // one token step
	StepTimePerSeq         time.Duration // more for each request that writes
	StepTimePerKiloToken   time.Duration // more for each 1,000 tokens of context that write
	PrefillRate            float64       // prompt tokens
	AttentionTimePerMPairs time.Duration // reading, for a million pairs of a token and an earlier one
	StepsPerPass           int           // steps of one pass
}

// PrefillTime is how long one engine reads a prompt on its own.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	n := float64(tokens)
	linear := n / e.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.AttentionTimePerMPairs)
	return time.Duration(linear + pairs)
}

// Service is a group of equal targets.
type Service struct {
	Name     string
	MaxConns int     // connections that a target accepts from all hosts
	Engine   *Engine // nil for a plain service
}

// Organisation is a customer that holds keys.
type Organisation struct {
	Name     string
	Priority int // 0 is the highest
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TargetKey identifies one incarnation of a target.
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
	Leaving bool   // takes no new requests
}
