// Package service sends single HTTP requests to services that are not engines.
// Each attempt ends with one outcome. For a failed attempt the outcome depends on
// whether anything was written to the connection, not on the kind of error.
//
// Requests go through httpc of go-zero, which traces them. Its circuit breaker is
// disabled for this client: it would reject calls by a process-wide error rate and
// the wall clock, while here the caller decides by target and retry budget.
// A call that is not idempotent gets a connection of its own, so that it is
// affected neither by a stale pooled connection nor by the transport's own
// retries.
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
	"github.com/plantainrun/plantainrun/internal/httpwire"
	"github.com/plantainrun/plantainrun/internal/membudget"
)

// clientName is the name of this client in httpc, for its traces and its breaker.
const clientName = "plantainrun-service"

// Reason is why an attempt did not get a complete response.
type Reason string

// The reasons. ReasonNone means that the response is complete.
const (
	ReasonNone        Reason = ""
	ReasonDial        Reason = "dial"      // no connection could be opened
	ReasonHookRefused Reason = "held"      // Call.BeforeWrite refused the first write
	ReasonDeadline    Reason = "deadline"  // the deadline passed
	ReasonRefused     Reason = "refused"   // the target reported that it did not run the call
	ReasonUnstated    Reason = "unstated"  // the status and what the target reports do not tell together whether it ran the call
	ReasonIDMismatch  Reason = "crossed"   // the response has the id of another request
	ReasonIncomplete  Reason = "cut"       // the connection or the response ended early
	ReasonTooLarge    Reason = "too_large" // the response is larger than Config.MaxResponseBytes
)

// Call is the request of one attempt.
type Call struct {
	ID     string // unique per attempt; the target must echo it
	Method string
	Path   string // including the query
	Header http.Header
	Body   []byte
	// Idempotent calls may use a pooled connection.
	Idempotent bool
	// BeforeWrite is called once the connection is open, before the first byte
	// is sent. An error prevents the write. Idempotent calls ignore it.
	BeforeWrite func() error
	// SendBy is the deadline for sending the first byte; zero means none.
	// Idempotent calls ignore it.
	SendBy time.Time
}

// Result is the result of one attempt.
type Result struct {
	Outcome outcome.Outcome
	Reason  Reason
	Status  int // zero without a response
	Header  http.Header
	Body    []byte
	Leaving bool  // the target announced that it is leaving
	Err     error // cause of a failure, for logs
}

// Config sets the limits of a Client.
type Config struct {
	DialTimeout      time.Duration
	MaxResponseBytes int
	MaxIdlePerHost   int
	// Dial opens connections; nil means net.Dialer. Tests replace it.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// DefaultConfig returns limits for services within the failure domain.
func DefaultConfig() Config {
	return Config{
		DialTimeout:      2 * time.Second,
		MaxResponseBytes: 16 << 20,
		MaxIdlePerHost:   16,
	}
}

// Client sends requests to services. It is safe for concurrent use.
type Client struct {
	cfg           Config
	pooled        httpwire.Transport
	pooledService httpc.Service // uses the pooled transport
}

// New returns a Client and disables the process-wide circuit breaker for it.
func New(cfg Config) *Client {
	breaker.NoBreakerFor(clientName)
	if cfg.Dial == nil {
		dialer := &net.Dialer{}
		cfg.Dial = dialer.DialContext
	}
	c := &Client{cfg: cfg}
	c.pooled = c.transport(httpwire.Dial(c.dial))
	c.pooled.MaxIdleConnsPerHost = cfg.MaxIdlePerHost
	c.pooledService = httpc.NewServiceWithClient(clientName, httpClient(c.pooled))
	return c
}

// Do makes one attempt. The deadline of ctx covers all of it.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) Result {
	if call.Idempotent {
		return c.doPooled(ctx, addr, call)
	}
	return c.doUnpooled(ctx, addr, call)
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// doUnpooled makes the attempt on a connection of its own, whose writes are
// controlled by a sendGate.
func (c *Client) doUnpooled(ctx context.Context, addr netip.AddrPort, call Call) Result {
	g := &sendGate{beforeFirst: func() error { return beforeFirstByte(ctx, call) }}
	t := c.transport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: httpwire.Wrap(conn), gate: g}, nil
	})
	t.DisableKeepAlives = true
	defer t.CloseIdleConnections()
	r := c.exchange(ctx, httpc.NewServiceWithClient(clientName, httpClient(t)), addr, call)
	if r.Err == nil {
		return r
	}
	return notRunIfUnsent(ctx, g, r)
}

// beforeFirstByte runs the caller's hook and then checks the deadlines, since the
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

// notRunIfUnsent changes the outcome of a failed attempt to NotRun if nothing was
// sent, and closes the gate so that nothing can be sent later.
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

// doPooled makes the attempt on a pooled connection. If it ends without a
// response, all idle connections are closed: others of the same age may be stale
// too.
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

// transport returns a transport that modifies neither requests nor responses.
func (c *Client) transport(dial httpwire.DialFunc) httpwire.Transport {
	return httpwire.Transport{Transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: membudget.MaxResponseHeadBytes,
	}}
}

// idleTimeout is the time after which an idle pooled connection is closed.
const idleTimeout = 30 * time.Second

// httpClient returns a client that does not follow redirects.
func httpClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
