package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/platform/standin"
)

const (
	// crowdConns is how many connections the crowd keeps at each host: a few more than
	// 0.4 of 4,200 descriptors.
	crowdConns = 1720
	// calmTime is the time before the crowd arrives.
	calmTime = 3 * time.Second
	// crowdRamp is the time in which they are opened.
	crowdRamp = 3 * time.Second
	// crowdIdle is the pause of a member between an answer and its next request, and
	// crowdPart the one between the two parts of a request.
	crowdIdle = 100 * time.Millisecond
	crowdPart = 300 * time.Millisecond
	// crowdTime is how long the crowd stays.
	crowdTime = 40 * time.Second
	// settleTime is how long after the crowd is complete ordinary requests begin to count.
	settleTime = 8 * time.Second
	// callerDeadline is the deadline of an ordinary request, and callerConnect how long its
	// caller waits for a connection or an answer of one host, as the users' pages say.
	callerDeadline = 4 * time.Second
	callerConnect  = time.Second
	// callers is the number of ordinary callers, and callerPause the time between two requests
	// of one.
	callers     = 20
	callerPause = 500 * time.Millisecond
)

// ordinary counts the ordinary requests that count.
type ordinary struct {
	since          time.Time // requests that begin later count if they end before the crowd leaves
	sent, answered atomic.Int64
}

// playCrowd keeps all connections of the hosts busy with callers that send each request in
// two parts, and counts the answers to ordinary callers beside them.
func playCrowd(l *lab) (bool, error) {
	d := standin.NewDeployment(3, 3)
	defer d.Close()
	d.PublishConfig(callerKey)
	hosts, err := l.startHosts(d.StoreAddr, d.StoreAddr)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counts := ordinary{since: time.Now().Add(calmTime + crowdRamp + settleTime)}
	var counting atomic.Bool
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { l.callAsOrdinary(ctx, i, hosts, &counts, &counting) })
	}
	time.Sleep(calmTime)
	var crowd atomic.Int64
	var requests atomic.Int64
	if l.trouble {
		l.note("the crowd arrives: %d connections at each host", crowdConns)
		for _, h := range hosts {
			for i := range crowdConns {
				group.Go(func() {
					sleep(ctx, crowdRamp*time.Duration(i)/crowdConns)
					joinCrowd(ctx, h.callersAddr, &crowd, &requests)
				})
			}
		}
	}
	time.Sleep(crowdRamp + settleTime)
	counting.Store(true)
	for end := time.Now().Add(crowdTime - settleTime); time.Now().Before(end); time.Sleep(4 * time.Second) {
		l.note("crowd: %d connections with answers, %d requests; ordinary requests: %d sent, %d answered; hosts ready: %v %v",
			crowd.Load(), requests.Load(), counts.sent.Load(), counts.answered.Load(), hosts[0].ready(), hosts[1].ready())
	}
	counting.Store(false)
	cancel()
	group.Wait()
	sent, answered := counts.sent.Load(), counts.answered.Load()
	l.note("ordinary requests: %d sent, %d answered within %s", sent, answered, callerDeadline)
	if sent == 0 {
		return false, fmt.Errorf("no ordinary request was sent")
	}
	return answered > 0, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// joinCrowd keeps one connection and sends requests on it, each in two parts.
func joinCrowd(ctx context.Context, addr string, crowd, requests *atomic.Int64) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
		if err != nil {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		in, member := bufio.NewReader(conn), false
		for ctx.Err() == nil {
			if sendInParts(ctx, conn, in) != nil {
				break
			}
			requests.Add(1)
			if !member {
				member = true
				crowd.Add(1)
			}
			sleep(ctx, crowdIdle)
		}
		if member {
			crowd.Add(-1)
		}
		stop()
		conn.Close()
	}
}

// sendInParts sends one request in two parts and reads the answer.
func sendInParts(ctx context.Context, conn net.Conn, in *bufio.Reader) error {
	if _, err := io.WriteString(conn, "GET /status/1 HTTP/1.1\r\n"); err != nil {
		return err
	}
	sleep(ctx, crowdPart)
	if _, err := fmt.Fprintf(conn, "Host: shop.example\r\n%s: c\r\n%s: 4000\r\n\r\n", wire["attempt"], wire["deadline"]); err != nil {
		return err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// callAsOrdinary sends requests that follow the users' pages, each on a new connection, with
// one retry at another host.
func (l *lab) callAsOrdinary(ctx context.Context, caller int, hosts []*host, counts *ordinary, counting *atomic.Bool) {
	sleep(ctx, time.Duration(caller)*callerPause/callers)
	for n := 0; ctx.Err() == nil; n++ {
		begun := time.Now()
		status := ""
		ok := false
		for try := 0; try < 2 && !ok && time.Since(begun) < callerDeadline; try++ {
			ok, status = callOnce(hosts[(caller+n+try)%len(hosts)].callersAddr, fmt.Sprintf("o%d-%d-%d", caller, n, try), callerDeadline-time.Since(begun))
		}
		if counting.Load() && ctx.Err() == nil && begun.After(counts.since) {
			counts.sent.Add(1)
			if ok {
				counts.answered.Add(1)
			}
		}
		if !ok && caller == 0 && ctx.Err() == nil {
			l.note("ordinary request %d of caller 0: %s after %s", n, status, time.Since(begun).Round(time.Millisecond))
		}
		sleep(ctx, callerPause)
	}
}

// callOnce sends one idempotent request and reports whether it was answered.
func callOnce(addr, id string, left time.Duration) (ok bool, status string) {
	conn, err := net.DialTimeout("tcp", addr, min(left, callerConnect))
	if err != nil {
		return false, "no connection: " + err.Error()
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(min(left, max(left/3, callerConnect)))); err != nil {
		return false, err.Error()
	}
	request := "GET /status/7 HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nConnection: close\r\n\r\n"
	if _, err := fmt.Fprintf(conn, request, wire["attempt"], id, wire["deadline"], left.Milliseconds(), callerKey); err != nil {
		return false, err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "done by") {
		return false, fmt.Sprint("status ", resp.StatusCode)
	}
	return true, ""
}
