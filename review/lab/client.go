package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kind is a kind of request.
type kind struct {
	name     string
	path     string
	method   string
	stream   bool
	tokens   string
	deadline time.Duration
	abandon  time.Duration // longest gap before which the client leaves
}

var (
	chat   = kind{name: "course-query", path: chatPath, method: http.MethodPost, stream: true, tokens: "5000,800", deadline: 10 * time.Second, abandon: 2 * time.Second}
	review = kind{name: "file-review", path: reviewPath, method: http.MethodPost, stream: true, tokens: "45040,700", deadline: 10 * time.Second, abandon: 6 * time.Second}
	book   = kind{name: "seat-book", path: bookPath, method: http.MethodPost, deadline: 4 * time.Second, abandon: 4 * time.Second}
)

// answer is what a client got for one request.
type answer struct {
	id      string
	key     string
	sentAt  time.Time
	status  int  // 0 if the channel ended without an answer
	kept    bool // the request was sent on a channel that had been used before
	whole   bool // the answer is complete
	left    bool // the client has left before the end of the answer
	body    string
	failure string
	// retryAfter is how long the host asks the client to wait; 0 if it does not.
	retryAfter time.Duration
}

// client sends requests over one channel, which it keeps.
type client struct {
	env       *environment
	addr      string
	key       string
	transport *http.Transport
	dials     atomic.Int64
}

func newClient(env *environment, addr, key string) *client {
	c := &client{env: env, addr: addr, key: key}
	c.transport = &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c.dials.Add(1)
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
		},
	}
	env.onClose(c.transport.CloseIdleConnections)
	return c
}

var lastAttempt atomic.Int64

func newAttemptID() string { return fmt.Sprintf("9c41d07b%08x", lastAttempt.Add(1)) }

// send sends one request, once, and returns what came back.
func (c *client) send(k kind, uri string) answer {
	a := answer{id: newAttemptID(), key: c.key, sentAt: time.Now()}
	ctx, leave := context.WithTimeout(context.Background(), k.deadline)
	defer leave()
	gap := time.AfterFunc(k.abandon, leave)
	defer gap.Stop()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), k, a.id, uri)
	if err != nil {
		a.failure = err.Error()
		return a
	}
	c.env.rec.write("client: %s sent: %s %s (%s)", a.id, k.method, uri, k.name)
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		a.status = resp.StatusCode
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		a.body, err = readAnswer(resp, k, gap)
		resp.Body.Close()
	}
	a.whole = err == nil
	a.left = ctx.Err() != nil
	if err != nil {
		a.failure = err.Error()
	}
	c.env.rec.write("client: %s answered: status %d, whole %t, left %t, kept channel %t %s", a.id, a.status, a.whole, a.left, a.kept, a.failure)
	return a
}

func (c *client) request(ctx context.Context, k kind, id, uri string) (*http.Request, error) {
	const body = `{"seat":"42"}`
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+c.addr+"/", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.URL.Path, req.URL.RawQuery, _ = strings.Cut(uri, "?")
	req.ContentLength = int64(len(body))
	req.Host = publicHost
	req.Header.Set(headerAttemptID, id)
	req.Header.Set(headerDeadline, fmt.Sprint(k.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+c.key)
	if k.stream {
		prompt, _, _ := strings.Cut(k.tokens, ",")
		req.Header.Set(headerModel, "m")
		req.Header.Set(headerTokenCount, k.tokens)
		req.Header.Set(headerPromptPrefix, fmt.Sprintf("5c1e07a2:40,%s:%s", id, prompt))
	}
	return req, nil
}

// readAnswer reads a body. Each line is progress.
func readAnswer(resp *http.Response, k kind, gap *time.Timer) (string, error) {
	var text strings.Builder
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		gap.Reset(k.abandon)
	}
}

// load sends requests of clients, each one after the other, until stop is called.
type load struct {
	group sync.WaitGroup
	ended atomic.Bool

	mu      sync.Mutex
	answers []answer
}

// maxStartDelay spreads the first requests of the clients.
const maxStartDelay = 2 * time.Second

// start adds a client that pauses between its requests.
func (l *load) start(c *client, k kind, uri string, pause time.Duration) {
	l.group.Go(func() {
		time.Sleep(rand.N(maxStartDelay))
		for !l.ended.Load() {
			a := c.send(k, uri)
			l.mu.Lock()
			l.answers = append(l.answers, a)
			l.mu.Unlock()
			if a.status == 0 {
				time.Sleep(retryPause)
			}
			time.Sleep(max(pause, a.retryAfter))
		}
	})
}

func (l *load) stop() []answer {
	l.ended.Store(true)
	l.group.Wait()
	return l.answers
}
