package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// Errors of invalid responses.
var (
	errIDMismatch = errors.New("the answer does not echo the request's id")
	errTooLarge   = errors.New("the answer is above the bound")
	errNoFraming  = errors.New("the answer says neither its length nor where it ends")
)

// exchange sends the request and reads the complete response.
func (c *Client) exchange(ctx context.Context, httpService httpc.Service, addr netip.AddrPort, call Call) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), addr, call)
	if err != nil {
		return Result{Outcome: outcome.NotRun, Reason: ReasonDial, Err: err}
	}
	resp, err := httpService.DoRequest(req)
	if err != nil && !connected.Load() && call.Idempotent {
		return Result{Outcome: outcome.NotRun, Reason: reasonOrDeadline(ctx, ReasonDial), Err: err}
	}
	if err != nil {
		return Result{Outcome: outcome.Unknown, Reason: reasonOrDeadline(ctx, ReasonIncomplete), Err: err}
	}
	defer resp.Body.Close()
	return c.readResponse(ctx, resp, call.ID)
}

// newRequest builds the HTTP request. It has no GetBody, so that the transport
// cannot send the body twice.
func newRequest(ctx context.Context, addr netip.AddrPort, call Call) (*http.Request, error) {
	url := "http://" + addr.String() + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set(engineapi.HeaderRequestID, call.ID)
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
		req.GetBody = nil
	}
	return req, nil
}

// readResponse reads the response and determines the outcome of the attempt.
func (c *Client) readResponse(ctx context.Context, resp *http.Response, id string) Result {
	r := Result{
		Outcome: outcome.Unknown,
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Leaving: resp.Header.Get(engineapi.HeaderLeaving) == "1",
	}
	if resp.Header.Get(engineapi.HeaderRequestID) != id {
		r.Reason, r.Err = ReasonIDMismatch, errIDMismatch
		return r
	}
	result := outcome.OfResponse(resp.StatusCode, resp.Header.Get(engineapi.HeaderNotRun) == "1")
	switch result {
	case outcome.NotRun:
		r.Outcome, r.Reason = result, ReasonRefused
		r.Err = fmt.Errorf("the target refused with status %d", resp.StatusCode)
		return r
	case outcome.Unknown:
		r.Reason = ReasonUnstated
		r.Err = fmt.Errorf("the target answered with status %d: the call may have run", resp.StatusCode)
		return r
	}
	body, err := c.readBody(resp)
	switch {
	case errors.Is(err, errTooLarge):
		r.Reason, r.Err = ReasonTooLarge, err
	case err != nil:
		r.Reason, r.Err = reasonOrDeadline(ctx, ReasonIncomplete), err
	default:
		r.Body = body
		r.Outcome = result
	}
	return r
}

// readBody reads the complete body, up to Config.MaxResponseBytes.
func (c *Client) readBody(resp *http.Response) ([]byte, error) {
	if !hasFraming(resp) {
		return nil, errNoFraming
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.cfg.MaxResponseBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > c.cfg.MaxResponseBytes {
		return nil, errTooLarge
	}
	return body, nil
}

// hasFraming reports whether a complete body can be distinguished from a broken
// connection: by its content length, by chunked encoding, or because a response to
// HEAD has no body.
func hasFraming(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return true
	}
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// reasonOrDeadline returns ReasonDeadline if ctx has ended, and other otherwise.
func reasonOrDeadline(ctx context.Context, other Reason) Reason {
	if ctx.Err() != nil {
		return ReasonDeadline
	}
	return other
}
