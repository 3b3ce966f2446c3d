package main

import (
	"fmt"
	"time"
)

func init() { cases["rest"] = playRest }

const (
	restTime  = 15 * time.Second       // that the server asks for
	restGrace = 500 * time.Millisecond // from which it counts
	// restAllowed is how many requests may reach the server meanwhile.
	restAllowed = 2
	storeCut    = 5 * time.Second // srv_cut
)

// playRest: a server turns a request away and asks for rest; then it does not reach the store for
// a while, so that its entry is removed and written again.
func playRest(l *lab) ([]string, error) {
	if err := l.addServers(3, 0); err != nil {
		return nil, err
	}
	if err := l.startHosts(3); err != nil {
		return nil, err
	}
	h, resting := l.hosts[0], l.plain[0]
	resting.retryAfter = fmt.Sprint(restTime.Seconds())
	t := startTraffic(l, h, get)
	time.Sleep(2 * time.Second)
	resting.turnAway.Store(1)
	for resting.turnAway.Load() > 0 {
		time.Sleep(pollInterval)
	}
	resting.turnAway.Store(0)
	askedAt := time.Now()
	if l.trouble {
		l.rec.add("server %s does not reach the store from now on", resting.id)
		time.Sleep(lapse)
		l.store.remove(names["servers"]+resting.id, false)
		l.rec.add("the store removes the entry of server %s", resting.id)
		time.Sleep(storeCut - lapse)
		l.store.put(names["servers"]+resting.id, resting.entry(resting.addr, "ready"))
		l.rec.add("server %s reaches the store again and writes its entry", resting.id)
	}
	time.Sleep(time.Until(askedAt.Add(restTime)))
	t.end()
	var reached []string
	for _, r := range l.fleet.allRuns() {
		if after := r.at.Sub(askedAt); r.server == resting.id && after > restGrace && after < restTime {
			reached = append(reached, fmt.Sprintf("request %s reached server %s %.3f s after it had asked for %s of rest", r.id, r.server, after.Seconds(), restTime))
		}
	}
	if len(reached) <= restAllowed {
		return nil, nil
	}
	return reached, nil
}
