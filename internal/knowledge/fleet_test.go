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

// A new host that a stale service answers must not be ready with an older
// revision than its peers have.
func TestAStaleServiceIsOutrankedByPeersAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 36, 1) // more than a host asks directly
		defer c.close()
		key := confservice.RulesKey("kushiro")
		c.publish(t, confservice.KeyHosts, c.list())
		c.publish(t, confservice.KeyTargets, someTargets)
		old := c.publish(t, key, rulesFile("kushiro", 1))
		newest := c.publish(t, key, rulesFile("kushiro", 2))
		for _, h := range c.hosts {
			c.start(h, knowledge.Config{})
		}
		time.Sleep(time.Minute)
		c.service.SetFaults(standin.Faults{MaxRevision: old})
		c.set(func() { c.latePercent = 50 })
		for _, h := range c.hosts[1:] { // all but one
			c.crash(h)
		}
		for _, h := range c.hosts[1:] {
			c.start(h, knowledge.Config{StartSpread: time.Millisecond}) // the service answers first
		}
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			for _, h := range c.hosts {
				if h.k.Ready().Ready {
					g.Expect(revisionsOf(h.k.Snapshot())[key]).To(gomega.Equal(newest), h.id)
				}
			}
		}
		for _, h := range c.hosts {
			g.Expect(h.k.Ready()).To(gomega.Equal(knowledge.Readiness{Ready: true}))
		}
	})
}

// Hosts that start together, and reach the one that knows more only later, must
// not take each other's answers for all there is.
func TestStartingHostsDoNotConfirmEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 36, 1) // more than a host asks directly
		defer c.close()
		startAll(t, c)
		key := confservice.RulesKey("kushiro")
		stale := c.service.Revision()
		newest := c.publish(t, key, rulesFile("kushiro", 2))
		time.Sleep(inForceWithin)
		c.service.SetFaults(standin.Faults{MaxRevision: stale})
		for _, h := range c.hosts[1:] {
			c.crash(h)
		}
		linked := time.Now().Add(5 * time.Second)
		neighbours := func(h *host) []string {
			ids := []string{"host-0-1", "host-0-2", "host-0-3", "host-0-0"}
			switch {
			case time.Now().After(linked):
			case h.id == "host-0-0":
				return nil
			default:
				ids = ids[:3]
			}
			return slices.DeleteFunc(ids, func(id string) bool { return id == h.id })
		}
		c.set(func() { c.neighbours = neighbours })
		for _, h := range c.hosts[1:4] {
			c.start(h, knowledge.Config{StartSpread: time.Millisecond})
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range c.hosts[1:4] {
				if h.k.Ready().Ready {
					g.Expect(revisionsOf(h.k.Snapshot())[key]).To(gomega.Equal(newest), h.id)
				}
			}
		}
		g.Expect(c.hosts[1].k.Ready()).To(gomega.Equal(knowledge.Readiness{Ready: true}))
	})
}

// All readers of a domain that is cut off from the others crash at the moment
// of a change, and the host list goes on naming them.
func TestOthersStandInForCrashedReaders(t *testing.T) {
	for _, hosts := range []int{5, 20} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newCluster(1, hosts, 1)
			defer c.close()
			startAll(t, c)
			for range 2 {
				revision := c.publish(t, confservice.RulesKey("kushiro"), rulesFile("kushiro", 2))
				for _, h := range c.hosts {
					if h.k.Stats().Reader {
						c.crash(h)
					}
				}
				time.Sleep(inForceWithin)
				for _, h := range c.hosts {
					if h.k != nil {
						g.Expect(revisionsOf(h.k.Snapshot())[confservice.RulesKey("kushiro")]).To(gomega.Equal(revision), h.id)
					} else {
						c.start(h, knowledge.Config{})
					}
				}
				time.Sleep(2 * knowledge.DefaultStartWait)
			}
		})
	}
}

// The number of hosts does not keep a change from being in force in time.
func TestAChangeIsInForceInALargeDomainInTime(t *testing.T) {
	hosts := 60
	if *full {
		hosts = targetHostsPerDomain
	}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, hosts, 1)
		defer c.close()
		startAll(t, c)
		c.set(func() { c.lossPercent = 20 })
		key := confservice.RulesKey("kushiro")
		for i := range 5 {
			revision := c.publish(t, key, rulesFile("kushiro", i+2))
			published := time.Now()
			for c.have(key, revision) < len(c.hosts) && time.Since(published) < inForceWithin {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("revision %d in force on %d of %d hosts after %s", revision, c.have(key, revision), len(c.hosts), time.Since(published))
			g.Expect(c.have(key, revision)).To(gomega.Equal(len(c.hosts)))
		}
	})
}

// have returns how many hosts have at least the revision.
func (c *cluster) have(key string, revision uint64) int {
	count := 0
	for _, h := range c.hosts {
		if revisionsOf(h.k.Snapshot())[key] >= revision {
			count++
		}
	}
	return count
}
