package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Keys of two tenants.
const (
	apiKey   = "n2ctnfzs989anu6wsjnb"
	otherKey = "anfqasnmgkcuyj8pjbvk"
)

var requestCount atomic.Int64

// answer is what a client got.
type answer struct {
	id, body string
	status   int
	header   http.Header
	err      error
}

// call describes a request of a client.
type call struct {
	method, path, body, id string
	key                    string // apiKey if empty
	header                 map[string]string
}

// newID returns an id of a client's attempt.
func newID() string { return fmt.Sprintf("9c41d07be2a%05d", requestCount.Add(1)) }

// send sends a request to a machine and reads the whole answer.
func (c call) send(client *http.Client, h *host, rec *record) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+h.front+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "ficu95.example"
	req.Header.Set(names["attempt"], c.id)
	req.Header.Set(names["deadline"], "4000")
	req.Header.Set("Authorization", "Token "+cmp.Or(c.key, apiKey))
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	rec.add("client with key %.4s sends request %s to %s: %s %s", cmp.Or(c.key, apiKey), c.id, h.name, c.method, c.path)
	resp, err := client.Do(req)
	if err != nil {
		rec.add("client gets no answer to request %s: %v", c.id, err)
		return answer{id: c.id, err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	rec.add("client gets %d to request %s from %s, seal %q, %d bytes, error %v", resp.StatusCode, c.id, h.name, resp.Header.Get(names["seal"]), len(text), err)
	return answer{id: c.id, status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}
