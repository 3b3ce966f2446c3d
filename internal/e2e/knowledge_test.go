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

// An invalid rules file is rejected as a whole by all hosts and recorded in the
// audit trail with the line and a remedy, and the previous rules stay in force.
// The next valid file is propagated to all hosts.
func TestInvalidRulesAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 1)
	eventuallyOnAllHosts := func(want string) {
		t.Helper()
		for _, h := range c.hosts {
			g.Eventually(func() string { return h.run(t, "audit", "--subject=rules/kushiro") }, eventTimeout).Should(gomega.ContainSubstring(want), "host %s", h.id)
		}
	}
	bad := strings.Replace(validRules("5s"), "# e2e: tests", "", 1)
	c.publish(t, "rules/kushiro", bad)
	eventuallyOnAllHosts("refused rules/kushiro")
	a, err := prompt(c.hosts[0], "still served", 5, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.complete).To(gomega.BeTrue())
	c.publish(t, "rules/kushiro", validRules("6s"))
	eventuallyOnAllHosts("time-limit short 6s")
}

// The platform returns stale values and only one host is left. It keeps serving, a
// restarted host gets the newest rules from it, and neither adopts the older
// values of the platform.
func TestLastHostServesAndUpdatesRestartedHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 3, 1)
	c.publish(t, "rules/kushiro", validRules("7s"))
	last := c.hosts[2]
	g.Eventually(func() string { return last.run(t, "audit", "--subject=rules/kushiro") }, eventTimeout).Should(gomega.ContainSubstring("short 7s"))
	c.setFaults(t, platform.Faults{MaxRevision: 5})
	for _, h := range c.hosts[:2] {
		h.Kill()
	}
	a, err := prompt(last, "alone", 5, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.complete).To(gomega.BeTrue())
	c.hosts[0].start(t)
	c.hosts[0].waitReady(t)
	g.Eventually(func() string { return c.hosts[0].run(t, "status") }, eventTimeout).Should(gomega.MatchRegexp(`rules/kushiro +6 `))
	g.Consistently(func() string { return last.run(t, "status") }, "2s", "500ms").Should(gomega.MatchRegexp(`rules/kushiro +6 `))
}

// A new host that can reach neither the platform nor a peer reports that it is not
// ready, the reason, and that it keeps trying.
func TestIsolatedHostIsNotReady(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &host{id: "lonely-1", domain: "sapporo", partner: partner, platform: freeAddr(t)}
	h.callers, h.peers, h.operators = freeAddr(t), freeAddr(t), freeAddr(t)
	h.start(t)
	g.Eventually(h.readiness, eventTimeout).Should(gomega.ContainSubstring("not_ready"))
	g.Eventually(h.readiness, eventTimeout).Should(gomega.ContainSubstring("nobody gave a valid value"))
	g.Expect(h.readiness()).To(gomega.ContainSubstring("keeps asking"))
}
