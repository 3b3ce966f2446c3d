package mesh

import (
	"fmt"
	"slices"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const (
	// ringCount is the number of independent rings over the hosts of each failure domain,
	// and also the number of rings over the failure domains.
	ringCount = 2
	// gatewaysPerDomain is the number of hosts of a failure domain that link to the
	// neighbouring domains on each ring over the domains.
	gatewaysPerDomain = 2
	// maxCandidatesPerSlot limits how many hosts along a ring are tried to find a reachable neighbour.
	maxCandidatesPerSlot = 6
)

// linkSlot describes one link that a host maintains: the ids of its candidate hosts in the
// order in which they are tried. The first reachable candidate becomes the link.
type linkSlot []string

// computeLinkSlots returns the link slots of a host. The result depends only on the
// host list. Each host links to its neighbours on two rings over its failure domain, so
// the graph of a domain is connected. On each of two rings over the domains, two hosts of
// each domain link to hosts of the neighbouring domains. A host has at most
// 2*ringCount + 2*ringCount*gatewaysPerDomain slots, independent of the size of the fleet.
func computeLinkSlots(self string, hosts []topology.Host) []linkSlot {
	byDomain := hostsByDomain(hosts)
	domain, ok := domainOf(self, hosts)
	if !ok {
		return nil
	}
	var slots []linkSlot
	for ring := range ringCount {
		order := rendezvous.Top(fmt.Sprintf("mesh ring %d", ring), byDomain[domain], len(byDomain[domain]))
		slots = appendRingSlots(slots, order, self)
	}
	return append(slots, gatewaySlots(self, domain, byDomain)...)
}

// PlanLinks returns the sorted ids of the hosts that self links to when every host is
// reachable. The result depends only on the host list, so every host with the same list
// computes the same links.
func PlanLinks(self string, hosts []topology.Host) []string {
	var links []string
	for _, candidates := range computeLinkSlots(self, hosts) {
		links = append(links, candidates[0])
	}
	slices.Sort(links)
	return slices.Compact(links)
}

// gatewaySlots returns the slots of self to the neighbouring failure domains. It returns
// none if self is not a gateway of its domain on any ring.
func gatewaySlots(self, domain string, byDomain map[string][]string) []linkSlot {
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	var slots []linkSlot
	for ring := range ringCount {
		index := slices.Index(domainGateways(ring, domain, byDomain, gatewaysPerDomain), self)
		if index < 0 {
			continue
		}
		order := rendezvous.Top(fmt.Sprintf("mesh domains %d", ring), domains, len(domains))
		at := slices.Index(order, domain)
		for _, step := range []int{1, len(order) - 1} {
			next := order[(at+step)%len(order)]
			if next == domain {
				continue
			}
			candidates := domainGateways(ring, next, byDomain, maxCandidatesPerSlot)
			slots = append(slots, rotate(candidates, min(index, len(candidates)-1)))
		}
	}
	return slots
}

// domainGateways returns up to count hosts of a failure domain in the order in which they
// are preferred as its gateways on the given ring.
func domainGateways(ring int, domain string, byDomain map[string][]string, count int) []string {
	return rendezvous.Top(fmt.Sprintf("mesh gateway %d %s", ring, domain), byDomain[domain], count)
}

// appendRingSlots appends two slots: the successors and the predecessors of self on the ring.
func appendRingSlots(slots []linkSlot, order []string, self string) []linkSlot {
	if len(order) < 2 {
		return slots
	}
	at := slices.Index(order, self)
	forward := linkSlot(rotate(order, at)[1:])
	backward := slices.Clone(forward)
	slices.Reverse(backward)
	count := min(maxCandidatesPerSlot, len(forward))
	return append(slots, forward[:count], backward[:count])
}

func rotate(order []string, n int) []string {
	return append(slices.Clone(order[n:]), order[:n]...)
}

func hostsByDomain(hosts []topology.Host) map[string][]string {
	byDomain := make(map[string][]string)
	for _, h := range hosts {
		byDomain[h.Domain] = append(byDomain[h.Domain], h.ID)
	}
	return byDomain
}

func domainOf(id string, hosts []topology.Host) (string, bool) {
	for _, h := range hosts {
		if h.ID == id {
			return h.Domain, true
		}
	}
	return "", false
}
