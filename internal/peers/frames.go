package peers

import (
	"encoding/binary"
	"net"

	"github.com/plantainrun/plantainrun/internal/muxconn"
)

// Layout of a yamux frame header: the second byte is the type of the frame, and
// the last four bytes of a data frame's header are the length of its body
// (github.com/hashicorp/yamux, spec.md).
const (
	frameHeaderSize   = 12
	frameTypeOffset   = 1
	frameTypeData     = 0
	frameLengthOffset = frameHeaderSize - 4
)

// frameConn writes the header and the body of a yamux data frame in one call, so
// that a message is sent as one segment and wakes the peer once. Like yamux, it
// expects a single writer.
type frameConn struct {
	net.Conn
	pendingHeader []byte // header of the frame whose body comes next, nil if none
}

// Write buffers the header of a data frame until its body is written. Everything
// else is written through.
func (c *frameConn) Write(p []byte) (int, error) {
	if c.pendingHeader == nil && isDataHeader(p) {
		c.pendingHeader = append([]byte(nil), p...)
		return len(p), nil
	}
	if c.pendingHeader == nil {
		return c.Conn.Write(p)
	}
	parts := net.Buffers{c.pendingHeader, p}
	headerLen := int64(len(c.pendingHeader))
	c.pendingHeader = nil
	n, err := parts.WriteTo(c.Conn)
	return int(max(n-headerLen, 0)), err
}

// Close starts to close the connection and does not wait.
func (c *frameConn) Close() error { return muxconn.Conn{Conn: c.Conn}.Close() }

func isDataHeader(p []byte) bool {
	return len(p) == frameHeaderSize && p[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}
