// Package rules parses and evaluates the rules of the operators: a text file per
// partner with one rule per line. docs/RULES.md describes the grammar.
package rules

import "time"

// Objective is the metric that scheduling optimises for a partner.
type Objective string

// Values of Objective.
const (
	ObjectiveFirstToken Objective = "first-token"
	ObjectiveSlowdown   Objective = "slowdown"
)

// Class is a class of prompts by their length.
type Class string

// Values of Class, by the number of tokens in the prompt.
const (
	ClassShort  Class = "short"  // up to ShortMaxTokens
	ClassMedium Class = "medium" // up to MediumMaxTokens
	ClassLong   Class = "long"   // above MediumMaxTokens
)

// Upper limits of the classes, in tokens.
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
	// Weight is its share relative to the other organisations of its partner.
	Weight float64
	// TokensPerSecond is its rate limit for prompt and output tokens together;
	// zero means none.
	TokensPerSecond float64
	// BurstTokens is the burst size of the rate limit, in tokens.
	BurstTokens float64
}

// TimeLimit is the time limit of requests of a class.
type TimeLimit struct {
	Class Class
	Limit time.Duration
}

// Model maps a model name to the targets that may serve it.
type Model struct {
	Name string
	// Targets are patterns of target ids, as for path.Match.
	Targets []string
}

// ServicePath is the retry policy for calls to a service that match a method and a
// path.
type ServicePath struct {
	Service string
	Method  string // "*" for any
	Path    string // a pattern as for path.Match; with the suffix "/**" it includes all paths below
	// Repeatable is set if a call may be retried. Calls that match no rule are
	// repeatable only if their method is idempotent (RFC 9110, 9.2.2).
	Repeatable bool
	// Dedupes is set if the service deduplicates calls by idempotency key.
	Dedupes bool
}

// Set has the rules of one partner, from a file without errors.
type Set struct {
	Partner       string
	Objective     Objective
	Organisations []Organisation
	TimeLimits    []TimeLimit
	Models        []Model
	Services      []ServicePath
}
