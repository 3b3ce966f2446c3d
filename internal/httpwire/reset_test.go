package httpwire_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/httpwire"
)

// partBytes is the size of the parts in which a request is sent.
const partBytes = 64 << 10

// askPaused sends the first part of a request to a server that reads it, answers without a length
// and calls end before it closes the connection. The other parts follow after that. It returns the
// body of the answer, or the error.
func askPaused(ctx context.Context, g *WithT, end func(conn net.Conn, answered chan<- struct{})) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	answered := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, partBytes)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nanswer")
		end(conn, answered)
	}()

	body, rest := io.Pipe()
	go func() {
		_, _ = rest.Write(make([]byte, partBytes))
		select {
		case <-answered:
		case <-ctx.Done():
		}
		_, _ = rest.Write(make([]byte, partBytes)) // fails at a server that has closed
		_, _ = rest.Write(make([]byte, partBytes))
		_ = rest.Close()
	}()
	client := httpwire.Transport{Transport: &http.Transport{DialContext: httpwire.Dial(new(net.Dialer).DialContext)}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), body)
	g.Expect(err).NotTo(HaveOccurred())
	req.ContentLength = 3 * partBytes
	resp, err := client.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// Guards against taking a part of an answer for the whole when its sender closes the connection
// while more of the request is on its way: the end comes in order, the reset follows.
func TestAnswerThatIsResetBeforeItsRequestWasSentIsNotWhole(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		text, err := askPaused(t.Context(), g, func(conn net.Conn, answered chan<- struct{}) {
			conn.Close()
			close(answered)
		})
		g.Expect(err).To(HaveOccurred(), "%q", text)
	}
}

// Guards against rejecting a whole answer whose sender ends its side and reads the request on.
func TestAnswerThatEndsBeforeItsRequestWasSentIsWhole(t *testing.T) {
	g := NewWithT(t)
	text, err := askPaused(t.Context(), g, func(conn net.Conn, answered chan<- struct{}) {
		g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		close(answered)
		_, _ = io.Copy(io.Discard, conn)
	})
	g.Expect(text, err).To(Equal("answer"))
}

// Guards against waiting for a request that nobody reads, once its caller has left.
func TestLeavingCallerEndsTheWaitForTheRequest(t *testing.T) {
	g := NewWithT(t)
	ctx, leave := context.WithCancel(t.Context())
	_, err := askPaused(ctx, g, func(conn net.Conn, _ chan<- struct{}) {
		g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		time.AfterFunc(50*time.Millisecond, leave)
		<-ctx.Done()
	})
	g.Expect(err).To(HaveOccurred())
}
