package httpwire_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/httpwire"
)

// readResponses reads count responses, which arrive in the given pieces, from one connection and
// returns the error of the first that is malformed.
func readResponses(pieces []string, count int) error {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		defer far.Close()
		for _, piece := range pieces {
			if _, err := io.WriteString(far, piece); err != nil {
				return
			}
		}
	}()
	conn := httpwire.Wrap(near)
	reader := bufio.NewReader(conn)
	for range count {
		conn.BeginRequest()
		conn.EndRequest()
		resp, err := http.ReadResponse(reader, nil)
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(reader, nil) // after an interim one
		}
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a verdict that depends on how a head is split over reads.
func TestVerdictDoesNotDependOnTheReads(t *testing.T) {
	const (
		sound = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Note: a\r\nContent-Length: 17\r\n\r\nnot : a\r\n field\r\n"
		next  = "HTTP/1.1 204 No Content\r\n\r\n"
	)
	for name, c := range map[string]struct {
		responses string
		want      httpwire.Reason
	}{
		"sound":       {sound, ""},
		"status line": {"HTTP/1.1  200 OK\r\n\r\n", httpwire.ReasonStatusLine},
		"status":      {"HTTP/1.1 000 OK\r\n\r\n", httpwire.ReasonStatus},
		"name":        {"HTTP/1.1 200 OK\r\nX-Note : a\r\n\r\n", httpwire.ReasonFieldName},
		"value":       {"HTTP/1.1 200 OK\r\nX-Note: a\x01\r\n\r\n", httpwire.ReasonFieldValue},
		"folded":      {"HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n\r\n", httpwire.ReasonFolded},
		"framing":     {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", httpwire.ReasonFraming},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for split := range len(c.responses) {
				for _, pieces := range [][]string{
					{c.responses[:split], c.responses[split:], next},
					{c.responses[:split], c.responses[split : split+1], c.responses[split+1:], next},
				} {
					err := readResponses(pieces, 2)
					g.Expect(err == nil).To(Equal(c.want == ""), "split at %d: %v", split, err)
				}
			}
			var malformed *httpwire.Error
			if errors.As(readResponses([]string{c.responses, next}, 2), &malformed) {
				g.Expect(malformed.Reason).To(Equal(c.want))
			} else {
				g.Expect(c.want).To(BeEmpty())
			}
		})
	}
}

// Guards against checking what belongs to no head: the body, and what comes without a request.
func TestOnlyHeadsAreChecked(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer near.Close()
	const bytes = "no : head\r\n at all\r\n\r\n"
	go func() {
		_, _ = io.WriteString(far, bytes)
		far.Close()
	}()
	got, err := io.ReadAll(httpwire.Wrap(near))
	g.Expect(string(got), err).To(Equal(bytes))
}
