package knowledge_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	"github.com/plantainrun/plantainrun/internal/rules"
	standin "github.com/plantainrun/plantainrun/internal/standin/platform"
)

// startAll publishes the host and target lists and one rules file for each partner, starts all
// hosts and waits until they have converged.
func startAll(t *testing.T, c *cluster) {
	c.publish(t, confservice.KeyHosts, c.hostList())
	c.publish(t, confservice.KeyTargets, sampleTargets)
	for _, p := range testPartners {
		c.publish(t, confservice.RulesKey(p), rulesFile(p, 1))
	}
	for _, h := range c.hosts {
		c.start(h, knowledge.Config{})
	}
	time.Sleep(2 * knowledge.DefaultStartupTimeout)
}

func TestInvalidRulesAreRefusedAndAuditedOnEveryHost(t *testing.T) {
	valid := string(rulesFile("kushiro", 2))
	invalidFiles := []struct {
		name string
		body []byte
		line int
	}{
		{"bad line", []byte("partner kushiro\nallow all # a: b\nend 1\n"), 2},
		{"no comment", []byte("partner kushiro\nobjective slowdown\nend 1\n"), 2},
		{"other partner's organisation", []byte("partner kushiro\norganisation aarhus/joiners key=sha256:" + strings.Repeat("ab", 32) + " # a: b\nend 1\n"), 2},
		{"too large", append([]byte(valid), bytes.Repeat([]byte("#\n"), rules.MaxFileBytes/2)...), 0},
		{"wrong encoding", []byte(strings.Replace(valid, "Ueda", "\xdceda", 1)), 2},
		{"empty", nil, 0},
		{"half written", []byte(valid[:len(valid)-10]), 2},
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 4, 1)
		defer c.close()
		startAll(t, c)
		c.service.SetFaults(standin.Faults{NoSizeLimit: true})
		key := confservice.RulesKey("kushiro")
		for i, b := range invalidFiles {
			refused := c.publish(t, key, b.body)
			time.Sleep(propagationDeadline)
			for _, h := range c.hosts {
				g := gomega.NewWithT(t)
				where := b.name + " on " + h.id
				snapshot := h.replica.Snapshot()
				g.Expect(snapshot.Rules.TimeLimitFor("kushiro", "short")).To(gomega.Equal(time.Duration(i+1)*time.Second), where)
				entries := h.replica.Audit().Find(audit.Query{Subject: key, Verdict: audit.VerdictRefused, Limit: 1})
				g.Expect(entries).To(gomega.HaveLen(1), where)
				g.Expect(entries[0].ToRevision).To(gomega.Equal(refused), where)
				g.Expect(entries[0].Reasons).NotTo(gomega.BeEmpty(), where)
				g.Expect(entries[0].Reasons[0].Line).To(gomega.Equal(b.line), where)
				g.Expect(entries[0].Reasons[0].Remedy).NotTo(gomega.BeEmpty(), where)
			}
			next := c.publish(t, key, rulesFile("kushiro", i+2))
			time.Sleep(propagationDeadline)
			for _, h := range c.hosts {
				g := gomega.NewWithT(t)
				g.Expect(revisionsOf(h.replica.Snapshot())[key]).To(gomega.Equal(next), b.name+" on "+h.id)
				entries := h.replica.Audit().Find(audit.Query{Subject: key, Verdict: audit.VerdictInForce, Limit: 1})
				g.Expect(entries[0].ToRevision).To(gomega.Equal(next))
				g.Expect(entries[0].RequestedBy).To(gomega.Equal([]string{"Ueda (admissions)"}))
			}
		}
	})
}

