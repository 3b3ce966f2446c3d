// Package engine is the client for model engines. Generate runs one attempt of a
// prompt and delivers each token to its sink exactly once and in order, even when
// connections fail during the attempt.
//
// Generate, cancellations, releases and state changes use net/http transports
// directly: the circuit breaker of go-zero's httpc rejects calls because earlier
// calls failed. A rejected release would leave engine memory pinned, and a
// rejected attempt could not be distinguished from one that was sent. Read-only
// queries go through httpc.
package engine

import (
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/internal/httpwire"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Options configures a Client. The zero value selects the defaults.
type Options struct {
	Timeouts Timeouts
	Dial     httpwire.DialFunc // default: net.Dialer
	Cancel   CancelOptions
}

// Stats holds the client's counters, accumulated since New.
type Stats struct {
	Attempts           uint64 // calls to Generate
	Resumes            uint64 // connections opened to resume a stream
	Resubmits          uint64 // prompts sent again because the engine did not know the stream
	StalledConnections uint64 // connections closed because they made no progress
	PreemptiveCloses   uint64 // other connections closed together with a stalled one
	ProtocolErrors     uint64 // responses to another request, with wrong tokens or counts, malformed or truncated
	Cancels            CancelStats
}

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	timeouts      Timeouts
	dial          httpwire.DialFunc
	canceller     *Canceller
	breakerPrefix string // makes the names of httpc's breakers unique to this client, as they are global

	mu        sync.RWMutex
	endpoints map[string]*endpoint // by address

	attempts, resumes, resubmits, stalledConnections, preemptiveCloses, protocolErrors atomic.Uint64
}

// New returns a Client. Close stops its goroutines.
func New(opts Options) *Client {
	c := &Client{timeouts: opts.Timeouts.withDefaults(), dial: opts.Dial, endpoints: make(map[string]*endpoint)}
	if c.dial == nil {
		c.dial = (&net.Dialer{}).DialContext
	}
	c.breakerPrefix = "engine/" + rand.Text() + "/"
	c.canceller = NewCanceller(opts.Cancel, c.sendCancel)
	return c
}

// Close stops retrying cancellations and closes idle connections. It does not
// interrupt calls in progress.
func (c *Client) Close() {
	c.canceller.Close()
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, ep := range c.endpoints {
		ep.close()
	}
}

// Canceller returns the queue of cancellations that engines have not yet
// acknowledged.
func (c *Client) Canceller() *Canceller { return c.canceller }

// Stats returns a snapshot of the counters.
func (c *Client) Stats() Stats {
	return Stats{
		Attempts:           c.attempts.Load(),
		Resumes:            c.resumes.Load(),
		Resubmits:          c.resubmits.Load(),
		StalledConnections: c.stalledConnections.Load(),
		PreemptiveCloses:   c.preemptiveCloses.Load(),
		ProtocolErrors:     c.protocolErrors.Load(),
		Cancels:            c.canceller.Stats(),
	}
}

// endpoint returns the endpoint of the target's address and records its use.
func (c *Client) endpoint(t topology.Target) *endpoint {
	addr := t.Addr.String()
	c.mu.RLock()
	ep := c.endpoints[addr]
	c.mu.RUnlock()
	if ep == nil {
		ep = c.addEndpoint(addr)
	}
	ep.lastUsed.Store(time.Now().UnixNano())
	return ep
}

const (
	endpointPruneThreshold = 1024             // number of endpoints from which unused ones are removed
	endpointIdleTimeout    = 10 * time.Minute // time without use, and without open connections, after which one is removed
)

func (c *Client) addEndpoint(addr string) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ep := c.endpoints[addr]; ep != nil {
		return ep
	}
	if len(c.endpoints) >= endpointPruneThreshold {
		c.pruneEndpoints(time.Now())
	}
	ep := newEndpoint(addr, c.dial)
	ep.lastUsed.Store(time.Now().UnixNano())
	c.endpoints[addr] = ep
	return ep
}

// pruneEndpoints removes endpoints that have not been used for endpointIdleTimeout
// and have no open connection. The caller holds mu.
func (c *Client) pruneEndpoints(now time.Time) {
	for addr, ep := range c.endpoints {
		if now.Sub(time.Unix(0, ep.lastUsed.Load())) > endpointIdleTimeout && ep.openConns() == 0 {
			delete(c.endpoints, addr)
		}
	}
}

// targetURL returns the URL of path at the target.
func targetURL(t topology.Target, path string) string {
	return "http://" + t.Addr.String() + path
}

// headerIsSet reports whether the header name has the value "1".
func headerIsSet(h http.Header, name string) bool { return h.Get(name) == "1" }
