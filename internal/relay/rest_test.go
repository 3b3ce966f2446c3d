package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// The users' bound on the requests that a target gets from a host that it has asked for
// rest.
const (
	// restGrace is the time after the refusal from which the bound holds.
	restGrace = 500 * time.Millisecond
	// maxRequestsInRest is the number of requests that a host may send within the rest.
	maxRequestsInRest = 2
	// refusalBound is the objective of a prompt, for which it may wait, and the time of six
	// attempts, all that one request may make.
	refusalBound = 300*time.Millisecond + 6*targetDelay
	targetDelay  = 40 * time.Millisecond
)

// mostInRest returns the largest number of requests that a calm host sent to a target
// within a rest that it had asked that host for.
func (t *fleetTargets) mostInRest() int {
	type pair struct{ host, target string }
	most := 0
	byPair := make(map[pair][]arrival)
	for _, a := range t.arrivals {
		key := pair{a.host, a.target}
		byPair[key] = append(byPair[key], a)
	}
	for _, arrivals := range byPair {
		for i, refused := range arrivals {
			if refused.rest == 0 {
				continue
			}
			count := 0
			for _, a := range arrivals[i+1:] {
				since := a.at.Sub(refused.at)
				if a.calm && since >= restGrace && since < refused.rest {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

func TestTargetThatAsksForRestGetsNoRequests(t *testing.T) {
	for _, hosts := range []int{7, 300} {
		for _, service := range []string{"orders", "llm"} {
			for _, others := range []string{"serve", "fail", "rest"} {
				t.Run(fmt.Sprintf("hosts=%d/service=%s/others=%s", hosts, service, others), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkRest(t, hosts, service, others) })
				})
			}
		}
	}
}

// checkRest lets a target ask for rest while hosts join, leave, freeze and are cut off from
// each other, and the other targets serve, fail or ask for rest too.
func checkRest(t *testing.T, hosts int, service, others string) {
	const rest = 3 * time.Second
	g := NewWithT(t)
	targets := newFleetTargets(targetDelay)
	f := newFleet(hosts, newFakeSource(), targets)
	after := func(seconds float64, event func()) {
		time.AfterFunc(time.Duration(seconds*float64(time.Second)), event)
	}
	after(4, func() { targets.setRest(service+"-0", rest) })
	after(4, func() { targets.setOthers(service, others, rest) })
	after(5, func() { f.join() })
	after(7, func() { f.leave(f.all()[2]) })
	after(9, func() { f.freeze(f.all()[3], 2*time.Second) })
	after(12, func() { f.cut(f.all()[:hosts/3], 4*time.Second) })
	after(18, func() { targets.setRest(service+"-0", 0); targets.setOthers(service, "serve", 0) })
	next := plainRequest
	if service == "llm" {
		next = promptRequest
	}
	start := time.Now()
	tries := f.firstTries(24*time.Second, 40*float64(min(hosts, 8)), next)
	g.Expect(targets.mostInRest()).To(BeNumerically("<=", maxRequestsInRest))

	served := servedShare(tries, func(f *firstTry) bool { return f.at.Sub(start) < 4*time.Second })
	whileResting := func(f *firstTry) bool { at := f.at.Sub(start); return at >= 5*time.Second && at < 18*time.Second }
	if others == "serve" {
		g.Expect(servedShare(tries, whileResting)).To(BeNumerically(">=", served-soundTolerance), "the other targets serve")
	}
	afterRest := func(f *firstTry) bool { return f.at.Sub(start) >= 18*time.Second+rest+noticeTime/2 }
	g.Expect(servedShare(tries, afterRest)).To(BeNumerically(">=", served-soundTolerance), "served after the rest")
	for _, try := range tries {
		if r := try.response.refusal; r != nil && whileResting(try) {
			g.Expect(r.RetryAfter).To(BeNumerically(">", 0))
			g.Expect(try.took-try.frozen).To(BeNumerically("<=", refusalBound), "refused at once: %s", r.Reason)
		}
	}
}

// setOthers sets what all targets of a service but the first one do.
func (t *fleetTargets) setOthers(service, what string, rest time.Duration) {
	for i := range 4 {
		target := fmt.Sprint(service, "-", i+1)
		if what == "rest" {
			t.setRest(target, rest)
		} else {
			t.setRest(target, 0)
		}
		t.mu.Lock()
		t.failing[target] = what == "fail"
		t.mu.Unlock()
	}
}
