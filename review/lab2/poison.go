package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

const (
	poisonEngines = 16
	// poisonInterval is the time between two repetitions of the request, at the hosts in turn.
	poisonInterval = 250 * time.Millisecond
	poisonTime     = 75 * time.Second
	// crashesUntilRule is the number of crashes, and retriesOfRule the number of arrivals
	// later than stableTime after them, that the rule names.
	crashesUntilRule = 3
	retriesOfRule    = 3
)

// playPoison repeats a request that crashes the engines that run it, and counts its arrivals
// later than stableTime after the third crash.
func playPoison(l *lab, trouble bool) (verdict, error) {
	d := l.deployment(plainTargets)
	d.PutRawConfig(wire.Config(10, schoolOnly, false))
	log := &poisonLog{}
	for i := range poisonEngines {
		e := &crashingEngine{lab: l, store: d.Store, runs: d.RunLog, log: log, name: fmt.Sprint("engine-", i), sound: !trouble}
		l.atEnd(e.end)
		if err := e.start(); err != nil {
			return verdict{}, err
		}
	}
	hosts, err := l.startHosts(d.StoreAddr, "north", "south", "centre")
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(stableTime + time.Second) // the hosts are in touch, and know each other
	var callers sync.WaitGroup
	var mu sync.Mutex
	ends := make(map[string]int)
	begin := time.Now()
	for n := 0; time.Since(begin) < poisonTime; n++ {
		callers.Go(func() {
			c := wire.Call{Method: "POST", Path: poison, ID: fmt.Sprintf("%016x", n+1), Key: apiKey, Deadline: 15000, Extra: wire.Prompt("133000,80", "5c1e07a2:40,91bd3f06:132960")}
			status, _, err := call(hosts[n%len(hosts)].front, c, "the same body")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				ends["no whole answer"]++
			} else {
				ends[fmt.Sprint(status)]++
			}
		})
		time.Sleep(poisonInterval)
	}
	callers.Wait()
	l.logf("how the requests ended: %v", ends)
	return log.judge(l), nil
}

// judge counts the arrivals of the rule.
func (p *poisonLog) judge(l *lab) verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.logf("%d arrivals at engines, %d crashes", len(p.arrivals), len(p.crashes))
	if len(p.crashes) < crashesUntilRule {
		return verdict{reason: "fewer than three engines crashed"}
	}
	from := p.crashes[crashesUntilRule-1].Add(stableTime)
	late := 0
	for _, a := range p.arrivals {
		if a.at.After(from) {
			late++
			l.logf("reaches %s, %.3f s after the third crash", a.engine, a.at.Sub(p.crashes[crashesUntilRule-1]).Seconds())
		}
	}
	v := verdict{broken: late > retriesOfRule, reason: fmt.Sprintf("%d requests reached engines later than %v after the third crash", late, stableTime)}
	return v
}
