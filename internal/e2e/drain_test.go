package e2e_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"

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
	var tickets []string
	streams := startLoad(4, func(caller, round int) string { return streamOnce(b, caller, round, 60) })
	orders := startLoad(2, func(caller, round int) string {
		ticket, complaint := orderOnce(b, fmt.Sprintf("caller %d round %d", caller, round))
		mu.Lock()
		defer mu.Unlock()
		tickets = append(tickets, ticket)
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
	counted := allRuns(t, c.services[0])
	for _, ticket := range tickets {
		g.Expect(counted[ticket]).To(gomega.Equal(1), "ticket %s", ticket)
	}
	t.Logf("%d streams, %d orders", streams.count(), len(tickets))
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
