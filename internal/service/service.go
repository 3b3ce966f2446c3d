// Package service makes single attempts at plain services. Each attempt ends
// as one typed outcome: what was written to the connection decides what may be
// said about a failed one, not the kind of the error.
//
// Requests go through httpc of go-zero, which traces them. Its breaker is
// switched off for this client: it would refuse calls by a process-wide error
// rate and the wall clock, while the caller decides here by target and budget.
// A call that is not idempotent gets a connection of its own, so that neither
// a silent pooled connection nor the transport's own retry can touch it.
package service

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/plantainrun/plantainrun/coord/outcome"
)

// clientName names this client towards httpc.
const clientName = "plantainrun-service"

// Reason says why an attempt did not bring a whole answer.
type Reason string

// The reasons. ReasonNone goes with a whole answer.
const (
	ReasonNone        Reason = ""
	ReasonDial        Reason = "dial"      // no connection came up
	ReasonHookRefused Reason = "held"      // the caller's hook refused the first write
	ReasonDeadline    Reason = "deadline"  // the time ran out
	ReasonRefused     Reason = "refused"   // the target said that it did not run the call
	ReasonIDMismatch  Reason = "crossed"   // the answer belongs to another request
	ReasonIncomplete  Reason = "cut"       // the connection or the answer ended early
	ReasonTooLarge    Reason = "too_large" // the answer is above the client's bound
)

// Call is one attempt's request.
type Call struct {
	ID     string // unique per attempt; the target must echo it
	Method string
	Path   string // with the query, if any
	Header http.Header
	Body   []byte
	// Idempotent calls may use a pooled connection.
	Idempotent bool
	// BeforeWrite is called when the connection is up, before the first byte
	// is sent, and may refuse it. Calls that are idempotent ignore it.
	BeforeWrite func() error
	// SendBy is when the first byte must have been sent; zero: any time. Calls
	// that are idempotent ignore it.
	SendBy time.Time
}

// Result is how one attempt ended.
type Result struct {
	Outcome outcome.Outcome
	Reason  Reason
	Status  int // zero without an answer
	Header  http.Header
	Body    []byte
	Leaving bool  // the target said that it is leaving
	Err     error // what was seen, for the log
}

// Config bounds the client.
type Config struct {
	DialTimeout      time.Duration
	MaxResponseBytes int
	MaxIdlePerHost   int
	// Dial replaces the network in tests; nil: TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// DefaultConfig returns bounds for services within the failure domain.
func DefaultConfig() Config {
	return Config{
		DialTimeout:      2 * time.Second,
		MaxResponseBytes: 16 << 20,
		MaxIdlePerHost:   16,
	}
}

// Client makes attempts. It is safe for concurrent use.
type Client struct {
	cfg           Config
	pooled        *http.Transport
	pooledService httpc.Service // over pooled
}

// New returns a Client.
func New(cfg Config) *Client {
	breaker.NoBreakerFor(clientName)
	if cfg.Dial == nil {
		dialer := &net.Dialer{}
		cfg.Dial = dialer.DialContext
	}
	c := &Client{cfg: cfg}
	c.pooled = c.transport(c.dial)
	c.pooled.MaxIdleConnsPerHost = cfg.MaxIdlePerHost
	c.pooledService = httpc.NewServiceWithClient(clientName, httpClient(c.pooled))
	return c
}

// Do makes one attempt. The context's deadline bounds all of it.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) Result {
	if call.Idempotent {
		return c.doPooled(ctx, addr, call)
	}
	return c.doUnpooled(ctx, addr, call)
}

// Close drops the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// doUnpooled makes the attempt on a connection of its own, behind a gate.
func (c *Client) doUnpooled(ctx context.Context, addr netip.AddrPort, call Call) Result {
	g := &sendGate{beforeFirst: func() error { return beforeFirstByte(ctx, call) }}
	t := c.transport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, gate: g}, nil
	})
	t.DisableKeepAlives = true
	defer t.CloseIdleConnections()
	r := c.exchange(ctx, httpc.NewServiceWithClient(clientName, httpClient(t)), addr, call)
	if r.Err == nil {
		return r
	}
	return notRunIfUnsent(ctx, g, r)
}

// beforeFirstByte runs the caller's hook and then checks the time, for the
// process may have been paused in between.
func beforeFirstByte(ctx context.Context, call Call) error {
	if call.BeforeWrite != nil {
		if err := call.BeforeWrite(); err != nil {
			return err
		}
	}
	if !call.SendBy.IsZero() && !time.Now().Before(call.SendBy) {
		return errDeadlinePassed
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return errDeadlinePassed
	}
	return ctx.Err()
}

// notRunIfUnsent turns a failed attempt into NotRun if nothing was sent, and shuts
// the gate so that nothing will be.
func notRunIfUnsent(ctx context.Context, g *sendGate, r Result) Result {
	unsent, cause := g.closeIfUnsent()
	if !unsent {
		return r
	}
	r.Outcome = outcome.NotRun
	switch {
	case ctx.Err() != nil, errors.Is(cause, errDeadlinePassed):
		r.Reason = ReasonDeadline
	case cause != nil:
		r.Reason = ReasonHookRefused
	default:
		r.Reason = ReasonDial
	}
	return r
}

// doPooled makes the attempt on a pooled connection. When the attempt ends
// without an answer, all idle connections are dropped: others of the same age
// may have gone silent too.
func (c *Client) doPooled(ctx context.Context, addr netip.AddrPort, call Call) Result {
	r := c.exchange(ctx, c.pooledService, addr, call)
	if r.Err != nil && r.Status == 0 {
		c.pooled.CloseIdleConnections()
	}
	return r
}

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	return c.cfg.Dial(ctx, network, addr)
}

// transport returns a transport that changes neither requests nor answers.
func (c *Client) transport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

const (
	idleTimeout    = 30 * time.Second // drops a pooled connection that was not used for so long
	maxHeaderBytes = 256 << 10        // of an answer
)

// httpClient returns a client that follows no redirects.
func httpClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