// The service only holds the newest file. If that file is invalid, a new host must get the
// last valid one from its peers.
func TestNewHostGetsLastValidRulesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 4, 1)
		defer c.close()
		startAll(t, c)
		c.publish(t, confservice.RulesKey("kushiro"), []byte("partner kushiro\n"))
		time.Sleep(propagationDeadline)
		newHost := c.hosts[2]
		c.crash(newHost)
		c.start(newHost, knowledge.Config{})
		time.Sleep(propagationDeadline)
		g.Expect(newHost.replica.Ready()).To(gomega.Equal(knowledge.Readiness{Ready: true}))
		g.Expect(newHost.replica.Snapshot().Rules.TimeLimitFor("kushiro", "short")).To(gomega.Equal(time.Second))
		g.Expect(newHost.replica.Audit().Find(audit.Query{Verdict: audit.VerdictRefused})).To(gomega.HaveLen(1))
	})
}

// A failure domain that is partitioned from the service and from the other domains, and in
// which only one host is left running, keeps serving with the values it has and reports their
// age. A new host gets the values from the remaining host.
func TestPartitionedDomainKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(3, 4, 1)
		defer c.close()
		startAll(t, c)
		c.update(func() { c.noServiceDomains["domain-1"], c.partitionedDomains["domain-1"] = true, true })
		survivor, newHost := c.hosts[4], c.hosts[5]
		for _, h := range c.hosts[5:8] {
			c.crash(h)
		}
		newest := c.publish(t, confservice.RulesKey("kushiro"), rulesFile("kushiro", 2))
		const partitionDuration = 10 * time.Minute
		time.Sleep(partitionDuration)
		g.Expect(survivor.replica.Ready().Ready).To(gomega.BeTrue())
		g.Expect(survivor.replica.Snapshot().Rules.TimeLimitFor("kushiro", "short")).To(gomega.Equal(time.Second))
		for _, status := range survivor.replica.KeyStatuses() {
			g.Expect(status.ConfirmedAgo).To(gomega.BeNumerically("~", partitionDuration, time.Minute), status.Key)
		}
		g.Expect(survivor.replica.ConfirmedWithin(confservice.KeyPlan, time.Minute)).To(gomega.BeFalse())

		c.start(newHost, knowledge.Config{})
		time.Sleep(knowledge.DefaultStartupTimeout + time.Second)
		ready := newHost.replica.Ready()
		g.Expect(ready.Ready).To(gomega.BeTrue())
		g.Expect(ready.Reason).To(gomega.ContainSubstring("configuration service did not answer"))
		g.Expect(newHost.replica.Snapshot().Rules.TimeLimitFor("kushiro", "short")).To(gomega.Equal(time.Second))

		c.update(func() { c.noServiceDomains["domain-1"], c.partitionedDomains["domain-1"] = false, false })
		time.Sleep(propagationDeadline)
		for _, h := range []*host{survivor, newHost} {
			g.Expect(revisionsOf(h.replica.Snapshot())[confservice.RulesKey("kushiro")]).To(gomega.Equal(newest))
		}
	})
}

func TestNewHostWithoutConnectionsReportsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 2, 1)
		defer c.close()
		c.noServiceDomains["domain-0"] = true
		h := c.hosts[0]
		c.start(h, knowledge.Config{})
		time.Sleep(time.Second)
		g.Expect(h.replica.Ready().Ready).To(gomega.BeFalse())
		g.Expect(h.replica.Ready().Reason).To(gomega.ContainSubstring("asking"))
		time.Sleep(time.Minute)
		ready := h.replica.Ready()
		g.Expect(ready.Ready).To(gomega.BeFalse())
		g.Expect(ready.Reason).To(gomega.ContainSubstring("nobody gave a valid value of any partner's rules, targets"))
		g.Expect(ready.NextAction).To(gomega.ContainSubstring("keeps asking"))

		c.publish(t, confservice.KeyTargets, sampleTargets)
		c.publish(t, confservice.RulesKey("aarhus"), rulesFile("aarhus", 1))
		c.update(func() { c.noServiceDomains["domain-0"] = false })
		time.Sleep(propagationDeadline)
		g.Expect(h.replica.Ready()).To(gomega.Equal(knowledge.Readiness{Ready: true}))
	})
}
