package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cutFor is how long a machine is partitioned from all targets; the users' days have up to 12 s.
	cutFor = 12 * time.Second
	// stableTime is stable_ms.
	stableTime = 3 * time.Second
	// pathInterval is the time between two requests at each host.
	pathInterval = 50 * time.Millisecond
)

// tally counts first tries at one host.
type tally struct{ sent, served, ranAndLost int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// receiptName is the name of a file in the answers of the targets, in Latin-1.
const receiptName = "attachment; filename=\"kvittering S\xf8ren.pdf\""

// playPaths cuts one of three hosts off from all targets. Callers look up paths with a
// percent-encoded byte that is no UTF-8, and send orders with plain paths, whose answers name
// a file in Latin-1.
func playPaths(l *lab) (bool, error) {
	f, err := newFleet(3, 20*time.Millisecond, true, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, t := range f.targets {
		t.header.Set("Content-Disposition", receiptName)
	}
	hosts, err := l.startHosts(f.views[0].addr, f.views[1].addr, f.views[1].addr)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // hosts get to know each other
	if l.trouble {
		l.note("%s is partitioned from all targets", hosts[0].name)
		f.views[0].cut(true)
	}
	time.Sleep(stableTime)
	tallies := make([]tally, len(hosts))
	var group sync.WaitGroup
	var mu sync.Mutex
	callers := newCaller()
	end := time.Now().Add(cutFor - stableTime - callerDeadline/2)
	for n := 0; time.Now().Before(end); n++ {
		for i, h := range hosts {
			group.Go(func() {
				id := fmt.Sprintf("p%d-%d", i, n)
				method, path := http.MethodPost, "/order/"+id
				if n%2 == 0 {
					method, path = http.MethodGet, "/status/S%F8ren/"+id
				}
				a := callers.send(h, method, path, id)
				runs := f.ran(id)
				mu.Lock()
				defer mu.Unlock()
				tallies[i].sent++
				if a.success() {
					tallies[i].served++
				} else if runs > 0 {
					tallies[i].ranAndLost++
				}
				l.note("%s at %s: %s %s: status %d, runs %d, error %v", id, h.name, method, path, a.status, runs, a.err)
			})
		}
		time.Sleep(pathInterval)
	}
	group.Wait()
	f.views[0].cut(false)
	return judgeCut(l, hosts, tallies), nil
}

// judgeCut judges the rule RECOVER: at the machine that is cut off, first tries are served less
// than two thirds as often as at the others, and more than 10 + 1 in 50 of all first tries fail there.
func judgeCut(l *lab, hosts []*host, tallies []tally) bool {
	var others tally
	all := 0
	for i, t := range tallies {
		l.note("%s: %d first tries, %d served, %d ran and have no answer", hosts[i].name, t.sent, t.served, t.ranAndLost)
		all += t.sent
		if i > 0 {
			others.sent += t.sent
			others.served += t.served
		}
	}
	cut := tallies[0]
	failed := cut.sent - cut.served
	limit := 10 + float64(all)/50
	l.note("served at the machine that is cut off %.2f, at the others %.2f; %d first tries failed there, allowed are %.1f", cut.share(), others.share(), failed, limit)
	return cut.share() >= others.share()*2/3 || float64(failed) <= limit
}
