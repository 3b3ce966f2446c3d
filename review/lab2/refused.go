package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/plantainrun/plantainrun/platform/standin"
	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

const (
	// orders are placed one after the other, and retried once after a promise.
	orders     = 300
	orderPause = 20 * time.Millisecond
	// refusedTargets is the number of runners, of which one is in trouble.
	refusedTargets = 8
	// failEvery is the share of its requests that the runner in trouble fails: one in failEvery.
	failEvery = 3
)

// promises are the statuses that promise that a request has not run.
var promises = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// failAfterRun passes requests to a target, and answers one in failEvery with a status of its own
// after the target has run it. The answer has all that the target says but for the status.
func failAfterRun(target *standin.Target, failing func() bool) http.Handler {
	var served atomic.Int64
	statuses := []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := served.Add(1)
		if r.Method != http.MethodPost || !failing() || n%failEvery != 0 {
			target.ServeHTTP(w, r)
			return
		}
		ran := httptest.NewRecorder()
		target.ServeHTTP(ran, r)
		for name, values := range ran.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(statuses[int(n/failEvery)%len(statuses)])
		fmt.Fprint(w, "failed after the run")
	})
}

// playRefused places orders while one of the runners fails some of them after it has run them,
// with the statuses that promise the contrary.
func playRefused(l *lab, trouble bool) (verdict, error) {
	d := l.deployment(refusedTargets)
	sick := d.Orders[0]
	server := httptest.NewServer(failAfterRun(sick, func() bool { return trouble }))
	l.atEnd(server.Close)
	d.SetAddr(sick, server.Listener.Addr().String())
	d.Register(sick, "orders", "ready")
	d.PutRawConfig(wire.Config(10, schoolOnly, false))
	hosts, err := l.startHosts(d.StoreAddr, "north", "south", "centre")
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(stableTime + time.Second)
	refused, doubled := 0, 0
	ends := make(map[int]int)
	for n := range orders {
		order := fmt.Sprintf("order-%d", n)
		for try := range 2 {
			id := fmt.Sprintf("%012x%04x", n, try)
			status, body, err := call(hosts[(n+try)%len(hosts)].front, wire.Call{Method: "POST", Path: "/order/1", ID: id, Key: apiKey, Deadline: 4000}, order)
			if err != nil {
				l.logf("%s: %s", id, outcome(status, body, err))
			}
			ends[status]++
			runs := d.RunLog.ForRequest(id)
			if promises[status] && len(runs) > 0 {
				refused++
				l.logf("%s, try %d: told that it has not run by %s, it ran at %s", order, try+1, outcome(status, body, err), runs[0].Target)
			}
			if !promises[status] {
				break
			}
		}
		ran := 0
		for _, r := range d.RunLog.Runs() {
			if r.Body == order {
				ran++
			}
		}
		if ran > 1 {
			doubled++
		}
		time.Sleep(orderPause)
	}
	l.logf("answers by status: %v; %d orders ran twice", ends, doubled)
	if refused > 0 {
		return verdict{broken: true, reason: fmt.Sprintf("%d requests were answered as not run and had run, %d orders ran twice for that", refused, doubled)}, nil
	}
	return verdict{reason: "no request that had run was answered as not run"}, nil
}
