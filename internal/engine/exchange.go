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

var errSilent = errors.New("no progress within the bound")

// exchange is one HTTP request and its answer on one connection, ended when it
// makes no progress. Its methods are called by one goroutine.
type exchange struct {
	peer   *peer
	cancel context.CancelCauseFunc
	ctx    context.Context
	detach func() bool // stops following the caller's context
	timer  *time.Timer
	began  time.Time
	resp   *http.Response

	mu    sync.Mutex
	conns []usedConn
}

// usedConn is a connection that the exchange was given.
type usedConn struct {
	*conn
	before uint64 // writes begun before the exchange
}

// startExchange sends req and waits for the answer's header, at most for
// bound. The exchange ends with ctx. On an error the caller calls written and
// abandon.
func startExchange(ctx context.Context, p *peer, req *http.Request, fresh bool, bound time.Duration) (*exchange, error) {
	x := &exchange{peer: p, began: time.Now()}
	x.ctx, x.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	x.detach = context.AfterFunc(ctx, func() { x.cancel(context.Cause(ctx)) })
	x.timer = time.AfterFunc(bound, func() { x.cancel(errSilent) })
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	resp, err := p.transport(fresh).RoundTrip(req.WithContext(httptrace.WithClientTrace(x.ctx, trace))) //nolint:bodyclose // abandon and finish close it
	x.rest()
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
	x.conns = append(x.conns, usedConn{conn: c, before: c.begun()})
}

// expect bounds the next read.
func (x *exchange) expect(bound time.Duration) { x.timer.Reset(bound) }

// rest lifts the bound until the next expect.
func (x *exchange) rest() { x.timer.Stop() }

// silent reports whether the exchange was ended for want of progress.
func (x *exchange) silent() bool { return errors.Is(context.Cause(x.ctx), errSilent) }

// written closes the exchange's connections and reports whether any byte of
// the request can have left. After it returns none can leave any more.
func (x *exchange) written() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	left := false
	for _, c := range x.conns {
		if c.seal() > c.before {
			left = true
		}
	}
	return left
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
	x.written()
}

// suspect closes the peer's connections that may have gone silent with this one.
func (x *exchange) suspect() int { return x.peer.suspect(x.quiet()) }

// quiet is how long the exchange has made no progress.
func (x *exchange) quiet() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	quiet := time.Since(x.began)
	for _, c := range x.conns {
		quiet = min(quiet, c.quiet())
	}
	return quiet
}

// finish lets the connection be used again when the answer ends at once, and
// closes it otherwise. It does not wait.
func (x *exchange) finish() {
	const drainBound = 100 * time.Millisecond
	x.detach()
	x.expect(drainBound)
	go func() {
		defer x.cancel(context.Canceled)
		defer x.timer.Stop()
		defer x.resp.Body.Close()
		_, _ = io.CopyN(io.Discard, x.resp.Body, 1)
	}()
}
