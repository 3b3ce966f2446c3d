package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headBytes is how much of a head a member of the crowd sends: under 128 KiB of the host's
	// account, so that it may use all of it.
	headBytes = 1400
	// headConns is the number of members, and fillConns that of those that send a few bytes at
	// a time for as long as there is room.
	headConns, fillConns = 900, 300
	fillBytes, fillPause = 40, 20 * time.Millisecond
	// headHold is how long a member waits with the rest: less than a head may take.
	headHold = 9 * time.Second
	// headTime is how long the crowd stays.
	headTime = 40 * time.Second
	// headCallers is the number of ordinary callers.
	headCallers = 20
)

// playHeads fills the host's memory with heads that do not end, while ordinary callers send orders.
func playHeads(l *lab) (bool, error) {
	f, err := newFleet(3, 60*time.Millisecond, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	hosts, err := l.startHosts(f.views[0].addr)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), headTime)
	defer cancel()
	var group sync.WaitGroup
	if l.trouble {
		for i := range headConns + fillConns {
			group.Go(func() { holdHead(ctx, hosts[0].callersAddr, i >= headConns) })
		}
	}
	sleep(ctx, 3*time.Second)
	var sent, served, refused, closed, lost, failed atomic.Int64
	callers := newCaller()
	for i := range headCallers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("o%d-%d", i, n)
				a := callers.send(hosts[0], http.MethodPost, "/order/"+id, id)
				if ctx.Err() != nil {
					return
				}
				sent.Add(1)
				switch runs := f.ran(id); {
				case a.success():
					served.Add(1)
				case runs > 0:
					lost.Add(1)
					l.note("order %s has run, and its caller got status %d, %v", id, a.status, a.err)
				case a.status == 0:
					closed.Add(1)
				case a.status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
				sleep(ctx, 100*time.Millisecond)
			}
		})
	}
	group.Wait()
	l.note("%d orders: %d served, %d refused, %d closed unread, %d failed, %d ran and were not answered", sent.Load(), served.Load(), refused.Load(), closed.Load(), failed.Load(), lost.Load())
	return lost.Load() == 0, nil
}

// holdHead sends the beginning of a head and waits, again and again.
func holdHead(ctx context.Context, addr string, fills bool) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
		if err != nil {
			sleep(ctx, 20*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		_ = conn.SetReadDeadline(time.Now().Add(headHold))
		go func() {
			total := 0
			piece, pause := headBytes, headHold
			if fills {
				piece, pause = fillBytes, fillPause
			}
			for total < headBytes && ctx.Err() == nil {
				prefix := ""
				if total == 0 {
					prefix = "GET /a HTTP/1.1\r\n"
				}
				if _, err := io.WriteString(conn, prefix+"X-A: "+strings.Repeat("a", piece-7)+"\r\n"); err != nil {
					return
				}
				total += piece
				sleep(ctx, pause)
			}
		}()
		_, _ = conn.Read(make([]byte, 1)) // until the host closes it
		stop()
		conn.Close()
	}
}
