package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/relay"
)

// One of three failure domains of targets is dark while the others answer. Hosts with a
// request or two a second meet two dark targets before another one answers; none of them may
// believe that it is cut off itself.
func TestDarkDomainOfTargetsIsNoCutOfTheHosts(t *testing.T) {
	for _, hosts := range []int{7, 76} {
		for _, service := range []string{"orders", "llm"} {
			t.Run(fmt.Sprintf("hosts=%d/%s", hosts, service), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkDarkDomain(t, hosts, service) })
			})
		}
	}
}

func checkDarkDomain(t *testing.T, hosts int, service string) {
	g := NewWithT(t)
	source := newFakeSource()
	const targetsPerService = 12
	source.grow(targetsPerService)
	var dark []string
	for i := range source.targets {
		target := &source.targets[i]
		target.Domain = []string{"north", "east", "south"}[i/2%3]
		if target.Domain == "north" {
			dark = append(dark, target.ID)
		}
	}
	targets := newFleetTargets(40 * time.Millisecond)
	f := newFleet(hosts, source, targets)
	time.AfterFunc(2*time.Second, func() {
		for _, id := range dark {
			targets.setDark(id, true)
		}
	})
	next := plainRequest
	if service == "llm" {
		next = promptRequest
	}
	believed := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for _, h := range f.all() {
				believed += h.placer.UnreachableServices()
			}
		}
	}()
	refused := 0
	for _, r := range f.load(10*time.Second, 1.5*float64(hosts), next) {
		if r.refusal != nil && r.refusal.Reason == relay.ReasonUnreachable {
			refused++
		}
	}
	<-done
	g.Expect(believed).To(BeZero(), "samples of hosts that believe that they reach no target")
	g.Expect(refused).To(BeZero())
}
