package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
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
	// joinTimeout limits the dial of a member, and joinPause is the time until it tries again.
	joinTimeout = 5 * time.Second
	joinPause   = 50 * time.Millisecond
	// crowdTime is how long the crowd stays.
	crowdTime = 24 * time.Second
	// settleTime is how long after the crowd is complete ordinary orders begin to count.
	settleTime = 8 * time.Second
	// noteInterval is the time between two lines on the crowd in the record.
	noteInterval = 4 * time.Second
	// callerDeadline is the deadline of an ordinary order, and routeTimeout the timeout_ms of its route.
	callerDeadline = 4 * time.Second
	routeTimeout   = 2 * time.Second
	// timeoutSlack is how long after its route's timeout a request may be without an answer.
	timeoutSlack = 500 * time.Millisecond
	// callers is the number of ordinary callers, and callerPause the time between two requests
	// of one.
	callers     = 40
	callerPause = 500 * time.Millisecond
	// minLate is how many requests without an answer at their route's timeout are judged.
	minLate = 8
)

// ordinary counts the orders of ordinary callers that begin while the crowd is complete and
// whose deadline is over before it leaves.
type ordinary struct {
	from, until time.Time

	sent, served atomic.Int64
	unanswered   atomic.Int64 // at the timeout of their route
	late         atomic.Int64 // those of them without an answer half a second later
}

// record records an order and how long it took until its answer.
func (o *ordinary) record(begun time.Time, took time.Duration, ok bool) {
	if begun.Before(o.from) || begun.After(o.until.Add(-callerDeadline)) {
		return
	}
	o.sent.Add(1)
	if ok {
		o.served.Add(1)
	}
	if took > routeTimeout {
		o.unanswered.Add(1)
	}
	if took > routeTimeout+timeoutSlack {
		o.late.Add(1)
	}
}

// playCrowd keeps all connections of the hosts busy with callers that send each request in
// two parts, and counts the answers to ordinary callers beside them.
func playCrowd(l *lab) (bool, error) {
	f, err := newFleet(3, 20*time.Millisecond, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	hosts, err := l.startHosts(f.views[0].addr, f.views[0].addr)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	from := time.Now().Add(calmTime + crowdRamp + settleTime)
	counts := &ordinary{from: from, until: from.Add(crowdTime)}
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { l.callAsOrdinary(ctx, i, hosts, f, counts) })
	}
	time.Sleep(calmTime)
	var crowd, requests atomic.Int64
	var tooMany atomic.Bool // connections for the limit of this process
	if l.trouble {
		l.note("the crowd arrives: %d connections at each host", crowdConns)
		for _, h := range hosts {
			for i := range crowdConns {
				group.Go(func() {
					sleep(ctx, crowdRamp*time.Duration(i)/crowdConns)
					joinCrowd(ctx, h.callersAddr, &crowd, &requests, &tooMany)
				})
			}
		}
	}
	for time.Now().Before(counts.until) {
		time.Sleep(noteInterval)
		l.note("crowd: %d connections with answers, %d requests; ordinary orders: %d judged, %d served, %d late; hosts ready: %v %v",
			crowd.Load(), requests.Load(), counts.sent.Load(), counts.served.Load(), counts.late.Load(), hosts[0].ready(), hosts[1].ready())
	}
	cancel()
	group.Wait()
	sent, unanswered, late := counts.sent.Load(), counts.unanswered.Load(), counts.late.Load()
	l.note("ordinary orders: %d sent, %d served; %d had no answer at the timeout of their route, %d of them none %s later", sent, counts.served.Load(), unanswered, late, timeoutSlack)
	switch {
	case sent == 0:
		return false, errors.New("no ordinary order was sent")
	case tooMany.Load():
		return false, errors.New("this process may not open so many connections")
	}
	return unanswered < minLate || 2*late <= unanswered, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// joinCrowd keeps one connection and sends requests on it, each in two parts.
func joinCrowd(ctx context.Context, addr string, crowd, requests *atomic.Int64, tooMany *atomic.Bool) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", addr, joinTimeout)
		if err != nil {
			tooMany.Store(tooMany.Load() || errors.Is(err, syscall.EMFILE))
			sleep(ctx, joinPause)
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

// callAsOrdinary sends orders, each on a new channel.
func (l *lab) callAsOrdinary(ctx context.Context, caller int, hosts []*host, f *fleet, counts *ordinary) {
	sleep(ctx, time.Duration(caller)*callerPause/callers)
	for n := 0; ctx.Err() == nil; n++ {
		id, begun := fmt.Sprintf("o%d-%d", caller, n), time.Now()
		h := hosts[(caller+n)%len(hosts)]
		status, err := callOnce(h.callersAddr, id)
		counts.record(begun, time.Since(begun), status == http.StatusOK && err == nil)
		l.write("order %s at %s: status %d, %v, after %s, ran %d times", id, h.name, status, err, time.Since(begun).Round(time.Millisecond), f.ran(id))
		sleep(ctx, callerPause)
	}
}

// callOnce sends one order and returns the status of its whole answer.
func callOnce(addr, id string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(callerDeadline)); err != nil {
		return 0, err
	}
	request := "POST /order/7 HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nContent-Length: 5\r\nConnection: close\r\n\r\norder"
	if _, err := fmt.Fprintf(conn, request, wire["attempt"], id, wire["deadline"], callerDeadline.Milliseconds(), callerKey); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
