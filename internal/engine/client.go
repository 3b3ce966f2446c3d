// Package engine is the client of model engines. Generate runs one attempt of a
// prompt and gives each token to its sink exactly once and in order, whatever
// happens to the connections on the way.
//
// Generate, cancels, releases and orders use net/http transports directly: the
// breaker of go-zero's httpc refuses calls on grounds of other calls, and a
// refused release would leave engine memory pinned, while a refused attempt
// could not be told from one that was sent. The plain queries go through httpc.
package engine

import (
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/internal/topology"
)

// Options configures a Client. The zero value is usable.
type Options struct {
	Timeouts Timeouts
	Dial     DialFunc // default: net.Dialer
	Cancel   CancelOptions
}

// Stats counts what the client met since its start.
type Stats struct {
	Attempts           uint64 // calls to Generate
	Resumes            uint64 // connections opened to go on with a stream
	Resubmits          uint64 // prompts sent again, since the engine did not know the stream
	StalledConnections uint64 // connections given up for want of progress
	PreemptiveCloses   uint64 // other connections closed with a silent one
	ProtocolErrors     uint64 // answers that were crossed, duplicated, cut short or miscounted
	Cancels            CancelStats
}

// Client talks to engines. It is safe for concurrent use.
type Client struct {
	timeouts      Timeouts
	dial          DialFunc
	canceller     *Canceller
	breakerPrefix string // prefix of the names of httpc's breakers, which are global

	mu        sync.RWMutex
	endpoints map[string]*endpoint // by address

	attempts, resumes, resubmits, stalledConnections, preemptiveCloses, protocolErrors atomic.Uint64
}

// New returns a client. Close it to end its goroutines.
func New(opts Options) *Client {
	c := &Client{timeouts: opts.Timeouts.withDefaults(), dial: opts.Dial, endpoints: make(map[string]*endpoint)}
	if c.dial == nil {
		c.dial = (&net.Dialer{}).DialContext
	}
	c.breakerPrefix = "engine/" + rand.Text() + "/"
	c.canceller = NewCanceller(opts.Cancel, c.sendCancel)
	return c
}

// Close stops the retries of cancels and closes idle connections. Calls in
// progress go on.
func (c *Client) Close() {
	c.canceller.Close()
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, ep := range c.endpoints {
		ep.close()
	}
}

// Canceller is the queue of cancels that engines have not yet acknowledged.
func (c *Client) Canceller() *Canceller { return c.canceller }

// Stats returns the counters.
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

// endpoint returns the connections of the target's address.
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
	endpointPruneThreshold = 1024             // above, unused peers are looked for
	endpointIdleTimeout    = 10 * time.Minute // unused and without a connection
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

// pruneEndpoints forgets peers that were not asked for lately. The caller holds mu.
func (c *Client) pruneEndpoints(now time.Time) {
	for addr, ep := range c.endpoints {
		if now.Sub(time.Unix(0, ep.lastUsed.Load())) > endpointIdleTimeout && ep.openConns() == 0 {
			delete(c.endpoints, addr)
		}
	}
}

// targetURL is the address of path at the target.
func targetURL(t topology.Target, path string) string {
	return "http://" + t.Addr.String() + path
}

// headerIsSet reports whether the answer says that the engine is headerIsSet.
func headerIsSet(h http.Header, name string) bool { return h.Get(name) == "1" }
