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
	// maxAnswerBytes bounds an answer. It leaves room for a body above the
	// service's limit, which then is refused with a reason.
	maxAnswerBytes = 4 * MaxValueBytes
)

// Config tells a Client where the service is and how often to ask it.
type Config struct {
	// Address is the base URL, such as http://192.0.2.1:8080.
	Address string
	// Name names the client to httpc, whose breaker is shared by name.
	Name string
	// Timeout bounds one call, beside the wait of a watch.
	Timeout time.Duration
	// ReadsPerSecond and ReadBurst bound the calls, watches counted.
	ReadsPerSecond float64
	ReadBurst      int
}

// Stats counts what a Client did.
type Stats struct {
	Reads          uint64 `json:"reads"`    // reads sent
	Watches        uint64 `json:"watches"`  // watches sent
	Failures       uint64 `json:"failures"` // calls without a usable answer
	Broken         uint64 `json:"broken"`   // calls that the breaker did not send
	StaleResponses uint64 `json:"older"`    // answers older than one before
}

// Client reads and watches published values. It is safe for concurrent use.
type Client struct {
	cfg     Config
	service httpc.Service
	limiter *rate.Limiter

	reads, watches, failures, broken, older atomic.Uint64

	mu   sync.Mutex
	seen map[string]uint64 // highest revision by key
}

// NewClient returns a client of the service at cfg.Address. It opens nothing.
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
		seen:    make(map[string]uint64),
	}
}

// newTransport returns a transport that keeps few connections and drops idle
// ones soon, since a connection can go silent for good.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 2
	t.IdleConnTimeout = 10 * time.Second
	t.Proxy = nil
	return t
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	return Stats{
		Reads:          c.reads.Load(),
		Watches:        c.watches.Load(),
		Failures:       c.failures.Load(),
		Broken:         c.broken.Load(),
		StaleResponses: c.older.Load(),
	}
}

// Read returns the value of key. It returns a *NotFoundError, *OlderError or
// *UnavailableError, or the context's error.
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
	return v, c.checkOlder(v)
}

// Watch waits until a key of the question changes and returns the changes,
// none when the wait is over. It returns an *UnavailableError or the context's error.
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
	var answer WatchResponse
	if err := c.decode(body, status, &answer); err != nil {
		return nil, err
	}
	return answer.Changes, nil
}

func (c *Client) checkOlder(v Value) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.seen[v.Key]
	if v.Revision < seen {
		c.older.Add(1)
		return &OlderError{Key: v.Key, Revision: v.Revision, Seen: seen}
	}
	c.seen[v.Key] = v.Revision
	return nil
}

func (c *Client) decode(body []byte, status int, into any) error {
	if status != http.StatusOK {
		c.failures.Add(1)
		return &UnavailableError{Reason: fmt.Sprintf("it answered with status %d", status)}
	}
	if err := json.Unmarshal(body, into); err != nil {
		c.failures.Add(1)
		return &UnavailableError{Reason: "its answer is no valid JSON", Cause: err}
	}
	return nil
}

// get sends one call and reads the whole answer within timeout.
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
		return nil, 0, c.failed(ctx, counter, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, c.failed(ctx, counter, err)
	}
	return body, resp.StatusCode, nil
}

// failed classifies a call without an answer. A call that the breaker refused
// was not sent and does not count.
func (c *Client) failed(ctx context.Context, counter *atomic.Uint64, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, breaker.ErrServiceUnavailable) {
		counter.Add(^uint64(0))
		c.broken.Add(1)
		return &UnavailableError{Reason: "the breaker is open after many failures", Cause: err}
	}
	c.failures.Add(1)
	return &UnavailableError{Reason: err.Error(), Cause: err}
}
