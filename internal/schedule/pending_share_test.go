package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// A new host uses its share of the memory only after its peer has confirmed that it
// counts the new host as a sharer and uses no more than its own share. Without the
// confirmation, both hosts could reserve the same memory.
func TestNewHostWaitsForPeerConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	c := clock.NewManual(epoch)
	start := func(self string, hosts ...string) *schedule.Local {
		l := schedule.New(schedule.Config{Self: self, Clock: c, ShareIncreaseDelay: time.Hour})
		l.SetTargets([]topology.Target{engine("e", engineSize)})
		l.SetHosts(hosts, nil)
		return l
	}
	own := func(l *schedule.Local) int { return l.Snapshot().Targets[0].ShareTokens }
	old := start("old", "old")
	now := c.Now()
	g.Expect(own(old)).To(gomega.Equal(engineSize))

	joining := start("new", "old", "new")
	confirm := func() {
		for _, u := range joining.PendingShares(now) {
			for _, peer := range u.Peers {
				if old.WithinShare(now, u.Target, u.Sharers) {
					joining.PeerConfirmed(now, u.Target, peer, u.Sharers)
				}
			}
		}
	}
	confirm()
	g.Expect(own(joining)).To(gomega.BeZero(), "the peer does not know the new host")
	old.SetHosts([]string{"old", "new"}, nil)
	confirm()
	g.Expect(own(joining)).To(gomega.Equal(engineSize / 2))
	g.Expect(joining.PendingShares(now)).To(gomega.BeEmpty())
}
