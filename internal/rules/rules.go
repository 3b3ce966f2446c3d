// Package rules holds the operators' rules: a plain text file per partner with
// one rule per line. docs/RULES.md describes the grammar.
package rules

import "time"

// Objective is the measure that a partner weighs most.
type Objective string

// The objectives a partner can publish.
const (
	ObjectiveFirstToken Objective = "first-token"
	ObjectiveSlowdown   Objective = "slowdown"
)

// Class is a class of prompt length.
type Class string

// The classes of prompt length, by tokens in the prompt.
const (
	ClassShort  Class = "short"  // up to ShortMaxTokens
	ClassMedium Class = "medium" // up to MediumMaxTokens
	ClassLong   Class = "long"   // above MediumMaxTokens
)

// Bounds of the classes of prompt length, in tokens.
const (
	ShortMaxTokens  = 8_000
	MediumMaxTokens = 100_000
)

// ClassOf returns the class of a prompt of the given number of tokens.
func ClassOf(promptTokens int) Class {
	switch {
	case promptTokens <= ShortMaxTokens:
		return ClassShort
	case promptTokens <= MediumMaxTokens:
		return ClassMedium
	default:
		return ClassLong
	}
}

// Organisation is one customer of a partner.
type Organisation struct {
	Name string
	// KeyHashes are the lower-case hexadecimal SHA-256 sums of its bearer keys.
	KeyHashes []string
	// Weight is its share among the organisations of its partner.
	Weight float64
	// TokensPerSecond is its rate limit in prompt and output tokens; zero: none.
	TokensPerSecond float64
	// BurstTokens is how far it may run ahead of its rate.
	BurstTokens float64
}

// TimeLimit caps the time that a request of a class may take.
type TimeLimit struct {
	Class Class
	Limit time.Duration
}

// Model maps a model name to the targets that may serve it.
type Model struct {
	Name string
	// Targets are patterns of target ids as in path.Match.
	Targets []string
}

// ServicePath marks calls on a plain service.
type ServicePath struct {
	Service string
	Method  string // "*" for any
	Path    string // a pattern as in path.Match, or a prefix that ends in "/**"
	// Repeatable tells whether a call may be repeated. Calls that no rule
	// names are repeatable only if their method is idempotent (RFC 9110, 9.2.2).
	Repeatable bool
	// Dedupes tells that the service itself recognises a repeated idempotency key.
	Dedupes bool
}

// Set is one partner's rules, valid as a whole.
type Set struct {
	Partner       string
	Objective     Objective
	Organisations []Organisation
	TimeLimits    []TimeLimit
	Models        []Model
	Services      []ServicePath
}
