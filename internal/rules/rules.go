// Package rules parses and evaluates the operators' rules: a plain text file per
// partner with one rule per line. docs/RULES.md describes the grammar.
package rules

import "time"

// Objective is the performance measure that has the most weight for a partner.
type Objective string

// The objectives that a partner can choose.
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
	// Weight is its relative share among the organisations of its partner.
	Weight float64
	// TokensPerSecond is its rate limit in prompt and output tokens. Zero means no
	// limit.
	TokensPerSecond float64
	// BurstTokens is the number of tokens that it may use ahead of its rate.
	BurstTokens float64
}

// TimeLimit is the longest time that a request of a class may take.
type TimeLimit struct {
	Class Class
	Limit time.Duration
}

// Model maps a model name to the targets that may serve it.
type Model struct {
	Name string
	// Targets are patterns of target ids in the syntax of path.Match.
	Targets []string
}

// ServicePath is a rule on how calls of a plain service may be repeated.
type ServicePath struct {
	Service string
	Method  string // "*" for any
	Path    string // a path.Match pattern; with the suffix "/**" it also matches all paths below
	// Repeatable reports whether a call may be repeated. Calls that no rule
	// names are repeatable only if their method is idempotent (RFC 9110, 9.2.2).
	Repeatable bool
	// Dedupes reports that the service deduplicates calls by idempotency key, which
	// is the ticket of the call.
	Dedupes bool
}

// Set holds the rules of one partner's file. It exists only if the whole file is
// valid.
type Set struct {
	Partner       string
	Objective     Objective
	Organisations []Organisation
	TimeLimits    []TimeLimit
	Models        []Model
	Services      []ServicePath
}
