package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/platform/standin"
	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

const (
	// headCallers callers send a head of headBytes, below the limit of the configuration, and
	// pause before the last byte of a body.
	headCallers = 1300
	headBytes   = 15 << 10
	headPause   = 12 * time.Second
	// headInterval is the time between two callers.
	headInterval = 4 * time.Millisecond
	// bodyDelay is the time from a head to its body.
	bodyDelay = 30 * time.Millisecond
	// hostMemoryMB is the memory of a host.
	hostMemoryMB = 284
)

// playHeads has callers send long lists of empty prompt parts, and measures the memory of the
// host that reads them.
func playHeads(l *lab, trouble bool) (verdict, error) {
	d := l.deployment(plainTargets)
	d.PutRawConfig(wire.Config(10, schoolOnly, false))
	hosts, err := l.startHosts(d.StoreAddr, "north")
	if err != nil {
		return verdict{}, err
	}
	h := hosts[0]
	fill := ","
	if !trouble {
		fill = "0"
	}
	c := wire.Call{Method: "POST", Path: "/order/1", ID: "0000000000000001", Key: "nobody", Deadline: 10000,
		Extra: wire.Prompt("100,10", strings.Repeat(fill, headBytes)), Length: 2}
	head := c.Head()
	l.logf("%d callers send a head of %d bytes and one byte of a body of two", headCallers, len(head))
	var callers sync.WaitGroup
	go func() {
		for range headCallers {
			callers.Go(func() { pauseInBody(h.front, head, "b") })
			time.Sleep(headInterval)
		}
	}()
	peak := 0
	for end := time.Now().Add(headPause); time.Now().Before(end) && h.running(); time.Sleep(200 * time.Millisecond) {
		if now, err := standin.PeakMB(h.cmd.Process.Pid); err == nil && now > peak {
			peak = now
			l.logf("peak of the host's memory: %d MB", peak)
		}
	}
	alive := h.running()
	callers.Wait()
	l.logf("the host runs: %v", alive)
	if peak == 0 {
		return verdict{}, standinError("the memory of the host is not known")
	}
	if peak > hostMemoryMB || !alive {
		return verdict{broken: true, reason: "the host took more memory than its machine has"}, nil
	}
	return verdict{reason: "the host stayed within its memory"}, nil
}

// standinError is an error of the lab itself.
type standinError string

func (e standinError) Error() string { return string(e) }

// pauseInBody sends a head and a part of its body, and waits.
func pauseInBody(front, head, body string) {
	conn, err := net.DialTimeout("tcp", front, 3*time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(headPause))
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	time.Sleep(bodyDelay)
	if _, err := io.WriteString(conn, body); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the host closes, or the pause is over
}
