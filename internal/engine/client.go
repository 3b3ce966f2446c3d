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
	Bounds Bounds
	Dial   DialFunc // default: net.Dialer
	Cancel CancelOptions
}

// Stats counts what the client met since its start.
type Stats struct {
	Attempts           uint64 // calls to Generate
	Resumes            uint64 // connections opened to go on with a stream
	Resubmits          uint64 // prompts sent again, since the engine did not know the stream
	StalledConnections uint64 // connections given up for want of progress
	Suspects           uint64 // other connections closed with a silent one
	Contradictions     uint64 // answers that were crossed, duplicated, cut short or miscounted
	Cancels            CancelStats
}

// Client talks to engines. It is safe for concurrent use.
type Client struct {
	bounds    Bounds
	dial      DialFunc
	canceller *Canceller
	name      string // prefix of the names of httpc's breakers, which are global

	mu    sync.RWMutex
	peers map[string]*peer // by address

	attempts, resumes, resubmits, silent, suspects, contradictions atomic.Uint64
}

// New returns a client. Close it to end its goroutines.
func New(opts Options) *Client {
	c := &Client{bounds: opts.Bounds.withDefaults(), dial: opts.Dial, peers: make(map[string]*peer)}
	if c.dial == nil {
		c.dial = (&net.Dialer{}).DialContext
	}
	c.name = "engine/" + rand.Text() + "/"
	c.canceller = NewCanceller(opts.Cancel, c.sendCancel)
	return c
}

// Close stops the retries of cancels and closes idle connections. Calls in
// progress go on.
func (c *Client) Close() {
	c.canceller.Close()
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.peers {
		p.close()
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
		StalledConnections: c.silent.Load(),
		Suspects:           c.suspects.Load(),
		Contradictions:     c.contradictions.Load(),
		Cancels:            c.canceller.Stats(),
	}
}

// peer returns the connections of the target's address.
func (c *Client) peer(t topology.Target) *peer {
	addr := t.Addr.String()
	c.mu.RLock()
	p := c.peers[addr]
	c.mu.RUnlock()
	if p == nil {
		p = c.addPeer(addr)
	}
	p.used.Store(time.Now().UnixNano())
	return p
}

const (
	manyPeers    = 1024             // above, unused peers are looked for
	peerLifetime = 10 * time.Minute // unused and without a connection
)

func (c *Client) addPeer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[addr]; p != nil {
		return p
	}
	if len(c.peers) >= manyPeers {
		c.prunePeers(time.Now())
	}
	p := newPeer(addr, c.dial)
	p.used.Store(time.Now().UnixNano())
	c.peers[addr] = p
	return p
}

// prunePeers forgets peers that were not asked for lately. The caller holds mu.
func (c *Client) prunePeers(now time.Time) {
	for addr, p := range c.peers {
		if now.Sub(time.Unix(0, p.used.Load())) > peerLifetime && p.open() == 0 {
			delete(c.peers, addr)
		}
	}
}

// url is the address of path at the target.
func url(t topology.Target, path string) string {
	return "http://" + t.Addr.String() + path
}

// leaving reports whether the answer says that the engine is leaving.
func leaving(h http.Header, name string) bool { return h.Get(name) == "1" }
