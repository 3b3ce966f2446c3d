// Package malformed is a server for tests whose answers break the rules of HTTP.
package malformed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
)

// Answers are answers that a client must not use. %s stands for the fields that it wants.
var Answers = map[string]string{
	"status 000":              "HTTP/1.1 000 OK\r\n%sContent-Length: 2\r\n\r\n{}",
	"status 600":              "HTTP/1.1 600 Odd\r\n%sContent-Length: 2\r\n\r\n{}",
	"another protocol":        "HTTP/1.1 101 Switching Protocols\r\n%s\r\n{}",
	"version 2.0":             "HTTP/2.0 200 OK\r\n%sContent-Length: 2\r\n\r\n{}",
	"blank after a name":      "HTTP/1.1 200 OK\r\nX-Note : a\r\n%sContent-Length: 2\r\n\r\n{}",
	"blank after the length":  "HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\nConnection: close\r\n\r\n{}",
	"blank before the length": "HTTP/1.1 200 OK\r\n%s Content-Length: 2\r\nConnection: close\r\n\r\n{}",
	"control byte in a name":  "HTTP/1.1 200 OK\r\nX-No\x01te: a\r\n%sContent-Length: 2\r\n\r\n{}",
	"control byte in a value": "HTTP/1.1 200 OK\r\nX-Note: \x01\r\n%sContent-Length: 2\r\n\r\n{}",
	"length and encoding":     "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"204 with a body":         "HTTP/1.1 204 No Content\r\n%sContent-Length: 2\r\n\r\n{}",
}

// Listen serves one answer on each connection, with the given fields, each ended by CRLF. stop
// ends it.
func Listen(answer, fields string) (addr netip.AddrPort, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	text := strings.Replace(answer, "%s", fields, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed by stop
			}
			go serve(conn, text)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), func() { _ = listener.Close() }, nil
}

func serve(conn net.Conn, text string) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, text) // the client notices an answer that is cut
}
