package peers

import (
	"encoding/binary"
	"net"
)

// A yamux frame begins with a header whose second byte is the type of the frame
// and whose last four are, for data, the length of the body
// (github.com/hashicorp/yamux, spec.md).
const (
	frameHeader    = 12
	frameTypeByte  = 1
	frameData      = 0
	frameLengthEnd = frameHeader - 4
)

// frameConn writes the header of a frame together with its body, so that a
// message is one segment and wakes the peer once. Like yamux, it expects a
// single writer.
type frameConn struct {
	net.Conn
	header []byte // of the frame whose body comes next, nil if none
}

// Write keeps a header until its body is written.
func (c *frameConn) Write(p []byte) (int, error) {
	if c.header == nil && announcesBody(p) {
		c.header = append([]byte(nil), p...)
		return len(p), nil
	}
	if c.header == nil {
		return c.Conn.Write(p)
	}
	parts := net.Buffers{c.header, p}
	held := int64(len(c.header))
	c.header = nil
	n, err := parts.WriteTo(c.Conn)
	return int(max(n-held, 0)), err
}

func announcesBody(p []byte) bool {
	return len(p) == frameHeader && p[frameTypeByte] == frameData && binary.BigEndian.Uint32(p[frameLengthEnd:]) > 0
}
