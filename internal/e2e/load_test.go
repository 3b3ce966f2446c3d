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

// balancer picks hosts that say that they are ready, as the platform's does.
type balancer struct {
	mu    sync.Mutex
	hosts []*host
	ready []*host
	stop  chan struct{}
	done  sync.WaitGroup
}

const probeInterval = 20 * time.Millisecond

func newBalancer(hosts []*host) *balancer {
	b := &balancer{hosts: hosts, ready: hosts, stop: make(chan struct{})}
	b.done.Go(func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(probeInterval):
				b.probe()
			}
		}
	})
	return b
}

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

func (b *balancer) pick() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.hosts[0]
	}
	return b.ready[rand.IntN(len(b.ready))]
}

func (b *balancer) close() {
	close(b.stop)
	b.done.Wait()
}

// load sends requests from several callers until it is stopped, and keeps
// what they saw.
type load struct {
	mu       sync.Mutex
	failures []string
	finished int
	stopped  chan struct{}
	callers  sync.WaitGroup
}

// startLoad runs one function over and over in so many callers. It returns
// what the caller would complain about, or "".
func startLoad(callers int, once func(caller, round int) string) *load {
	l := &load{stopped: make(chan struct{})}
	for c := range callers {
		l.callers.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-l.stopped:
					return
				default:
				}
				l.note(once(c, round))
			}
		})
	}
	return l
}

func (l *load) note(complaint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished++
	if complaint != "" {
		l.failures = append(l.failures, complaint)
	}
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished
}

// end stops the callers and returns what they complained about.
func (l *load) end() []string {
	close(l.stopped)
	l.callers.Wait()
	return l.failures
}

// streamOnce streams one prompt and compares the answer with the engine's text.
func streamOnce(b *balancer, caller, round, tokens int) string {
	text := fmt.Sprintf("caller %d asks in round %d which oak glue to use", caller, round)
	h := b.pick()
	a, err := prompt(h, text, tokens, stateWait)
	switch {
	case err != nil:
		return fmt.Sprintf("%s via %s: %v after %d tokens", text, h.id, err, a.tokens)
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return "" // refused with when to come back
	case !a.whole || a.text != wholeText(text, tokens):
		return fmt.Sprintf("%s via %s: %+v", text, h.id, a)
	}
	return ""
}

func seatOf(name string) string { return "seat for " + name }

// orderOnce takes a ticket at one host and uses it, through any host, until the
// outcome is known. It returns "" when the seat was reserved.
func orderOnce(b *balancer, name string) (ticket, complaint string) {
	body := seatOf(name)
	for range 50 {
		r, err := callService(b.pick(), ticket, body)
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
	return ticket, name + ": no outcome after 50 tries"
}

// control steers a stand-in.
func control(t *testing.T, p process, body any) {
	t.Helper()
	g := gomega.NewWithT(t)
	resp, err := standins.Post("http://"+p.addr.String()+engineapi.PathStandinControl, "application/json", jsonBody(t, body))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.BeNumerically("<", 300))
}
