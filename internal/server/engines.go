package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/completion"
	"github.com/plantainrun/plantainrun/internal/cost"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	engineRetryAfter = time.Second
	// aliveTimeout bounds the question whether an engine lives.
	livenessTimeout = 300 * time.Millisecond
)

// estimate adapts the estimator of token counts.
type estimatorAdapter struct{ *cost.Estimator }

// PromptTokens estimates the tokens of a prompt of so many bytes.
func (e estimatorAdapter) PromptTokens(model string, bytes int) int {
	return e.EstimateTokens(model, bytes)
}

// IdleFirstToken is the time to the first token on an idle engine.
func (e estimatorAdapter) IdleFirstToken(model string, promptTokens int) time.Duration {
	rates := e.Rates(model)
	return rates.PrefillTime(float64(promptTokens)) + rates.DecodeTime(1)
}

// engines adapts the engines' client to completion.Engines.
type engineAdapter struct {
	client      *engine.Client
	self        identity.Incarnation
	incarnation func(target string) string
	onLeaving   func(target topology.Target) // is told when an engine says that it leaves
}

// Prepare makes the request that all attempts share.
func (e *engineAdapter) Prepare(req completion.Request) (completion.Call, error) {
	return &engineCall{engineAdapter: e, req: engineapi.GenerateRequest{
		ID: req.ID + "." + e.self.Host, Owner: e.self.String(), DeadlineMS: req.Deadline.UnixMilli(), Model: req.Model, Adapter: req.Adapter,
		Prompt: req.Prompt, MaxTokens: req.MaxTokens, Stop: req.Stop,
	}}, nil
}

type engineCall struct {
	*engineAdapter
	req      engineapi.GenerateRequest
	attempts int
}

// Attempt runs the prompt once under grant.
func (c *engineCall) Attempt(ctx context.Context, grant schedule.Grant, token func(string) error) (completion.Attempt, error) {
	target := grant.Target()
	req := c.req
	c.attempts++
	req.ID = fmt.Sprintf("%s.%d", c.req.ID, c.attempts) // engines refuse an id that they know
	req.Priority = grant.Priority()
	req.Model = target.Model
	if group, ok := grant.(schedule.GroupGrant); ok {
		req.Parts = group.Parts()
	}
	result, err := c.client.Generate(ctx, target, req, func(chunk engineapi.Chunk) error { return token(chunk.Token) })
	attempt := completion.Attempt{
		Outcome: result.Outcome, Tokens: result.Tokens, Reason: result.FinishReason, Usage: result.Usage,
	}
	if result.Leaving {
		c.onLeaving(target)
	}
	if err == nil {
		return attempt, nil
	}
	attempt.Died = c.processExited(ctx, target, err)
	return attempt, engineError(err, result.Outcome)
}

// died reports whether the engine's process ended during an attempt that was
// lost. Where the loss does not tell, the engine is asked: one that does not
// answer counts as dead, which charges the prompt with a suspicion only.
func (c *engineCall) processExited(ctx context.Context, target topology.Target, err error) bool {
	var engineErr *engine.Error
	if !errors.As(err, &engineErr) || engineErr.Kind != engine.KindLost {
		return false
	}
	if engineErr.ProcessExited {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	report, err := c.client.Load(ctx, target)
	return err != nil || report.Incarnation != c.incarnation(target.ID)
}

// engineError is what a caller is told of a failed attempt that is not repeated.
func engineError(err error, result outcome.Outcome) error {
	var e *engine.Error
	if !errors.As(err, &e) {
		return apierror.New(apierror.KindInternal, result, "report this to the maintainers", "%s", err)
	}
	kind := apierror.KindTargetFailed
	switch e.Kind {
	case engine.KindDeadline, engine.KindCancelled:
		kind = apierror.KindDeadline
	case engine.KindIncomplete, engine.KindLost, engine.KindDropped:
		kind = apierror.KindIncomplete
	}
	return apierror.New(kind, result, "ask again", "%s", e).WithRetryAfter(engineRetryAfter)
}
