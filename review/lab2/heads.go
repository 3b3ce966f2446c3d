package main

import (
	"fmt"
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
	// soundCallers place orders on kept channels, each of which takes a runner orderWork.
	soundCallers = 12
	orderWork    = 200 * time.Millisecond
	// hostMemoryMB is the memory of a host.
	hostMemoryMB = 284
)

// playHeads has callers send long lists of empty prompt parts. It ends the host once that
// exceeds the memory of its machine, and counts the orders of sound callers that are lost with it.
func playHeads(l *lab, trouble bool) (verdict, error) {
	d := l.deployment(plainTargets)
	for _, o := range d.Orders {
		o.Delay = orderWork
	}
	d.PutRawConfig(wire.Config(10, schoolOnly, false))
	hosts, err := l.startHosts(d.StoreAddr, "north")
	if err != nil {
		return verdict{}, err
	}
	h := hosts[0]
	sound := &keptCallers{lab: l, front: h.front, body: "x", make: func(string) wire.Call {
		return wire.Call{Method: "POST", Path: "/order/1", Deadline: 4000}
	}}
	sound.start(soundCallers)
	time.Sleep(stableTime + time.Second)
	fill := ","
	if !trouble {
		fill = "0"
	}
	c := wire.Call{Method: "POST", Path: "/order/1", ID: "0000000000000001", Key: "nobody", Deadline: 10000,
		Extra: wire.Prompt("100,10", strings.Repeat(fill, headBytes)), Length: 2}
	head := c.Head()
	l.logf("%d callers send a head of %d bytes and one byte of a body of two", headCallers, len(head))
	var callers sync.WaitGroup
	callers.Go(func() {
		for range headCallers {
			callers.Go(func() { pauseInBody(h.front, head, "b") })
			time.Sleep(headInterval)
		}
	})
	killed, err := l.watchMemory(h, headPause)
	sound.stop()
	callers.Wait()
	if err != nil {
		return verdict{}, err
	}
	lost := sound.lost(func(id string) bool { return len(d.RunLog.ForRequest(id)) > 0 })
	if len(lost) > lostOfRule {
		return verdict{broken: true, reason: fmt.Sprintf("%d orders of sound callers were lost with the host", len(lost))}, nil
	}
	return verdict{reason: fmt.Sprintf("the host was ended for its memory: %v, orders lost: %d", killed, len(lost))}, nil
}

// watchMemory ends a host that takes more memory than its machine has, as the platform does. It
// watches for a time at most.
func (l *lab) watchMemory(h *host, atMost time.Duration) (killed bool, err error) {
	highest := 0
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		peak, err := standin.PeakMB(h.cmd.Process.Pid)
		if err != nil {
			return false, err
		}
		if peak >= highest+50 || peak > hostMemoryMB {
			highest = peak
			l.logf("peak of the host's memory: %d MB", peak)
		}
		if peak > hostMemoryMB {
			l.logf("the host is killed: its machine has %d MB", hostMemoryMB)
			h.kill()
			return true, nil
		}
	}
	return false, nil
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
