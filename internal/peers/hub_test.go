package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// fleetTables returns the tables of a fleet in which every host knows all others.
func fleetTables(hosts, domains int, now time.Time) []*hostTable {
	var all []*peerspb.Host
	for i := range hosts {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % domains), byte(i / 250), byte(i % 250)}), 8303)
		all = append(all, &peerspb.Host{Id: fmt.Sprint("host-", i), Addr: addr.String(), Domain: fmt.Sprint("domain-", i%domains)})
	}
	var tables []*hostTable
	for _, self := range all {
		table := newHostTable(netip.MustParseAddrPort(self.GetAddr()), self.GetDomain(), nil)
		for _, h := range all {
			if h != self {
				table.recordMessage(h, now)
			}
		}
		tables = append(tables, table)
	}
	return tables
}

// relayedJobBytes is the size in bytes of what a hub sends to each host of its domain for one short
// prompt: its start, its first event and its end.
func relayedJobBytes() int {
	job := encodeJob(placement.Job{
		ID: 1000, Service: "assistant", Weight: 1, Objective: 400 * time.Millisecond, MaxEventGap: 250 * time.Millisecond,
		Shares: []placement.Share{{Target: catalog.TargetKey{ID: "i-0123456789", StartUnixMilli: 1.7e12}, PrefillTime: 30 * time.Millisecond, Tokens: 6500, Decodes: true}},
	})
	size := 0
	for _, n := range []*peerspb.News{{Started: []*peerspb.Job{job}}, {Read: []uint64{1000}}, {Ended: []uint64{1000}}} {
		n.UptimeMs = 1e6
		size += proto.Size(&peerspb.News{Relayed: []*peerspb.Relayed{newRelayed("host-100", n, false)}})
	}
	return size
}

// Guards against updates that wait for the link of a hub while short prompts come in a burst.
func TestHubsOfLargeDomainsStayWithinTheirLinks(t *testing.T) {
	const (
		jobsPerHost = 2.25 // per second, in a burst
		domains     = 5
		linkBytes   = 2.5e6 // per second, of the slowest hosts
		maxShare    = 0.5   // of its link that a hub may need for updates
	)
	for _, hosts := range []int{30, 62, 295, 500} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			now := time.Now()
			origins, receivers := make(map[netip.AddrPort]int), make(map[netip.AddrPort]int)
			for _, table := range fleetTables(hosts, domains, now) {
				for addr, r := range table.routes(now) {
					if r.relay {
						origins[addr]++
					}
					if r.domain == table.domain {
						receivers[table.self]++
					}
				}
			}
			busiest := 0.0
			for hub, n := range origins {
				busiest = max(busiest, float64(n*receivers[hub]*relayedJobBytes())*jobsPerHost)
			}
			t.Logf("%d hubs, the busiest sends %.2f MB/s", len(origins), busiest/1e6)
			g.Expect(busiest).To(BeNumerically("<=", maxShare*linkBytes))
		})
	}
}
