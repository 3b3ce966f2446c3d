package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/membership"
)

func hostTable(clk clock.Clock, bounds membership.Config) *membership.Table {
	t := membership.New(clk, bounds)
	t.SetHosts(1, []membership.Entry{{ID: "host-1", Domain: "d"}, {ID: "host-2", Domain: "d"}})
	return t
}

// A suspected host is not live for a bounded time, except for hosts that are in contact with it.
func TestSuspicionExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	inc := identity.Incarnation{Host: "host-1", Start: 1}
	remote, connected := hostTable(clk, membership.Config{}), hostTable(clk, membership.Config{})
	for _, table := range []*membership.Table{remote, connected} {
		table.Apply([]membership.Event{membership.HostEvent(inc, time.Unix(1, 0), membership.Live)})
	}
	connected.ObserveHost(inc, time.Unix(1, 0))
	events := hostTable(clk, membership.Config{}).SuspectHost("host-1")
	g.Expect(remote.Apply(events)).To(gomega.BeEmpty(), "the suspecting host does not know the incarnation")
	events[0].Incarnation = inc.String()
	g.Expect(remote.Apply(events)).To(gomega.HaveLen(1))
	g.Expect(connected.Apply(events)).To(gomega.BeEmpty())
	g.Expect(remote.LiveHosts("d")).To(gomega.Equal([]string{"host-2"}))
	g.Expect(connected.LiveHosts("d")).To(gomega.Equal([]string{"host-1", "host-2"}))
	g.Expect(remote.IncarnationGone(inc)).To(gomega.BeFalse())
	clk.Advance(membership.DefaultSuspicionTTL)
	g.Expect(remote.LiveHosts("d")).To(gomega.Equal([]string{"host-1", "host-2"}))
}

// A host that is no longer listed is gone after MaxListLag, unless it is still in contact.
func TestUnlistedHostIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	table := hostTable(clk, membership.Config{MaxListLag: maxListLag})
	inc := identity.Incarnation{Host: "host-1", Start: 1}
	table.ObserveHost(inc, time.Unix(1, 0))
	table.SetHosts(2, []membership.Entry{{ID: "host-2", Domain: "d"}})
	g.Expect(table.HostState("host-1")).To(gomega.Equal(membership.Leaving))
	clk.Advance(maxListLag)
	table.ObserveHost(inc, time.Unix(1, 0))
	g.Expect(table.IncarnationGone(inc)).To(gomega.BeFalse())
	clk.Advance(maxListLag - time.Millisecond)
	g.Expect(table.IncarnationGone(inc)).To(gomega.BeFalse())
	clk.Advance(time.Millisecond)
	g.Expect(table.IncarnationGone(inc)).To(gomega.BeTrue())
	g.Expect(table.IncarnationGone(identity.Incarnation{Host: "never-listed", Start: 1})).To(gomega.BeFalse())
}

// MaxMembers limits the members learned from peers; listed members are always stored.
func TestTableIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	table := hostTable(clk, membership.Config{MaxMembers: 10})
	for i := range 100 {
		inc := identity.Incarnation{Host: fmt.Sprint("unlisted-", i), Start: 1}
		table.Apply([]membership.Event{membership.HostEvent(inc, time.Unix(1, 0), membership.Live)})
	}
	g.Expect(table.Stats()).To(gomega.Equal(membership.Stats{Members: 10, Applied: 8, Dropped: 92}))
	g.Expect(table.HostState("unlisted-1")).To(gomega.Equal(membership.Unknown))
	clk.Advance(membership.DefaultUnlistedTTL)
	table.Sweep()
	g.Expect(table.Stats().Members).To(gomega.Equal(2))
}
