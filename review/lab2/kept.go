package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

// lostOfRule is the number of requests that may be lost on kept channels.
const lostOfRule = 3

// keptCallers are sound callers. Each of them sends one request after the other on a channel
// that it keeps, and opens a new one if it was closed.
type keptCallers struct {
	lab   *lab
	front string
	make  func(id string) wire.Call
	body  string

	group    sync.WaitGroup
	stopped  atomic.Bool
	mu       sync.Mutex
	answered map[int]int // whole answers by status
	cut      []string    // requests on kept channels that were closed without a whole answer
	unkept   int         // the same on new channels
}

// start starts callers.
func (k *keptCallers) start(callers int) {
	k.answered = make(map[int]int)
	for i := range callers {
		k.group.Go(func() {
			for n := 0; !k.stopped.Load(); {
				n = k.channel(i, n)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// stop waits for the requests in progress.
func (k *keptCallers) stop() {
	k.stopped.Store(true)
	k.group.Wait()
}

// channel uses one channel until it is closed. It returns the number of the next request.
func (k *keptCallers) channel(caller, n int) int {
	conn, err := net.DialTimeout("tcp", k.front, time.Second)
	if err != nil {
		return n
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for kept := false; !k.stopped.Load(); kept = true {
		id := fmt.Sprintf("%04x%012x", caller, n)
		n++
		c := k.make(id)
		c.ID, c.Key, c.Length = id, apiKey, len(k.body)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		status, err := exchange(conn, reader, c.Head()+k.body)
		k.mu.Lock()
		switch {
		case err == nil:
			k.answered[status]++
		case kept:
			k.cut = append(k.cut, id)
		default:
			k.unkept++
		}
		k.mu.Unlock()
		if err != nil {
			return n
		}
	}
	return n
}

// exchange sends a request and reads its whole answer.
func exchange(conn net.Conn, reader *bufio.Reader, text string) (int, error) {
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// lost returns the requests on kept channels that a runner had got and whose channel was closed
// without a whole answer. ran tells whether a runner got a request.
func (k *keptCallers) lost(ran func(id string) bool) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for _, id := range k.cut {
		if ran(id) {
			out = append(out, id)
		}
	}
	k.lab.logf("sound callers: answers by status %v; closed without a whole answer: %d on kept channels, of these %d passed on to a sound runner; %d on new ones", k.answered, len(k.cut), len(out), k.unkept)
	return out
}
