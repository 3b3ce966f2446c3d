package knowledge_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	standin "github.com/plantainrun/plantainrun/internal/standin/platform"
)

// A new host that gets a stale response from the service must not become ready with a
// revision older than that of its peers.
func TestStartupPrefersPeersToStaleService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 36, 1) // more than smallFleetHosts, so that a new host does not query all of them
		defer c.close()
		key := confservice.RulesKey("kushiro")
		c.publish(t, confservice.KeyHosts, c.hostList())
		c.publish(t, confservice.KeyTargets, sampleTargets)
		old := c.publish(t, key, rulesFile("kushiro", 1))
		newest := c.publish(t, key, rulesFile("kushiro", 2))
		for _, h := range c.hosts {
			c.start(h, knowledge.Config{})
		}
		time.Sleep(time.Minute)
		c.service.SetFaults(standin.Faults{MaxRevision: old})
		c.update(func() { c.latePercent = 50 })
		for _, h := range c.hosts[1:] { // all hosts but one restart
			c.crash(h)
		}
		for _, h := range c.hosts[1:] {
			c.start(h, knowledge.Config{StartupJitter: time.Millisecond}) // the service responds before the peers
		}
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			for _, h := range c.hosts {
				if h.replica.Ready().Ready {
					g.Expect(revisionsOf(h.replica.Snapshot())[key]).To(gomega.Equal(newest), h.id)
				}
			}
		}
		for _, h := range c.hosts {
			g.Expect(h.replica.Ready()).To(gomega.Equal(knowledge.Readiness{Ready: true}))
		}
	})
}

// Hosts that start together and connect only later to the one host with the newest revision
// must not become ready with an older revision on the responses of each other alone.
func TestStartingHostsAreNotInformedPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 36, 1) // more than smallFleetHosts, so that a new host does not query all of them
		defer c.close()
		startAll(t, c)
		key := confservice.RulesKey("kushiro")
		stale := c.service.Revision()
		newest := c.publish(t, key, rulesFile("kushiro", 2))
		time.Sleep(propagationDeadline)
		c.service.SetFaults(standin.Faults{MaxRevision: stale})
		for _, h := range c.hosts[1:] {
			c.crash(h)
		}
		connectAt := time.Now().Add(5 * time.Second)
		neighbours := func(h *host) []string {
			ids := []string{"host-0-1", "host-0-2", "host-0-3", "host-0-0"}
			switch {
			case time.Now().After(connectAt):
			case h.id == "host-0-0":
				return nil
			default:
				ids = ids[:3]
			}
			return slices.DeleteFunc(ids, func(id string) bool { return id == h.id })
		}
		c.update(func() { c.neighbours = neighbours })
		for _, h := range c.hosts[1:4] {
			c.start(h, knowledge.Config{StartupJitter: time.Millisecond})
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range c.hosts[1:4] {
				if h.replica.Ready().Ready {
					g.Expect(revisionsOf(h.replica.Snapshot())[key]).To(gomega.Equal(newest), h.id)
				}
			}
		}
		g.Expect(c.hosts[1].replica.Ready()).To(gomega.Equal(knowledge.Readiness{Ready: true}))
	})
}

// All readers of a single failure domain crash at the moment of a change, and the host list
// still has them as live. Other hosts must become readers and propagate the change in time.
func TestExtraReadersReplaceCrashedReaders(t *testing.T) {
	for _, hosts := range []int{5, 20} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newCluster(1, hosts, 1)
			defer c.close()
			startAll(t, c)
			for range 2 {
				revision := c.publish(t, confservice.RulesKey("kushiro"), rulesFile("kushiro", 2))
				for _, h := range c.hosts {
					if h.replica.Stats().Reader {
						c.crash(h)
					}
				}
				time.Sleep(propagationDeadline)
				for _, h := range c.hosts {
					if h.replica != nil {
						g.Expect(revisionsOf(h.replica.Snapshot())[confservice.RulesKey("kushiro")]).To(gomega.Equal(revision), h.id)
					} else {
						c.start(h, knowledge.Config{})
					}
				}
				time.Sleep(2 * knowledge.DefaultStartupTimeout)
			}
		})
	}
}

// A change must be active on all hosts of a large failure domain within propagationDeadline,
// also with 20 percent message loss.
func TestChangePropagatesInTimeInLargeDomain(t *testing.T) {
	hosts := 60
	if *full {
		hosts = targetHostsPerDomain
	}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, hosts, 1)
		defer c.close()
		startAll(t, c)
		c.update(func() { c.lossPercent = 20 })
		key := confservice.RulesKey("kushiro")
		for i := range 5 {
			revision := c.publish(t, key, rulesFile("kushiro", i+2))
			published := time.Now()
			for c.countAtRevision(key, revision) < len(c.hosts) && time.Since(published) < propagationDeadline {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("revision %d active on %d of %d hosts after %s", revision, c.countAtRevision(key, revision), len(c.hosts), time.Since(published))
			g.Expect(c.countAtRevision(key, revision)).To(gomega.Equal(len(c.hosts)))
		}
	})
}

// countAtRevision returns how many hosts have the revision or a later one.
func (c *cluster) countAtRevision(key string, revision uint64) int {
	count := 0
	for _, h := range c.hosts {
		if revisionsOf(h.replica.Snapshot())[key] >= revision {
			count++
		}
	}
	return count
}
