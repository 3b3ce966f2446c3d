package mesh

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/topology"
)

// maxSlots is the documented limit of link slots per host.
const maxSlots = 2*ringCount + 2*ringCount*gatewaysPerDomain

func drawHosts(t *rapid.T) []topology.Host {
	var hosts []topology.Host
	for d := range rapid.IntRange(1, 8).Draw(t, "domains") {
		for i := range rapid.IntRange(1, 25).Draw(t, "hosts") {
			hosts = append(hosts, topology.Host{ID: fmt.Sprintf("h%d-%d", d, i), Domain: fmt.Sprintf("d%d", d)})
		}
	}
	return hosts
}

// countReachable counts the hosts that can be reached from a host over links, by way of hosts
// for which include returns true only.
func countReachable(links map[string][]string, include func(string) bool, from string) int {
	seen := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, next := range links[queue[0]] {
			if !seen[next] && include(next) {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen)
}

func TestLinkGraphIsConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		hosts := drawHosts(t)
		links := make(map[string][]string)
		for _, h := range hosts {
			g.Expect(len(computeLinkSlots(h.ID, hosts))).To(gomega.BeNumerically("<=", maxSlots))
			for _, other := range PlanLinks(h.ID, hosts) {
				g.Expect(other).NotTo(gomega.Equal(h.ID))
				links[h.ID] = append(links[h.ID], other)
				links[other] = append(links[other], h.ID) // links are bidirectional
			}
		}
		g.Expect(countReachable(links, func(string) bool { return true }, hosts[0].ID)).To(gomega.Equal(len(hosts)))
		byDomain := hostsByDomain(hosts)
		for _, ids := range byDomain {
			inDomain := func(id string) bool { return slices.Contains(ids, id) }
			g.Expect(countReachable(links, inDomain, ids[0])).To(gomega.Equal(len(ids)))
		}
	})
}

// When hosts are down, the remaining hosts of a failure domain skip them and stay connected.
func TestLinksSkipHostsThatAreDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		hosts := drawHosts(t)
		down := make(map[string]bool)
		for range len(hosts) / 10 {
			down[hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "down")].ID] = true
		}
		up := func(id string) bool { return !down[id] }
		links := make(map[string][]string)
		var live []string
		for _, h := range hosts {
			if down[h.ID] {
				continue
			}
			live = append(live, h.ID)
			for _, candidates := range computeLinkSlots(h.ID, hosts) {
				if i := slices.IndexFunc(candidates, up); i >= 0 {
					links[h.ID] = append(links[h.ID], candidates[i])
					links[candidates[i]] = append(links[candidates[i]], h.ID)
				}
			}
		}
		if len(live) == 0 {
			return
		}
		for _, ids := range hostsByDomain(hosts) {
			liveIDs := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return down[id] })
			if len(liveIDs) == 0 {
				continue
			}
			inDomain := func(id string) bool { return slices.Contains(liveIDs, id) }
			g.Expect(countReachable(links, inDomain, liveIDs[0])).To(gomega.Equal(len(liveIDs)))
		}
	})
}
