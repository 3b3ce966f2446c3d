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

// A suspicion takes a host out of the choice for a bounded time, and not where it is in contact.
func TestSuspicionExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	inc := identity.Incarnation{Host: "host-1", Start: 1}
	far, near := hostTable(clk, membership.Config{}), hostTable(clk, membership.Config{})
	for _, table := range []*membership.Table{far, near} {
		table.Apply([]membership.Event{membership.HostEvent(inc, time.Unix(1, 0), membership.Live)})
	}
	near.ObserveHost(inc, time.Unix(1, 0))
	news := hostTable(clk, membership.Config{}).SuspectHost("host-1")
	g.Expect(far.Apply(news)).To(gomega.BeEmpty(), "about a process that the suspecting host doesn't know")
	news[0].Incarnation = inc.String()
	g.Expect(far.Apply(news)).To(gomega.HaveLen(1))
	g.Expect(near.Apply(news)).To(gomega.BeEmpty())
	g.Expect(far.LiveHosts("d")).To(gomega.Equal([]string{"host-2"}))
	g.Expect(near.LiveHosts("d")).To(gomega.Equal([]string{"host-1", "host-2"}))
	g.Expect(far.IncarnationGone(inc)).To(gomega.BeFalse())
	clk.Advance(membership.DefaultSuspicionTTL)
	g.Expect(far.LiveHosts("d")).To(gomega.Equal([]string{"host-1", "host-2"}))
}

// A host off the list is gone once lists can't lag that much, unless it is still in contact.
func TestHostOffTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	table := hostTable(clk, membership.Config{MaxListLag: listLag})
	inc := identity.Incarnation{Host: "host-1", Start: 1}
	table.ObserveHost(inc, time.Unix(1, 0))
	table.SetHosts(2, []membership.Entry{{ID: "host-2", Domain: "d"}})
	g.Expect(table.HostState("host-1")).To(gomega.Equal(membership.Leaving))
	clk.Advance(listLag)
	table.ObserveHost(inc, time.Unix(1, 0))
	g.Expect(table.IncarnationGone(inc)).To(gomega.BeFalse())
	clk.Advance(listLag - time.Millisecond)
	g.Expect(table.IncarnationGone(inc)).To(gomega.BeFalse())
	clk.Advance(time.Millisecond)
	g.Expect(table.IncarnationGone(inc)).To(gomega.BeTrue())
	g.Expect(table.IncarnationGone(identity.Incarnation{Host: "never-listed", Start: 1})).To(gomega.BeFalse())
}

// What peers tell is bounded; what the lists name is always kept.
func TestTableIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	table := hostTable(clk, membership.Config{MaxMembers: 10})
	for i := range 100 {
		inc := identity.Incarnation{Host: fmt.Sprint("stranger-", i), Start: 1}
		table.Apply([]membership.Event{membership.HostEvent(inc, time.Unix(1, 0), membership.Live)})
	}
	g.Expect(table.Stats()).To(gomega.Equal(membership.Stats{Members: 10, Applied: 8, Dropped: 92}))
	g.Expect(table.HostState("stranger-1")).To(gomega.Equal(membership.Unknown))
	clk.Advance(membership.DefaultUnlistedTTL)
	table.Sweep()
	g.Expect(table.Stats().Members).To(gomega.Equal(2))
}
