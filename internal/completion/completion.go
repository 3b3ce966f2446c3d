// Package completion runs one prompt from admission to its last token. It
// knows nothing of HTTP servers.
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
	// Forwarded is set when another host already chose this one; the request
	// is then not forwarded again.
	Forwarded bool
}

// Result describes a whole answer.
type Result struct {
	FinishReason string // "stop" or "length"
	Usage        engineapi.Usage
}

// Sink takes the answer's tokens in order, each exactly once.
type Sink interface {
	// Token takes the next token. An error ends the request.
	Token(text string) error
	// Reset drops the tokens taken so far so that another run may start from
	// the beginning. It reports false when some of them already left.
	Reset() bool
}

// Runner runs prompts. The error of Run is an *apierror.Error.
type Runner interface {
	Run(ctx context.Context, req Request, sink Sink) (Result, error)
}
