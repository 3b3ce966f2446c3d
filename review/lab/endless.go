package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The dose of the disruption: the largest that the site file names for runners that hand out
// wrong bytes, in one window.
const (
	faultyRunners   = 4    // of modelRunners: a share of 0.5
	faultyFraction  = 0.05 // of a faulty runner's answers in the window
	modelRunners    = 8
	windowStart     = 8 * time.Second
	windowLength    = 5500 * time.Millisecond
	countTime       = 3500 * time.Millisecond // of the window, in which answers are only counted
	timeAfterWindow = 12 * time.Second
)

const (
	// faultyBytesPerSecond bounds what the faulty runners send on all channels together: less
	// than the 1,000 Mbit/s of a machine's link.
	faultyBytesPerSecond = 100 << 20
	faultyChunk          = 256 << 10
	// maxFaultyBytes bounds what a faulty runner sends on one channel.
	maxFaultyBytes = 600 << 20
	// lostAllowed is the number of requests that a machine may lose by the rule.
	lostAllowed = 3
	// retryPause is how long a client waits after a failure.
	retryPause = 200 * time.Millisecond
)

// pacer hands out the faulty runners' share of the link.
type pacer struct {
	mu   sync.Mutex
	next time.Time
}

func (p *pacer) wait(bytes int) {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(time.Duration(float64(bytes) / faultyBytesPerSecond * float64(time.Second)))
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// flood describes an answer without end.
type flood struct {
	head string // after the status line and the headers that an answer has
	path string // of the requests that get it
	next func() []byte
	pace pacer
}

// send sends an answer without end, until the caller closes or the bound is reached. It
// returns the number of bytes sent.
func (f *flood) send(conn net.Conn, w *bufio.Writer, id string) int {
	defer conn.Close()
	const format = "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\nContent-Type: text/event-stream\r\n%s"
	if _, err := fmt.Fprintf(w, format, headerAttemptID, id, headerSignature, id, f.head); err != nil {
		return 0
	}
	sent := 0
	for sent < maxFaultyBytes {
		chunk := f.next()
		f.pace.wait(len(chunk))
		n, err := w.Write(chunk)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// window decides which answers of a runner are spoiled.
type window struct {
	from, to time.Time
	path     string

	mu              sync.Mutex
	answers, spoilt int // of this runner, in the window
}

// spoils counts an answer in the window and reports whether it is to be spoiled.
func (w *window) spoils(path string) bool {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.from) || now.After(w.to) {
		return false
	}
	w.answers++
	due := int(faultyFraction * float64(w.answers))
	if now.Before(w.from.Add(countTime)) || w.spoilt >= due || !strings.HasPrefix(path, w.path) {
		return false
	}
	w.spoilt++
	return true
}

// endlessBody has model runners answer some long prompts, whose clients wait longest, with an
// event that does not end.
func endlessBody(env *environment, trouble bool) (verdict, error) {
	chunk := make([]byte, faultyChunk)
	for i := range chunk {
		chunk[i] = 'x'
	}
	return endless(env, trouble, &flood{path: reviewPath, head: "\r\nid: 1\ndata: ", next: func() []byte { return chunk }})
}

// headerSymbols are characters of header names whose case does not matter.
const headerSymbols = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+.^_`|~"

// endlessHead has model runners answer some requests with a head that does not end.
func endlessHead(env *environment, trouble bool) (verdict, error) {
	var mu sync.Mutex
	line := 0
	next := func() []byte {
		mu.Lock()
		defer mu.Unlock()
		out := make([]byte, 0, faultyChunk)
		for len(out) < faultyChunk {
			line++
			for n := line + len(headerSymbols)*len(headerSymbols)*len(headerSymbols); n > 0; n /= len(headerSymbols) {
				out = append(out, headerSymbols[n%len(headerSymbols)])
			}
			out = append(out, ":\n"...)
		}
		return out
	}
	return endless(env, trouble, &flood{path: "/", next: next})
}

// endless runs clients of both services. If there is trouble, half of the model runners spoil
// some of their answers in a window.
func endless(env *environment, trouble bool, f *flood) (verdict, error) {
	models, books, err := startFleet(env, modelRunners, 3)
	if err != nil {
		return verdict{}, err
	}
	var spoilt atomic.Int64
	from := time.Now().Add(windowStart)
	for _, r := range models[:faultyRunners] {
		w := &window{from: from, to: from.Add(windowLength), path: f.path}
		if !trouble {
			continue
		}
		r.fault = func(rw http.ResponseWriter, req *http.Request) bool {
			if !w.spoils(req.URL.Path) {
				return false
			}
			spoilt.Add(1)
			id := req.Header.Get(headerAttemptID)
			env.rec.write("faulty runner %s: %s gets an answer without end", r.id, id)
			conn, buf, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return false
			}
			sent := f.send(conn, buf.Writer, id)
			env.rec.write("faulty runner %s: %s got %d bytes until its channel was closed", r.id, id, sent)
			return true
		}
	}
	for _, r := range append(models, books...) {
		r.register("ready", 0)
	}
	env.store.put(configKey, configuration(1, keyTwo))
	h, err := startHost(env)
	if err != nil {
		return verdict{}, err
	}
	l := &load{}
	// Together these are fewer requests a second than the 61 of the site's sheet.
	for range 8 {
		l.start(newClient(env, h.front, keyOne), book, bookPath+"seats", 800*time.Millisecond)
	}
	for range 16 {
		l.start(newClient(env, h.front, keyTwo), review, reviewPath+"2f", 50*time.Millisecond)
	}
	for range 72 {
		l.start(newClient(env, h.front, keyTwo), chat, chatPath+"2f", 50*time.Millisecond)
	}
	time.Sleep(time.Until(from.Add(windowLength + timeAfterWindow)))
	answers := l.stop()
	if trouble && spoilt.Load() == 0 {
		return verdict{}, errNotSpoiled
	}
	return judgeLost(env, h, answers), nil
}

// errNotSpoiled means that no answer was due to be spoiled in the window.
var errNotSpoiled = errors.New("no request came to a faulty runner at the time at which an answer was to be spoiled")

// judgeLost counts the requests on kept channels that a sound runner has run and whose channel
// was closed without an answer.
func judgeLost(env *environment, h *host, answers []answer) verdict {
	sound := make(map[string]bool)
	for _, r := range env.runs.all() {
		sound[r.id] = r.sound
	}
	lost, cut, served := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK && a.whole:
			served++
		case a.left || !a.kept || !sound[a.id]:
		case a.status == 0:
			lost++
			env.rec.write("lost: %s was passed on to a sound runner, and its kept channel closed without an answer: %s", a.id, a.failure)
		default:
			cut++
		}
	}
	return verdict{broken: lost > lostAllowed, text: fmt.Sprintf(
		"LOST: %d requests of kept channels were passed on to sound runners and got no answer (%d allowed), %d more were cut off in their answer; %d of %d requests served; process over its %d MB: %d times, peak %d MB",
		lost, lostAllowed, cut, served, len(answers), memoryLimitMB, h.kills.Load(), h.peakMB.Load())}
}
