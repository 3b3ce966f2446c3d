package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

const (
	// Callers announce a body of announcedBytes and pause in it. All of this is below the
	// limits of the configuration.
	announcedBytes = 60 << 10
	// bodyInterval is the time between two callers.
	bodyInterval = 2 * time.Millisecond
	// stableTime is stable_ms of the settings, and ordinaryCallers how many callers have to try
	// for the rule to apply.
	stableTime      = 3 * time.Second
	ordinaryCallers = 7
	ordinaryPause   = 100 * time.Millisecond
)

// pauses are the groups of callers: how many send how much of their body.
var pauses = []struct{ callers, sentBytes int }{{1310, 33 << 10}, {20, 17 << 10}, {30, 9 << 10}, {30, 5 << 10}, {40, 3 << 10}, {40, 1100}}

// playBodies has callers pause in their bodies, and counts the ordinary requests that are
// answered meanwhile.
func playBodies(l *lab, trouble bool) (verdict, error) {
	d := l.deployment(plainTargets)
	d.PutRawConfig(wire.Config(10, schoolOnly, false))
	hosts, err := l.startHosts(d.StoreAddr, "north")
	if err != nil {
		return verdict{}, err
	}
	h := hosts[0]
	var crowd sync.WaitGroup
	if trouble {
		for _, p := range pauses {
			l.logf("%d callers send %d of %d bytes of a body", p.callers, p.sentBytes, announcedBytes)
			head, body := wire.ShortHead("/order/1", announcedBytes), strings.Repeat("b", p.sentBytes)
			for range p.callers {
				crowd.Go(func() { pauseInBody(h.front, head, body) })
				time.Sleep(bodyInterval)
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	var answered, failed atomic.Int64
	var callers sync.WaitGroup
	notReady := 0
	begin := time.Now()
	for i := range ordinaryCallers {
		callers.Go(func() {
			for n := 0; time.Since(begin) < 2*stableTime; n++ {
				status, text, err := call(h.front, wire.Call{Method: "GET", Path: "/status/1", ID: fmt.Sprintf("%08d%08d", i, n), Key: apiKey, Deadline: 2000}, "")
				if err == nil && status == 200 {
					answered.Add(1)
				} else if failed.Add(1) <= 5 {
					l.logf("an ordinary caller gets %s", outcome(status, text, err))
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	for time.Since(begin) < 2*stableTime {
		if h.ready200() != nil {
			notReady++
		}
		time.Sleep(500 * time.Millisecond)
	}
	callers.Wait()
	l.logf("in %v: %d ordinary requests answered, %d not; readiness failed %d times; the host runs: %v", 2*stableTime, answered.Load(), failed.Load(), notReady, h.running())
	crowd.Wait()
	status, body, err := call(h.front, wire.Call{Method: "GET", Path: "/status/1", ID: "00000000000000ff", Key: apiKey, Deadline: 2000}, "")
	l.logf("afterwards an ordinary caller gets %s", outcome(status, body, err))
	if answered.Load() == 0 {
		return verdict{broken: true, reason: "no ordinary caller got an answer"}, nil
	}
	return verdict{reason: "ordinary callers got answers"}, nil
}
