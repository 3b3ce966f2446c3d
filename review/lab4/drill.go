package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["drill"] = playDrill }

const (
	copyAge  = 3500 * time.Millisecond // of the copy, as the store leaves
	awayTime = time.Second
	// settleTime is until the machines that do not read the store themselves follow it through others.
	settleTime = 8 * time.Second
	writeWait  = 2 * time.Second // until the operator writes again
	// drillRounds is how many drills are played: which machines ask which one is left to chance.
	drillRounds    = 3
	versionsARound = 10
)

// drillZones are the zones of six machines, of which five are in one.
var drillZones = []string{"north", "north", "north", "north", "north", "south"}

// playDrill: the store comes back from a copy that lacks the last version of the configuration. The
// operator writes its newest one, which takes a key away.
func playDrill(l *lab) ([]string, error) {
	if err := l.addServers(3, 0); err != nil {
		return nil, err
	}
	addr, err := serveStore(l.store)
	if err != nil {
		return nil, err
	}
	stores := make([]string, len(drillZones))
	for i := range stores {
		stores[i] = addr
	}
	if l.hosts, err = startHostsIn(l.dir, stores, drillZones); err != nil {
		return nil, err
	}
	var broken []string
	for round := range drillRounds {
		broken = append(broken, l.drill(versionsARound*(round+1))...)
	}
	return broken, nil
}

// drill plays one drill, with versions from the given one on, and lists the requests that ran
// though their key had been taken away.
func (l *lab) drill(version int) []string {
	l.store.put(names["config"], config(version))
	time.Sleep(settleTime)
	old := l.store.copyNow()
	revision := l.store.put(names["config"], config(version+1))
	l.rec.add("the store has accepted version %d at revision %d", version+1, revision)
	time.Sleep(copyAge)
	if l.trouble {
		l.store.leave()
		l.rec.add("the store is away")
		time.Sleep(awayTime)
		l.store.comeBack(old)
		l.rec.add("the store is back from a copy that is %s old, at revision %d", copyAge+awayTime, old.revision)
	}
	time.Sleep(writeWait)
	newest := config(version + 2)
	newest["tenants"] = newest["tenants"].([]any)[1:]
	revision = l.store.put(names["config"], newest)
	l.rec.add("the store has accepted version %d at revision %d, without the key %.4s", version+2, revision, apiKey)
	time.Sleep(revokeBound + revokeMargin)
	client := &http.Client{Transport: &http.Transport{}}
	var broken []string
	for _, h := range l.hosts {
		c := call{method: http.MethodPost, path: "/puxa403/2f", id: newID()}
		c.send(client, h, l.rec)
		for _, r := range l.fleet.allRuns() {
			if r.id == c.id {
				broken = append(broken, fmt.Sprintf("request %s ran through %s, sent %s after the ack of the version that took its key away", c.id, h.name, revokeBound+revokeMargin))
			}
		}
	}
	return broken
}
