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

// exchange is one HTTP request and its response. It is cancelled when it makes no
// progress before its timer fires. Its methods must be called by one goroutine.
type exchange struct {
	endpoint  *endpoint
	cancel    context.CancelCauseFunc
	ctx       context.Context
	detach    func() bool // detaches the exchange from the caller's context
	timer     *time.Timer
	startedAt time.Time
	resp      *http.Response

	mu    sync.Mutex
	conns []exchangeConn
}

// exchangeConn is a connection that was assigned to the exchange.
type exchangeConn struct {
	*conn
	writesBefore uint64 // writes started before the exchange
}

// startExchange sends req and waits up to timeout for the response header. The
// exchange is cancelled with ctx. If it returns an error, the caller must still call
// abandon, and may call closeAndCheckSent.
func startExchange(ctx context.Context, ep *endpoint, req *http.Request, newConn bool, timeout time.Duration) (*exchange, error) {
	x := &exchange{endpoint: ep, startedAt: time.Now()}
	x.ctx, x.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	x.detach = context.AfterFunc(ctx, func() { x.cancel(context.Cause(ctx)) })
	x.timer = time.AfterFunc(timeout, func() { x.cancel(errStalled) })
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	resp, err := ep.transport(newConn).RoundTrip(req.WithContext(httptrace.WithClientTrace(x.ctx, trace))) //nolint:bodyclose // abandon and release close it
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

// resetTimer sets the timeout of the next read.
func (x *exchange) resetTimer(timeout time.Duration) { x.timer.Reset(timeout) }

// stopTimer disables the timeout until the next call of resetTimer.
func (x *exchange) stopTimer() { x.timer.Stop() }

// stalled reports whether the exchange was cancelled because it made no progress.
func (x *exchange) stalled() bool { return errors.Is(context.Cause(x.ctx), errStalled) }

// closeAndCheckSent closes the exchange's connections and reports whether any byte
// of the request may have been sent. No byte can be sent after it returns.
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

// connected reports whether a connection was assigned to the exchange.
func (x *exchange) connected() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.conns) > 0
}

// abandon cancels the exchange and closes its connections.
func (x *exchange) abandon() {
	x.detach()
	x.timer.Stop()
	x.cancel(context.Canceled)
	if x.resp != nil {
		x.resp.Body.Close()
	}
	x.closeAndCheckSent()
}

// closeLikelyStalled closes the endpoint's connections that have probably stalled
// together with this one, and returns their number.
func (x *exchange) closeLikelyStalled() int { return x.endpoint.closeLikelyStalled(x.sinceProgress()) }

// sinceProgress returns the time since the exchange last made progress.
func (x *exchange) sinceProgress() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	idle := time.Since(x.startedAt)
	for _, c := range x.conns {
		idle = min(idle, c.sinceRead())
	}
	return idle
}

// release returns the connection to the pool if the response body ends within
// drainTimeout, and closes it otherwise. It does not block.
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
