package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The dose of the disruption, as the site file has it: a fifth of the clients leave, in one
// window of 5.5 s, within half of the objective of 300 ms.
const (
	leaveEvery   = 5
	leaveAfter   = 30 * time.Millisecond // within the 60 ms that a runner works
	leaveWindow  = 5500 * time.Millisecond
	leaveClients = 4
	leavePause   = 100 * time.Millisecond
)

// leavers counts what the clients of leave got.
type leavers struct {
	mu                                 sync.Mutex
	sent, left, signed, unsigned, none int
}

// leave has some of the clients that place orders leave. They close their side of the channel
// and read what comes until the host closes its side.
func leave(env *environment, trouble bool) (verdict, error) {
	if _, _, err := startRegistered(env); err != nil {
		return verdict{}, err
	}
	env.store.put(configKey, configuration(1, keyTwo))
	h, err := startHost(env)
	if err != nil {
		return verdict{}, err
	}
	var counts leavers
	var group sync.WaitGroup
	end := time.Now().Add(leaveWindow)
	for range leaveClients {
		group.Go(func() {
			for n := 1; time.Now().Before(end); n++ {
				counts.order(env, h, trouble && n%leaveEvery == 0)
				time.Sleep(leavePause)
			}
		})
	}
	group.Wait()
	return verdict{broken: counts.unsigned > 0, text: fmt.Sprintf(
		"MIXED: %d orders got a success without a runner's seal (0 allowed); of %d orders %d were left by their client, %d got a success with a seal and %d no answer",
		counts.unsigned, counts.sent, counts.left, counts.signed, counts.none)}, nil
}

// order places an order and counts what came back.
func (l *leavers) order(env *environment, h *host, leaves bool) {
	id := newAttemptID()
	status, sealed, err := placeOrder(h, id, leaves)
	env.rec.write("client: %s sent %s, left %t: status %d, seal %t %v", id, bookPath+"seats", leaves, status, sealed, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if leaves {
		l.left++
	}
	switch {
	case err != nil:
		l.none++
	case status >= 200 && status < 300 && sealed:
		l.signed++
	case status >= 200 && status < 300:
		l.unsigned++
		env.rec.write("unsigned: %s got status %d without a seal", id, status)
	}
}

// placeOrder places an order on a new channel and returns the status of the answer and
// whether it has a runner's seal.
func placeOrder(h *host, id string, leaves bool) (status int, sealed bool, err error) {
	conn, err := net.Dial("tcp", h.front)
	if err != nil {
		return 0, false, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(book.deadline)); err != nil {
		return 0, false, err
	}
	const body = `{"seat":"42"}`
	_, err = fmt.Fprintf(conn, "POST %sseats HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		bookPath, publicHost, headerAttemptID, id, headerDeadline, book.deadline.Milliseconds(), keyOne, len(body), body)
	if err != nil {
		return 0, false, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return 0, false, err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(headerSignature) != "", nil
}
