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
	// livenessTimeout bounds the load request that checks whether an engine is alive.
	livenessTimeout = 300 * time.Millisecond
)

// estimatorAdapter adapts cost.Estimator to completion.Estimator.
type estimatorAdapter struct{ *cost.Estimator }

// PromptTokens estimates the number of tokens of a prompt from its size in bytes.
func (e estimatorAdapter) PromptTokens(model string, bytes int) int {
	return e.EstimateTokens(model, bytes)
}

// IdleTimeToFirstToken estimates the time to the first token on an idle engine.
func (e estimatorAdapter) IdleTimeToFirstToken(model string, promptTokens int) time.Duration {
	rates := e.Rates(model)
	return rates.PrefillTime(float64(promptTokens)) + rates.DecodeTime(1)
}

// engineAdapter adapts engine.Client to completion.Engines.
type engineAdapter struct {
	client      *engine.Client
	self        identity.Incarnation
	incarnation func(target string) string
	onLeaving   func(target topology.Target) // called when an engine reports that it is leaving
}

// Prepare builds the part of the engine request that all attempts share.
func (e *engineAdapter) Prepare(req completion.Request) (completion.PreparedPrompt, error) {
	return &engineCall{engineAdapter: e, req: engineapi.GenerateRequest{
		ID: req.ID + "." + e.self.Host, Owner: e.self.String(), DeadlineMS: req.Deadline.UnixMilli(), Model: req.Model, Adapter: req.Adapter,
		Prompt: req.Prompt, MaxTokens: req.MaxTokens, Stop: req.Stop,
	}}, nil
}

// engineCall runs the attempts of one prompt. It implements completion.PreparedPrompt.
type engineCall struct {
	*engineAdapter
	req      engineapi.GenerateRequest
	attempts int
}

// Attempt runs the prompt once on the grant's target.
func (c *engineCall) Attempt(ctx context.Context, grant schedule.Grant, token func(string) error) (completion.Attempt, error) {
	target := grant.Target()
	req := c.req
	c.attempts++
	req.ID = fmt.Sprintf("%s.%d", c.req.ID, c.attempts) // engines reject duplicate request ids
	req.Priority = grant.Priority()
	req.Model = target.Model
	if group, ok := grant.(schedule.GroupGrant); ok {
		req.Parts = group.Parts()
	}
	result, err := c.client.Generate(ctx, target, req, func(chunk engineapi.Chunk) error { return token(chunk.Token) })
	attempt := completion.Attempt{
		Outcome: result.Outcome, Tokens: result.Tokens, FinishReason: result.FinishReason, Usage: result.Usage,
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

// processExited reports whether the engine's process ended during an attempt whose
// connection was lost. If the error alone does not show it, it requests the engine's load
// report. An engine that does not respond counts as exited; if that is wrong, the
// only effect is that the prompt becomes a suspect.
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

// engineError converts the error of an attempt that is not retried to the error for
// the caller.
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
