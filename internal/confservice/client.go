package confservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
	"golang.org/x/time/rate"
)

// Defaults of Config.
const (
	DefaultTimeout        = 3 * time.Second
	DefaultReadsPerSecond = 8
	DefaultReadBurst      = 16
	// maxResponseBytes limits a response. It leaves room for a body above the
	// service's limit, which is then refused with a reason.
	maxResponseBytes = 4 * MaxValueBytes
)

// Config configures a Client.
type Config struct {
	// Address is the base URL, such as http://192.0.2.1:8080.
	Address string
	// Name is the client's name in httpc. Clients of the same name share a circuit
	// breaker.
	Name string
	// Timeout is the timeout of one call. For a watch, the wait is added to it.
	Timeout time.Duration
	// ReadsPerSecond and ReadBurst limit the rate of all calls, including watches.
	ReadsPerSecond float64
	ReadBurst      int
}

// Stats has the counters of a Client since its creation.
type Stats struct {
	Reads             uint64 `json:"reads"`    // reads sent
	Watches           uint64 `json:"watches"`  // watches sent
	Failures          uint64 `json:"failures"` // calls without a usable response
	BreakerRejections uint64 `json:"broken"`   // calls that the circuit breaker rejected, so that they were not sent
	StaleResponses    uint64 `json:"older"`    // reads that returned an older revision than an earlier one
}

// Client reads and watches published values. It is safe for concurrent use.
type Client struct {
	cfg     Config
	service httpc.Service
	limiter *rate.Limiter

	reads, watches, failures, breakerRejections, staleResponses atomic.Uint64

	mu              sync.Mutex
	highestRevision map[string]uint64 // by key
}

// NewClient returns a client of the service at cfg.Address. It connects on first use.
func NewClient(cfg Config) *Client {
	if cfg.Name == "" {
		cfg.Name = "platform " + cfg.Address
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	if cfg.ReadBurst == 0 {
		cfg.ReadBurst = DefaultReadBurst
	}
	return &Client{
		cfg:             cfg,
		service:         httpc.NewServiceWithClient(cfg.Name, &http.Client{Transport: newTransport()}),
		limiter:         rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadBurst),
		highestRevision: make(map[string]uint64),
	}
}

// newTransport returns a transport that keeps few idle connections and closes them
// early, since a connection can become unresponsive without being closed.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 2
	t.IdleConnTimeout = 10 * time.Second
	t.Proxy = nil
	return t
}

// Stats returns a snapshot of the counters.
func (c *Client) Stats() Stats {
	return Stats{
		Reads:             c.reads.Load(),
		Watches:           c.watches.Load(),
		Failures:          c.failures.Load(),
		BreakerRejections: c.breakerRejections.Load(),
		StaleResponses:    c.staleResponses.Load(),
	}
}

// Read returns the value of key. The error is a *NotFoundError,
// *StaleRevisionError or *UnavailableError, or the context's error.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	body, status, err := c.get(ctx, &c.reads, c.cfg.Timeout, "/v1/values/"+key)
	if err != nil {
		return Value{}, err
	}
	if status == http.StatusNotFound {
		return Value{}, &NotFoundError{Key: key}
	}
	var v Value
	if err := c.decode(body, status, &v); err != nil {
		return Value{}, err
	}
	if v.Key != key {
		c.failures.Add(1)
		return Value{}, &UnavailableError{Reason: fmt.Sprintf("it answered %q when asked for %q", v.Key, key)}
	}
	return v, c.checkRevision(v)
}

// Watch is a long poll: it returns once one of the keys in q has changed, or
// without changes after q.Wait. The error is an *UnavailableError or the
// context's error.
func (c *Client) Watch(ctx context.Context, q WatchRequest) ([]Change, error) {
	query := url.Values{
		"after": {strconv.FormatUint(q.After, 10)},
		"keys":  {strings.Join(q.Keys, ",")},
		"wait":  {q.Wait.String()},
	}
	body, status, err := c.get(ctx, &c.watches, c.cfg.Timeout+q.Wait, "/v1/watch?"+query.Encode())
	if err != nil || status == http.StatusNoContent {
		return nil, err
	}
	var response WatchResponse
	if err := c.decode(body, status, &response); err != nil {
		return nil, err
	}
	return response.Changes, nil
}

func (c *Client) checkRevision(v Value) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.highestRevision[v.Key]
	if v.Revision < seen {
		c.staleResponses.Add(1)
		return &StaleRevisionError{Key: v.Key, Revision: v.Revision, Seen: seen}
	}
	c.highestRevision[v.Key] = v.Revision
	return nil
}

func (c *Client) decode(body []byte, status int, result any) error {
	if status != http.StatusOK {
		c.failures.Add(1)
		return &UnavailableError{Reason: fmt.Sprintf("it answered with status %d", status)}
	}
	if err := json.Unmarshal(body, result); err != nil {
		c.failures.Add(1)
		return &UnavailableError{Reason: "its answer is no valid JSON", Cause: err}
	}
	return nil
}

// get sends one request and reads the complete response within timeout.
func (c *Client) get(ctx context.Context, counter *atomic.Uint64, timeout time.Duration, path string) ([]byte, int, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(callCtx, http.MethodGet, c.cfg.Address+path, http.NoBody)
	if err != nil {
		return nil, 0, &UnavailableError{Reason: "its address is no URL", Cause: err}
	}
	counter.Add(1)
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return nil, 0, c.classifyFailure(ctx, counter, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, c.classifyFailure(ctx, counter, err)
	}
	return body, resp.StatusCode, nil
}

// classifyFailure returns the error of a call that got no response. A call that the
// circuit breaker rejected was not sent, so its counter is decremented again.
func (c *Client) classifyFailure(ctx context.Context, counter *atomic.Uint64, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, breaker.ErrServiceUnavailable) {
		counter.Add(^uint64(0))
		c.breakerRejections.Add(1)
		return &UnavailableError{Reason: "the breaker is open after many failures", Cause: err}
	}
	c.failures.Add(1)
	return &UnavailableError{Reason: err.Error(), Cause: err}
}
