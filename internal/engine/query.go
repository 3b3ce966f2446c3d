package engine

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	maxResponseBytes = 16 << 20
	commandTimeout   = 5 * time.Second // for the response header, and again for the body
)

// Load returns the engine's load report. The call has no timeout other than ctx.
func (c *Client) Load(ctx context.Context, target topology.Target) (engineapi.LoadReport, error) {
	var report engineapi.LoadReport
	err := c.query(ctx, target, engineapi.PathLoad, &report)
	return report, err
}

// CacheEvents returns the cache events that follow the sequence number after. If Next
// is less than after, the engine has restarted.
func (c *Client) CacheEvents(ctx context.Context, target topology.Target, after uint64) (engineapi.CacheEvents, error) {
	var events engineapi.CacheEvents
	err := c.query(ctx, target, engineapi.PathCacheEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// ListAllocations lists everything that pins the engine's memory. It uses a new
// connection and bypasses the circuit breaker, because memory that is not listed is
// not released.
func (c *Client) ListAllocations(ctx context.Context, target topology.Target) ([]engineapi.Allocation, error) {
	var list engineapi.AllocationList
	_, err := c.command(ctx, target, http.MethodGet, engineapi.PathStreams, rand.Text(), nil, &list)
	return list.Allocations, err
}

// State returns what the engine runs.
func (c *Client) State(ctx context.Context, target topology.Target) (engineapi.State, error) {
	var state engineapi.State
	err := c.query(ctx, target, engineapi.PathState, &state)
	return state, err
}

// PutState sets the engine's desired state, on a new connection, and returns the state
// from the response. The outcome of an error tells whether the request may have
// reached the engine. Engines that check fencing numbers refuse an old one with
// engineapi.ReasonStaleFencing.
func (c *Client) PutState(ctx context.Context, target topology.Target, desired engineapi.State) (engineapi.State, error) {
	var state engineapi.State
	_, err := c.command(ctx, target, http.MethodPut, engineapi.PathState, rand.Text(), desired, &state)
	return state, err
}

// ExportKV asks the engine to pin and export a stream's KV cache.
func (c *Client) ExportKV(ctx context.Context, target topology.Target, req engineapi.KVExportRequest) (engineapi.KVBlock, error) {
	var block engineapi.KVBlock
	_, err := c.command(ctx, target, http.MethodPost, engineapi.PathKVExport, req.ID, req, &block)
	return block, err
}

// ImportKV sends an exported block to the engine. A block without data only reserves
// memory.
func (c *Client) ImportKV(ctx context.Context, target topology.Target, block engineapi.KVBlock) error {
	_, err := c.command(ctx, target, http.MethodPost, engineapi.PathKVImport, block.ID, block, nil)
	return err
}

// ReleaseKV releases a block and reports whether the engine held it.
func (c *Client) ReleaseKV(ctx context.Context, target topology.Target, id string) (bool, error) {
	return c.release(ctx, target, engineapi.PathKV, id)
}

// CancelStream cancels a stream and reports whether the engine held it. It sends one
// request; Canceller retries until the engine acknowledges.
func (c *Client) CancelStream(ctx context.Context, target topology.Target, id string) (bool, error) {
	return c.release(ctx, target, engineapi.PathStreams, id)
}

func (c *Client) sendCancel(ctx context.Context, target topology.Target, id string) (bool, error) {
	return c.CancelStream(ctx, target, id)
}

// release deletes the resource id under path and reports whether the engine held it.
func (c *Client) release(ctx context.Context, target topology.Target, path, id string) (bool, error) {
	status, err := c.command(ctx, target, http.MethodDelete, path+"/"+id, id, nil, nil)
	if status == http.StatusNotFound {
		return false, nil
	}
	return err == nil, err
}

// query reads path through httpc, with a circuit breaker per client and target.
func (c *Client) query(ctx context.Context, target topology.Target, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, targetURL(target, path), http.NoBody)
	if err != nil {
		return err
	}
	ep := c.endpoint(target)
	httpClient := &http.Client{Transport: ep.pooled}
	resp, err := httpc.NewServiceWithClient(c.breakerPrefix+target.ID, httpClient).DoRequest(req)
	if err != nil {
		ep.pooled.CloseIdleConnections()
		return &Error{Kind: KindUnreachable, Outcome: outcome.Unknown, Target: target.ID, Cause: err}
	}
	defer resp.Body.Close()
	return decode(target, resp, result)
}

// command sends a request on a new connection and returns the status of the response.
func (c *Client) command(ctx context.Context, target topology.Target, method, path, id string, body, result any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, &Error{Kind: KindInvalid, Outcome: outcome.NotRun, Target: target.ID, Cause: err}
	}
	if body == nil {
		data = nil
	}
	req, err := http.NewRequest(method, targetURL(target, path), bytes.NewReader(data))
	if err != nil {
		return 0, &Error{Kind: KindInvalid, Outcome: outcome.NotRun, Target: target.ID, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engineapi.HeaderRequestID, id)
	x, err := startExchange(ctx, c.endpoint(target), req, true, commandTimeout)
	defer x.abandon()
	if err != nil {
		return 0, commandError(target, x, err)
	}
	x.resetTimer(commandTimeout)
	if echoed := x.resp.Header.Get(engineapi.HeaderRequestID); echoed != id {
		return 0, &Error{Kind: KindIncomplete, Outcome: outcome.Unknown, Target: target.ID, Cause: faultWrongRequest}
	}
	return x.resp.StatusCode, decode(target, x.resp, result)
}

// commandError returns the error for a command that got no response.
func commandError(target topology.Target, x *exchange, err error) error {
	if x.closeAndCheckSent() {
		return &Error{Kind: KindLost, Outcome: outcome.Unknown, Target: target.ID, Cause: err}
	}
	return &Error{Kind: KindUnreachable, Outcome: outcome.NotRun, Target: target.ID, Cause: err}
}

// decode decodes a response into result, or returns the error for a refusal. If result
// is nil, the body is ignored.
func decode(target topology.Target, resp *http.Response, result any) error {
	body := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode/100 != 2 {
		return refusalError(target, resp, body)
	}
	if result == nil || resp.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := body.Decode(result); err != nil {
		cause := errors.Join(errors.New("response is truncated or not valid JSON"), err)
		return &Error{Kind: KindIncomplete, Outcome: outcome.Unknown, Target: target.ID, Cause: cause}
	}
	return nil
}

func refusalError(target topology.Target, resp *http.Response, body *json.Decoder) *Error {
	failure := &Error{Kind: KindRefused, Outcome: refusalOutcome(resp), Target: target.ID}
	var refusal engineapi.Refusal
	if err := body.Decode(&refusal); err != nil {
		failure.Cause = fmt.Errorf("refusal with status %s has no readable body: %w", resp.Status, err)
		return failure
	}
	failure.Reason, failure.Detail = refusal.Reason, refusal.Detail
	return failure
}
