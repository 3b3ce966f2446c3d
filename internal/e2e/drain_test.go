package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// Hosts are restarted one after the other with SIGTERM while streams and
// reservations are running. No stream may be interrupted, no reservation may have
// an unknown outcome or run twice, and each stopped host exits with status 0.
func TestRollingRestartKeepsStreamsAndReservations(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 2, "--decode-interval=10ms")
	b := newBalancer(c.hosts)
	defer b.close()

	var mu sync.Mutex
	var tickets, bodies []string
	streams := startLoad(4, func(caller, round int) string { return streamOnce(b, caller, round, 60) })
	reservations := startLoad(2, func(caller, round int) string {
		name := fmt.Sprintf("caller %d round %d", caller, round)
		ticket, failure := reserveOnce(b, name)
		mu.Lock()
		defer mu.Unlock()
		tickets, bodies = append(tickets, ticket), append(bodies, reservationBody(name))
		return failure
	})
	for _, h := range c.hosts {
		before := streams.completed()
		g.Eventually(streams.completed, eventTimeout).Should(gomega.BeNumerically(">", before+4))
		old := h.Session
		old.Signal(syscall.SIGTERM)
		old.Signal(syscall.SIGTERM) // a repeated signal must have no effect
		g.Eventually(old, eventTimeout).Should(gexec.Exit(0), "host %s", h.id)
		h.start(t)
		h.waitReady(t)
	}
	g.Expect(streams.stop()).To(gomega.BeEmpty())
	g.Expect(reservations.stop()).To(gomega.BeEmpty())
	g.Expect(len(tickets)).To(gomega.BeNumerically(">", 10))
	// The hosts that issued most tickets have exited, but handed over every outcome.
	for i := 0; i < len(tickets); i += max(1, len(tickets)/300) {
		g.Expect(reuseTicket(b, tickets[i], bodies[i])).To(gomega.Equal(http.StatusCreated), "ticket %s", tickets[i])
	}
	counts := runCounts(t, c.services[0])
	for _, ticket := range tickets {
		g.Expect(counts[ticket]).To(gomega.Equal(1), "ticket %s", ticket)
	}
	t.Logf("%d streams, %d reservations", streams.completed(), len(tickets))
}

// reuseTicket repeats a call with a used ticket and returns the status. It retries
// while the ticket's owner is unreachable, and returns 0 if no attempt succeeds.
func reuseTicket(b *balancer, ticket, body string) int {
	for range 20 {
		r, err := callReservations(b.pick(), ticket, body)
		if err == nil && r.err.Kind != "peer_unreachable" {
			return r.status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0
}

// Two operators drain the same host concurrently. Exactly one command starts the
// drain, the other reports that it was already started, and the host exits with
// status 0. The audit trail names the operator whose command came first.
func TestConcurrentDrainsOfOneHost(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 1)
	h := c.hosts[0]
	outputs := make([]string, 2)
	var wg sync.WaitGroup
	for i := range outputs {
		wg.Go(func() { outputs[i] = h.run(t, "drain", "--json", fmt.Sprintf("--who=operator-%d", i)) })
	}
	wg.Wait()
	g.Expect(outputs).To(gomega.ContainElement(gomega.ContainSubstring(`"started":true`)))
	g.Expect(outputs).To(gomega.ContainElement(gomega.ContainSubstring(`"started":false`)))
	g.Eventually(h.Session, eventTimeout).Should(gexec.Exit(0))
}
