package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/platform/standin"
	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

const (
	// cutTime is how long a host is partitioned from the targets.
	cutTime = 12 * time.Second
	// forwardCallers callers try at each host, with pauses of forwardPause.
	forwardCallers = 7
	forwardPause   = 100 * time.Millisecond
	// The bounds of the rule: first tries are served servedRatio as often as elsewhere, and
	// fewer than failedTries + one in failedShare of all fail.
	servedRatio = 2. / 3
	failedTries = 10
	failedShare = 50
)

// plainPath and encodedPath are paths of the same route. The second one has the letter o with a
// stroke, percent-encoded in Latin-1.
const (
	plainPath   = "/status/Koge"
	encodedPath = "/status/K%F8ge"
)

// tries counts first tries at one host.
type tries struct{ sent, served int }

func (t tries) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// playForward partitions one of three hosts from all targets, and sends requests whose path is
// percent-encoded in Latin-1 to all of them.
func playForward(l *lab, trouble bool) (verdict, error) {
	d := l.deployment(plainTargets)
	for i, zone := range []string{"north", "south", "centre"} {
		d.Orders[i].Zone = zone
		d.Register(d.Orders[i], "orders", "ready")
	}
	view, err := d.NewProxiedView()
	if err != nil {
		return verdict{}, err
	}
	d.PublishConfig(apiKey)
	hosts, err := l.startHostsAt([]string{view.StoreAddr, d.StoreAddr, d.StoreAddr}, []string{"north", "south", "centre"})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(stableTime + time.Second)
	l.logf("without a partition, paths %s and %s:", plainPath, encodedPath)
	l.tryAll(hosts, plainPath, time.Second)
	l.tryAll(hosts, encodedPath, time.Second)
	if trouble {
		view.SetMode(standin.ProxyCuts)
		l.logf("%s is partitioned from all targets", hosts[0].name)
	}
	time.Sleep(stableTime)
	l.logf("path %s:", plainPath)
	l.tryAll(hosts, plainPath, cutTime/4)
	l.logf("path %s:", encodedPath)
	counts := l.tryAll(hosts, encodedPath, cutTime/2)
	view.SetMode(standin.ProxyForwards)
	return judgeForward(counts), nil
}

// judgeForward applies the rule to the first host, which is partitioned.
func judgeForward(counts []tries) verdict {
	cut, all := counts[0], 0
	var others tries
	for i, c := range counts {
		all += c.sent
		if i > 0 {
			others.sent += c.sent
			others.served += c.served
		}
	}
	failed := cut.sent - cut.served
	reason := fmt.Sprintf("at the first host %d of %d first tries are served, at the others %d of %d", cut.served, cut.sent, others.served, others.sent)
	return verdict{broken: cut.share() < servedRatio*others.share() && failed > failedTries+all/failedShare, reason: reason}
}

// tryAll sends requests with a path to all hosts for a time.
func (l *lab) tryAll(hosts []*host, path string, atMost time.Duration) []tries {
	counts := make([]tries, len(hosts))
	ends := make(map[string]int)
	var mu sync.Mutex
	var callers sync.WaitGroup
	begin := time.Now()
	for i, h := range hosts {
		for caller := range forwardCallers {
			callers.Go(func() {
				for n := 0; time.Since(begin) < atMost; n++ {
					id := fmt.Sprintf("%d%d%010x%04x", i, caller, time.Since(l.began).Microseconds(), n)
					status, _, err := call(h.front, wire.Call{Method: "GET", Path: path, ID: id, Key: apiKey, Deadline: 2500}, "")
					mu.Lock()
					counts[i].sent++
					if err == nil && status == 200 {
						counts[i].served++
					}
					ends[fmt.Sprintf("%s: %d", h.name, status)]++
					mu.Unlock()
					time.Sleep(forwardPause)
				}
			})
		}
	}
	callers.Wait()
	l.logf("  answers by host and status (0: none): %v", ends)
	return counts
}
