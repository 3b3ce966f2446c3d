package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

// tableOf returns a table that has heard of n hosts of its own domain.
func tableOf(n int, now time.Time) *hostTable {
	addr := func(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:80", i)) }
	table := newHostTable(addr(0), "north", nil)
	for i := 1; i <= n; i++ {
		table.heard(&peerspb.Host{Id: fmt.Sprint(i), Addr: addr(i).String(), Domain: "north"}, now)
	}
	return table
}

// A busy host is asked later; closing the links that its news takes would cost
// more than it saves.
func TestAHostThatDoesNotAnswerKeepsItsLinks(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := tableOf(8, now)
	routes := table.routes(now)
	for _, reader := range table.readers(now) {
		table.unanswered(reader, now)
		g.Expect(table.routes(now)).To(Equal(routes))
		if reader != table.self {
			g.Expect(table.readers(now)).NotTo(ContainElement(reader))
		}
	}
}
