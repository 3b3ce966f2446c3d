package mesh

import (
	"net"
	"sync/atomic"
)

// Stats holds the traffic counters of a mesh since its start, and the current numbers of
// connections and links.
type Stats struct {
	BytesIn            uint64 // all bytes of the TCP connections, with the overhead of TLS and yamux
	BytesOut           uint64
	ForwardBytesIn     uint64 // stream bytes of methods with ForwardPrefix
	ForwardBytesOut    uint64
	Dials              uint64
	DialFailures       uint64
	Accepted           uint64
	Refused            uint64 // incoming connections that failed the TLS handshake or the hello exchange
	UnresponsiveClosed uint64 // connections closed because a heartbeat, a probe or an open request failed
	IdleClosed         uint64 // connections closed after they were drained
	StreamsOpened      uint64
	StreamsServed      uint64
	HandlerErrors      uint64
	Sessions           int // open connections
	Links              int // hosts chosen as links
	LinksNotConnected  int // link slots without an open connection
}

// ControlBytesIn returns the bytes received other than those of forwarded requests.
func (s Stats) ControlBytesIn() uint64 { return s.BytesIn - min(s.BytesIn, s.ForwardBytesIn) }

// ControlBytesOut returns the bytes sent other than those of forwarded requests.
func (s Stats) ControlBytesOut() uint64 { return s.BytesOut - min(s.BytesOut, s.ForwardBytesOut) }

// counters holds the event and byte counters that Stats reports.
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

// countingConn counts the bytes of one connection and adds them to the totals of the mesh.
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
