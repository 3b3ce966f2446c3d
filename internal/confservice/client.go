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

	"github.com/plantainrun/plantainrun/internal/httpwire"
	"github.com/plantainrun/plantainrun/internal/membudget"
)

// Defaults of Config.
const (
	DefaultTimeout        = 3 * time.Second
	DefaultReadsPerSecond = 8
	DefaultReadBurst      = 16
	// maxResponseBytes bounds the part of a response that is read. It exceeds
	// MaxValueBytes so that a value above the service's limit is read whole and then
	// rejected with a reason.
	maxResponseBytes = 4 * MaxValueBytes
)

// Config configures a Client. Zero fields but Address select the defaults.
type Config struct {
	// Address is the base URL, such as http://192.0.2.1:8080.
	Address string
	// Name names the client to httpc. Clients of one name share a circuit breaker.
	Name string
	// Timeout bounds one call. A watch may take its Wait in addition.
	Timeout time.Duration
	// ReadsPerSecond and ReadBurst limit the rate of calls, watches included.
	ReadsPerSecond float64
	ReadBurst      int
}

// Stats holds the counters of a Client since its creation.
type Stats struct {
	Reads           uint64 `json:"reads"`    // reads sent
	Watches         uint64 `json:"watches"`  // watches sent
	Failures        uint64 `json:"failures"` // calls without a usable response
	BreakerRejected uint64 `json:"broken"`   // calls rejected by the circuit breaker
	StaleReads      uint64 `json:"older"`    // reads that returned a revision below one read before
}

// Client reads and watches published values. It is safe for concurrent use.
type Client struct {
	cfg     Config
	service httpc.Service
	limiter *rate.Limiter

	reads, watches, failures, breakerRejected, staleReads atomic.Uint64

	mu     sync.Mutex
	latest map[string]uint64 // highest revision by key
}

// NewClient returns a client of the service at cfg.Address. It connects on the
// first call.
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
		cfg:     cfg,
		service: httpc.NewServiceWithClient(cfg.Name, &http.Client{Transport: newTransport()}),
		limiter: rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadBurst),
		latest:  make(map[string]uint64),
	}
}

// newTransport returns a transport that keeps few idle connections and closes
// them soon, since a connection can stop responding without being closed.
func newTransport() httpwire.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 2
	t.IdleConnTimeout = 10 * time.Second
	t.Proxy = nil
	t.MaxResponseHeaderBytes = membudget.MaxResponseHeadBytes
	t.DialContext = httpwire.Dial(t.DialContext)
	return httpwire.Transport{Transport: t}
}

// Stats returns a snapshot of the counters.
func (c *Client) Stats() Stats {
	return Stats{
		Reads:           c.reads.Load(),
		Watches:         c.watches.Load(),
		Failures:        c.failures.Load(),
		BreakerRejected: c.breakerRejected.Load(),
		StaleReads:      c.staleReads.Load(),
	}
}

// Read returns the value of key. It fails with a *NotFoundError, a
// *StaleRevisionError, an *UnavailableError or the context's error.
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
	return v, c.checkStale(v)
}

// Watch waits until a watched key changes and returns the changes, or none when
// the wait is over. It fails with an *UnavailableError or the context's error.
func (c *Client) Watch(ctx context.Context, watch WatchRequest) ([]Change, error) {
	query := url.Values{
		"after": {strconv.FormatUint(watch.After, 10)},
		"keys":  {strings.Join(watch.Keys, ",")},
		"wait":  {watch.Wait.String()},
	}
	body, status, err := c.get(ctx, &c.watches, c.cfg.Timeout+watch.Wait, "/v1/watch?"+query.Encode())
	if err != nil || status == http.StatusNoContent {
		return nil, err
	}
	var resp WatchResponse
	if err := c.decode(body, status, &resp); err != nil {
		return nil, err
	}
	return resp.Changes, nil
}

// checkStale rejects a revision below one that was read before, such as one from
// a lagging replica.
func (c *Client) checkStale(v Value) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.latest[v.Key]
	if v.Revision < seen {
		c.staleReads.Add(1)
		return &StaleRevisionError{Key: v.Key, Revision: v.Revision, Seen: seen}
	}
	c.latest[v.Key] = v.Revision
	return nil
}

// decode decodes the JSON body of a response with status 200.
func (c *Client) decode(body []byte, status int, out any) error {
	if status != http.StatusOK {
		c.failures.Add(1)
		return &UnavailableError{Reason: fmt.Sprintf("it answered with status %d", status)}
	}
	if err := json.Unmarshal(body, out); err != nil {
		c.failures.Add(1)
		return &UnavailableError{Reason: "its answer is no valid JSON", Cause: err}
	}
	return nil
}

// get sends one GET request, within the rate limit, and reads the response body
// within timeout.
func (c *Client) get(ctx context.Context, counter *atomic.Uint64, timeout time.Duration, path string) ([]byte, int, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, 0, err
	}
	reqCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(reqCtx, http.MethodGet, c.cfg.Address+path, http.NoBody)
	if err != nil {
		return nil, 0, &UnavailableError{Reason: "its address is no URL", Cause: err}
	}
	counter.Add(1)
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return nil, 0, c.classifyError(ctx, counter, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, c.classifyError(ctx, counter, err)
	}
	return body, resp.StatusCode, nil
}

// classifyError classifies the error of a call without a response. A call that
// the circuit breaker rejected was not sent, so it is subtracted from counter.
func (c *Client) classifyError(ctx context.Context, counter *atomic.Uint64, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, breaker.ErrServiceUnavailable) {
		counter.Add(^uint64(0))
		c.breakerRejected.Add(1)
		return &UnavailableError{Reason: "the breaker is open after many failures", Cause: err}
	}
	c.failures.Add(1)
	return &UnavailableError{Reason: err.Error(), Cause: err}
}
