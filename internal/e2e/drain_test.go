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

// Every host is stopped with SIGTERM and replaced, one after the other, under
// streams and orders. No stream may be cut off, no order may end as unknown or
// run twice, and every stopped host exits with 0.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 2, "--decode-interval=10ms")
	b := newBalancer(c.hosts)
	defer b.close()

	var mu sync.Mutex
	var tickets, bodies []string
	streams := startLoad(4, func(caller, round int) string { return streamOnce(b, caller, round, 60) })
	orders := startLoad(2, func(caller, round int) string {
		name := fmt.Sprintf("caller %d round %d", caller, round)
		ticket, complaint := orderOnce(b, name)
		mu.Lock()
		defer mu.Unlock()
		tickets, bodies = append(tickets, ticket), append(bodies, seatOf(name))
		return complaint
	})
	for _, h := range c.hosts {
		before := streams.count()
		g.Eventually(streams.count, stateWait).Should(gomega.BeNumerically(">", before+4))
		old := h.Session
		old.Signal(syscall.SIGTERM)
		old.Signal(syscall.SIGTERM) // a second signal changes nothing
		g.Eventually(old, stateWait).Should(gexec.Exit(0), "host %s", h.id)
		h.start(t)
		h.waitReady(t)
	}
	g.Expect(streams.end()).To(gomega.BeEmpty())
	g.Expect(orders.end()).To(gomega.BeEmpty())
	g.Expect(len(tickets)).To(gomega.BeNumerically(">", 10))
	// The owners of most tickets have left. Every outcome is still known.
	for i := 0; i < len(tickets); i += max(1, len(tickets)/300) {
		g.Expect(repeat(b, tickets[i], bodies[i])).To(gomega.Equal(http.StatusCreated), "ticket %s", tickets[i])
	}
	counted := allRuns(t, c.services[0])
	for _, ticket := range tickets {
		g.Expect(counted[ticket]).To(gomega.Equal(1), "ticket %s", ticket)
	}
	t.Logf("%d streams, %d orders", streams.count(), len(tickets))
}

// repeat uses a ticket again and returns the status, or 0 without an answer.
func repeat(b *balancer, ticket, body string) int {
	for range 20 {
		r, err := callService(b.pick(), ticket, body)
		if err == nil && r.err.Kind != "peer_unreachable" {
			return r.status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0
}

// Two operators drain the same host: each is told the truth, the host exits
// once, and the audit trail names who came first.
func TestTwoOperatorsDrainOneHost(t *testing.T) {
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
	g.Eventually(h.Session, stateWait).Should(gexec.Exit(0))
}
