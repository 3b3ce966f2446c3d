package httpwire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// DialFunc opens a connection; it has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a DialFunc that wraps the connections that dial opens.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Wrap(conn), nil
	}
}

// Transport is an http.Transport that checks the responses it gets. Its DialContext returns
// connections of this package, or ones that embed them.
type Transport struct{ *http.Transport }

// requestConn is a Conn, or a connection that embeds one.
type requestConn interface {
	BeginRequest()
	EndRequest()
}

// RoundTrip implements http.RoundTripper. The error for a malformed head wraps an *Error.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[requestConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(requestConn); ok {
				conn.Store(&c)
				c.BeginRequest()
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c := conn.Load(); c != nil {
				(*c).EndRequest()
			}
		},
	}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
