// Package muxconn adapts network connections to yamux.
package muxconn

import "net"

// Conn is a connection below a yamux session. Its Close does not wait: a session that is shut
// down closes its connection before its streams, and until then the readers of these streams
// poll without a pause (yamux v0.1.2, Stream.Read).
type Conn struct{ net.Conn }

// Close starts to close the connection. The session has ended by then, so the error of closing
// says nothing new and is dropped.
func (c Conn) Close() error {
	go func() { _ = c.Conn.Close() }()
	return nil
}
