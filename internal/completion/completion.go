// Package completion runs prompts, from admission to the last output token. It
// does not depend on HTTP servers.
package completion

import (
	"context"
	"time"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/rules"
)

// Request is one prompt of one organisation.
type Request struct {
	ID           string
	Partner      string
	Organisation rules.Organisation
	Model        string
	Adapter      string
	Prompt       string
	MaxTokens    int
	Stop         []string
	Arrival      time.Time
	Deadline     time.Time
	// Forwarded is set if another host forwarded the request to this one, so that
	// it is not forwarded again.
	Forwarded bool
}

// Result describes a complete response.
type Result struct {
	FinishReason string // "stop" or "length"
	Usage        engineapi.Usage
}

// Sink receives the output tokens in order, each exactly once.
type Sink interface {
	// Token receives the next token. An error ends the request.
	Token(text string) error
	// Reset discards the tokens received so far, so that a retry can start from
	// the beginning. It reports false if some were already sent to the caller.
	Reset() bool
}

// Runner runs prompts. The error of Run is an *apierror.Error.
type Runner interface {
	Run(ctx context.Context, req Request, sink Sink) (Result, error)
}
