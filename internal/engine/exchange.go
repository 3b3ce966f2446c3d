package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

var errStalled = errors.New("no progress within the bound")

// exchange is one HTTP request and its answer on one connection, ended when it
// makes no progress. Its methods are called by one goroutine.
type exchange struct {
	endpoint  *endpoint
	cancel    context.CancelCauseFunc
	ctx       context.Context
	detach    func() bool // stops following the caller's context
	timer     *time.Timer
	startedAt time.Time
	resp      *http.Response

	mu    sync.Mutex
	conns []exchangeConn
}

// exchangeConn is a connection that the exchange was given.
type exchangeConn struct {
	*conn
	writesBefore uint64 // writes begun before the exchange
}

// startExchange sends req and waits for the answer's header, at most for
// bound. The exchange ends with ctx. On an error the caller calls written and
// abandon.
func startExchange(ctx context.Context, ep *endpoint, req *http.Request, newConn bool, timeout time.Duration) (*exchange, error) {
	x := &exchange{endpoint: ep, startedAt: time.Now()}
	x.ctx, x.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	x.detach = context.AfterFunc(ctx, func() { x.cancel(context.Cause(ctx)) })
	x.timer = time.AfterFunc(timeout, func() { x.cancel(errStalled) })
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	resp, err := ep.transport(newConn).RoundTrip(req.WithContext(httptrace.WithClientTrace(x.ctx, trace))) //nolint:bodyclose // abandon and finish close it
	x.stopTimer()
	x.resp = resp
	return x, err
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = append(x.conns, exchangeConn{conn: c, writesBefore: c.startedWrites()})
}

// resetTimer bounds the next read.
func (x *exchange) resetTimer(timeout time.Duration) { x.timer.Reset(timeout) }

// stopTimer lifts the bound until the next expect.
func (x *exchange) stopTimer() { x.timer.Stop() }

// stalled reports whether the exchange was ended for want of progress.
func (x *exchange) stalled() bool { return errors.Is(context.Cause(x.ctx), errStalled) }

// closeAndCheckSent closes the exchange's connections and reports whether any byte of
// the request can have left. After it returns none can leave any more.
func (x *exchange) closeAndCheckSent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent := false
	for _, c := range x.conns {
		if c.closeAndCountWrites() > c.writesBefore {
			sent = true
		}
	}
	return sent
}

// connected reports whether the exchange was given a connection.
func (x *exchange) connected() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.conns) > 0
}

// abandon ends the exchange and its connection.
func (x *exchange) abandon() {
	x.detach()
	x.timer.Stop()
	x.cancel(context.Canceled)
	if x.resp != nil {
		x.resp.Body.Close()
	}
	x.closeAndCheckSent()
}

// closeLikelyStalled closes the peer's connections that may have gone silent with this one.
func (x *exchange) closeLikelyStalled() int { return x.endpoint.closeLikelyStalled(x.sinceProgress()) }

// sinceProgress is how long the exchange has made no progress.
func (x *exchange) sinceProgress() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	idle := time.Since(x.startedAt)
	for _, c := range x.conns {
		idle = min(idle, c.sinceRead())
	}
	return idle
}

// release lets the connection be used again when the answer ends at once, and
// closes it otherwise. It does not wait.
func (x *exchange) release() {
	const drainTimeout = 100 * time.Millisecond
	x.detach()
	x.resetTimer(drainTimeout)
	go func() {
		defer x.cancel(context.Canceled)
		defer x.timer.Stop()
		defer x.resp.Body.Close()
		_, _ = io.CopyN(io.Discard, x.resp.Body, 1)
	}()
}
