package e2e_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/standin/platform"
)

func (c *cluster) setFaults(t *testing.T, f platform.Faults) {
	t.Helper()
	g := gomega.NewWithT(t)
	req, err := http.NewRequest(http.MethodPut, "http://"+c.platform.addr.String()+"/control/faults", jsonBody(t, f))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.BeNumerically("<", 300))
}

// A rule spreads to all hosts; a bad file changes nothing and is in the audit
// trail with line and remedy; the next good one is taken.
func TestRulesAreTakenWholeOrNotAtAll(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 1)
	everywhere := func(want string) {
		t.Helper()
		for _, h := range c.hosts {
			g.Eventually(func() string { return h.run(t, "audit", "--subject=rules/kushiro") }, stateWait).Should(gomega.ContainSubstring(want), "host %s", h.id)
		}
	}
	bad := strings.Replace(goodRules("5s"), "# e2e: tests", "", 1)
	c.publish(t, "rules/kushiro", bad)
	everywhere("refused rules/kushiro")
	a, err := prompt(c.hosts[0], "still served", 5, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.whole).To(gomega.BeTrue())
	c.publish(t, "rules/kushiro", goodRules("6s"))
	everywhere("time-limit short 6s")
}

// With the platform down or stale and all hosts but one gone, the last one
// serves; a host that comes back takes the newest rules from it, and an older
// answer of the service is not adopted.
func TestLastHostKeepsServingAndTeaches(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 1)
	c.publish(t, "rules/kushiro", goodRules("7s"))
	last := c.hosts[2]
	g.Eventually(func() string { return last.run(t, "audit", "--subject=rules/kushiro") }, stateWait).Should(gomega.ContainSubstring("short 7s"))
	c.setFaults(t, platform.Faults{MaxRevision: 5})
	for _, h := range c.hosts[:2] {
		h.Kill()
	}
	a, err := prompt(last, "alone", 5, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.whole).To(gomega.BeTrue())
	c.hosts[0].start(t)
	c.hosts[0].waitReady(t)
	g.Eventually(func() string { return c.hosts[0].run(t, "status") }, stateWait).Should(gomega.MatchRegexp(`rules/kushiro +6 `))
	g.Consistently(func() string { return last.run(t, "status") }, "2s", "500ms").Should(gomega.MatchRegexp(`rules/kushiro +6 `))
}

// A fresh host that can reach nobody says that it is not ready, why, and what
// it does next.
func TestLonelyHostIsNotReady(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &host{id: "lonely-1", domain: "sapporo", partner: partner, platform: freeAddr(t)}
	h.callers, h.peers, h.operators = freeAddr(t), freeAddr(t), freeAddr(t)
	h.start(t)
	g.Eventually(h.readiness, stateWait).Should(gomega.ContainSubstring("not_ready"))
	g.Eventually(h.readiness, stateWait).Should(gomega.ContainSubstring("nobody gave a valid value"))
	g.Expect(h.readiness()).To(gomega.ContainSubstring("keeps asking"))
}
