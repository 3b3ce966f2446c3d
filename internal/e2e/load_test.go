package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// balancer picks a random host among those that report ready, like the load
// balancer of the platform.
type balancer struct {
	mu      sync.Mutex
	hosts   []*host
	ready   []*host
	stopped chan struct{}
	prober  sync.WaitGroup
}

const probeInterval = 20 * time.Millisecond

func newBalancer(hosts []*host) *balancer {
	b := &balancer{hosts: hosts, ready: hosts, stopped: make(chan struct{})}
	b.prober.Go(func() {
		for {
			select {
			case <-b.stopped:
				return
			case <-time.After(probeInterval):
				b.probe()
			}
		}
	})
	return b
}

// probe updates the list of ready hosts.
func (b *balancer) probe() {
	var ready []*host
	for _, h := range b.hosts {
		if h.readiness() == "ready" {
			ready = append(ready, h)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns a ready host, or the first host if none is ready.
func (b *balancer) pick() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.hosts[0]
	}
	return b.ready[rand.IntN(len(b.ready))]
}

func (b *balancer) close() {
	close(b.stopped)
	b.prober.Wait()
}

// load sends requests from several concurrent callers until it is stopped, and
// collects their failures.
type load struct {
	mu       sync.Mutex
	failures []string
	finished int
	stopped  chan struct{}
	callers  sync.WaitGroup
}

// startLoad starts the given number of callers. Each calls sendRequest in a loop,
// which returns a description of the failure, or "" if the request succeeded.
func startLoad(callers int, sendRequest func(caller, round int) string) *load {
	l := &load{stopped: make(chan struct{})}
	for c := range callers {
		l.callers.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-l.stopped:
					return
				default:
				}
				l.recordResult(sendRequest(c, round))
			}
		})
	}
	return l
}

func (l *load) recordResult(failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished++
	if failure != "" {
		l.failures = append(l.failures, failure)
	}
}

func (l *load) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished
}

// stop stops the callers and returns the failures of their requests.
func (l *load) stop() []string {
	close(l.stopped)
	l.callers.Wait()
	return l.failures
}

// streamOnce streams one prompt and compares the answer with the expected text. A
// prompt that is rejected with a retry delay does not count as a failure.
func streamOnce(b *balancer, caller, round, tokens int) string {
	text := fmt.Sprintf("caller %d asks in round %d which oak glue to use", caller, round)
	h := b.pick()
	a, err := prompt(h, text, tokens, eventTimeout)
	switch {
	case err != nil:
		return fmt.Sprintf("%s via %s: %v after %d tokens", text, h.id, err, a.tokens)
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return "" // rejected with a retry delay
	case !a.complete || a.text != expectedText(text, tokens):
		return fmt.Sprintf("%s via %s: %+v", text, h.id, a)
	}
	return ""
}

func reservationBody(name string) string { return "seat for " + name }

// reserveOnce takes a ticket from one host and retries the call with it, through
// any host, until the outcome is known. The failure is "" if the reservation
// succeeded.
func reserveOnce(b *balancer, name string) (ticket, failure string) {
	body := reservationBody(name)
	for range 50 {
		r, err := callReservations(b.pick(), ticket, body)
		switch {
		case err != nil:
		case r.status == http.StatusCreated:
			return ticket, ""
		case r.err.Ticket != "":
			ticket = r.err.Ticket
			continue
		case r.err.Run == "unknown" && r.err.RetryAfterSeconds == 0:
			return ticket, fmt.Sprintf("%s: %+v", name, r.err)
		case r.err.Kind == "draining":
			ticket = ""
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ticket, name + ": no outcome after 50 attempts"
}

// setControl changes the behaviour of a stand-in, such as the faults it injects.
func setControl(t *testing.T, p process, body any) {
	t.Helper()
	g := gomega.NewWithT(t)
	resp, err := standinClient.Post("http://"+p.addr.String()+engineapi.PathStandinControl, "application/json", jsonBody(t, body))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.BeNumerically("<", 300))
}
