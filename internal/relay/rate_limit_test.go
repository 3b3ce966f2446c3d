package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/relay"
)

// The users' bound on the requests that a target with a rate limit gets in a window.
const (
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitConstant = 5
	// limitGrace is the time after a limit is first named from which the bound holds.
	limitGrace = 3 * time.Second
	// toldGrace is the time from which a host that has passed on an answer with the
	// limit counts.
	toldGrace = 500 * time.Millisecond
)

// mostInWindow returns the largest number of requests within a window that count
// against a target's limit.
func (t *fleetTargets) mostInWindow(target string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counted []time.Time
	most := 0
	for _, a := range t.arrivals {
		told := !a.toldAt.IsZero() && a.at.Sub(a.toldAt) >= toldGrace
		if a.target != target || !a.calm || !told || a.at.Sub(t.namedAt[target]) < limitGrace {
			continue
		}
		counted = append(counted, a.at)
		for a.at.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		most = max(most, len(counted))
	}
	return most
}

// plainRequest is an idempotent request without a prompt.
func plainRequest(int) relay.Request { return relay.Request{URI: "/status/1"} }

func promptRequest(int) relay.Request {
	return relay.Request{URI: "/chat/1", PromptTokens: 2000, MaxOutputTokens: 100}
}

func TestTargetGetsNoMoreRequestsThanItsRateLimit(t *testing.T) {
	for _, hosts := range []int{7, 300} {
		for _, service := range []string{"orders", "llm"} {
			for _, perSecond := range []float64{0.5, 1, 8} {
				t.Run(fmt.Sprintf("hosts=%d/service=%s/limit=%v", hosts, service, perSecond), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkRateLimit(t, hosts, service, perSecond) })
				})
			}
		}
	}
}

// checkRateLimit names a limit at two of five targets while hosts join, leave, freeze
// and are cut off from each other.
func checkRateLimit(t *testing.T, hosts int, service string, perSecond float64) {
	g := NewWithT(t)
	targets := newFleetTargets(40 * time.Millisecond)
	f := newFleet(hosts, newFakeSource(), targets)
	limited := []string{service + "-0", service + "-1"}
	for _, target := range limited {
		targets.setLimit(target, perSecond)
	}
	start := time.Now()
	after := func(seconds float64, event func()) {
		time.AfterFunc(time.Duration(seconds*float64(time.Second)), event)
	}
	after(6, func() { f.join() })
	after(8, func() { f.leave(f.all()[2]) })
	after(10, func() { f.freeze(f.all()[3], 2*time.Second) })
	after(15, func() { f.cut(f.all()[:hosts/3], 5*time.Second) })
	next := plainRequest
	if service == "llm" {
		next = promptRequest
	}
	f.load(26*time.Second, 120, next)
	for _, target := range limited {
		allowed := int(limitFactor*perSecond*limitWindow.Seconds() + limitConstant)
		g.Expect(targets.mostInWindow(target)).To(BeNumerically("<=", allowed), target)
		used := targets.count(target, start.Add(3*time.Second), start.Add(15*time.Second))
		g.Expect(float64(used)).To(BeNumerically(">=", 0.5*perSecond*12), "a target with a limit still serves")
	}
}
