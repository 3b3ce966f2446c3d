package mesh

import (
	"net"
	"sync/atomic"
)

// Stats counts a mesh's traffic since its start, in bytes and events.
type Stats struct {
	BytesIn            uint64 // on the wire below TLS, everything included
	BytesOut           uint64
	ForwardBytesIn     uint64 // messages of methods with ForwardPrefix
	ForwardBytesOut    uint64
	Dials              uint64
	DialFailures       uint64
	Accepted           uint64
	Refused            uint64 // connections refused after the hello
	UnresponsiveClosed uint64 // connections closed for lack of progress
	IdleClosed         uint64
	StreamsOpened      uint64
	StreamsServed      uint64
	HandlerErrors      uint64
	Sessions           int // open connections
	Links              int // chosen link hosts
	LinksNotConnected  int // link slots without an open connection
}

// ControlBytesIn is what came in for other purposes than forwarded requests.
func (s Stats) ControlBytesIn() uint64 { return s.BytesIn - min(s.BytesIn, s.ForwardBytesIn) }

// ControlBytesOut is what went out for other purposes than forwarded requests.
func (s Stats) ControlBytesOut() uint64 { return s.BytesOut - min(s.BytesOut, s.ForwardBytesOut) }

// counters holds the counters behind Stats.
type counters struct {
	wireIn, wireOut                atomic.Uint64
	forwardIn, forwardOut          atomic.Uint64
	dials, dialFailures            atomic.Uint64
	accepted, refused              atomic.Uint64
	unresponsiveClosed, idleClosed atomic.Uint64
	streamsOpened, streamsServed   atomic.Uint64
	handlerErrors                  atomic.Uint64
}

func (t *counters) addSent(forward bool, n int) {
	if forward {
		t.forwardOut.Add(uint64(n))
	}
}

func (t *counters) addReceived(forward bool, n int) {
	if forward && n > 0 {
		t.forwardIn.Add(uint64(n))
	}
}

func (t *counters) snapshot() Stats {
	return Stats{
		BytesIn:            t.wireIn.Load(),
		BytesOut:           t.wireOut.Load(),
		ForwardBytesIn:     t.forwardIn.Load(),
		ForwardBytesOut:    t.forwardOut.Load(),
		Dials:              t.dials.Load(),
		DialFailures:       t.dialFailures.Load(),
		Accepted:           t.accepted.Load(),
		Refused:            t.refused.Load(),
		UnresponsiveClosed: t.unresponsiveClosed.Load(),
		IdleClosed:         t.idleClosed.Load(),
		StreamsOpened:      t.streamsOpened.Load(),
		StreamsServed:      t.streamsServed.Load(),
		HandlerErrors:      t.handlerErrors.Load(),
	}
}

// countingConn counts the bytes of one connection and of the whole mesh.
type countingConn struct {
	net.Conn
	total   *counters
	in, out atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.in.Add(uint64(n))
		c.total.wireIn.Add(uint64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.out.Add(uint64(n))
		c.total.wireOut.Add(uint64(n))
	}
	return n, err
}
