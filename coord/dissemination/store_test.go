package dissemination_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/dissemination"
)

func init() { _ = flag.Set("rapid.seed", "1") }

const key = "rules"

// model is the oracle: what each store may hold is the highest good version
// that reached it.
type model struct {
	stores  []*dissemination.Store
	peers   []*dissemination.PeerTracker
	highest []dissemination.Version
	offered []dissemination.Value
}

func newModel(count int) *model {
	m := &model{highest: make([]dissemination.Version, count)}
	for range count {
		s := dissemination.NewStore(map[string]dissemination.Validator{key: validate})
		m.stores = append(m.stores, s)
		m.peers = append(m.peers, dissemination.NewPeerTracker(s))
	}
	return m
}

// offer gives a value to one store and checks the result against the oracle.
func (m *model) offer(t *rapid.T, at int, v dissemination.Value) {
	result := m.stores[at].Offer(v)
	want := dissemination.Adopted
	switch c := v.Version().Compare(m.highest[at]); {
	case c == 0:
		want = dissemination.Known
	case c < 0:
		want = dissemination.Older
	case len(v.Body) == 0:
		want = dissemination.Invalid
	default:
		m.highest[at] = v.Version()
	}
	if result.Outcome != want {
		t.Fatalf("store %d with %+v was offered %+v: %s, not %s", at, m.highest[at], v.Version(), result.Outcome, want)
	}
}

// exchange sends a digest one way and the values back; either may be lost.
func (m *model) exchange(t *rapid.T, from, to int, lost bool) {
	m.peers[to].RecordDigest(fmt.Sprint(from), m.stores[from].Digest())
	updates := m.peers[to].PendingUpdates(fmt.Sprint(from))
	m.peers[to].RecordSent(fmt.Sprint(from), updates)
	if lost {
		return
	}
	for _, u := range updates {
		m.offer(t, from, u.Value)
	}
}

func (m *model) check(t *rapid.T) {
	for i, s := range m.stores {
		if v, _ := s.Get(key); v.Version() != m.highest[i] {
			t.Fatalf("store %d holds %+v, not %+v", i, v.Version(), m.highest[i])
		}
	}
}

func TestStoresOnlyMoveForwardAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "stores")
		m := newModel(count)
		index := rapid.IntRange(0, count-1)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"publish": func(t *rapid.T) {
				body := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "body")
				v := dissemination.NewValue(key, rapid.Uint64Range(1, 9).Draw(t, "revision"), []byte(body))
				m.offered = append(m.offered, v)
				m.offer(t, index.Draw(t, "at"), v)
			},
			"late": func(t *rapid.T) {
				if len(m.offered) == 0 {
					t.Skip()
				}
				m.offer(t, index.Draw(t, "at"), rapid.SampledFrom(m.offered).Draw(t, "value"))
			},
			"exchange": func(t *rapid.T) {
				m.exchange(t, index.Draw(t, "from"), index.Draw(t, "to"), rapid.Bool().Draw(t, "lost"))
			},
		})
		for range count {
			for i := range count {
				m.exchange(t, i, (i+1)%count, false)
			}
		}
		for i := range m.stores {
			if m.highest[i] != m.highest[0] {
				t.Fatalf("stores did not converge: %+v", m.highest)
			}
		}
	})
}

func TestBadAndConflictingValues(t *testing.T) {
	g := gomega.NewWithT(t)
	s := dissemination.NewStore(map[string]dissemination.Validator{key: validate})
	g.Expect(s.Offer(dissemination.NewValue("other", 1, nil)).Outcome).To(gomega.Equal(dissemination.UnknownKey))
	g.Expect(s.Offer(dissemination.Value{Key: key, Revision: 1, Checksum: 1, Body: []byte("x")}).Outcome).To(gomega.Equal(dissemination.Corrupt))

	bad := dissemination.NewValue(key, 5, nil)
	g.Expect(s.Offer(bad).KnownInvalid).To(gomega.BeFalse())
	g.Expect(s.Offer(bad).KnownInvalid).To(gomega.BeTrue())
	g.Expect(s.HighestSeen(key)).To(gomega.Equal(uint64(5)))

	// A host that saw only the bad value takes the last good one from a peer.
	g.Expect(s.Offer(dissemination.NewValue(key, 4, []byte("good"))).Outcome).To(gomega.Equal(dissemination.Adopted))
	version, err := s.LatestInvalid(key)
	g.Expect(version.Revision).To(gomega.Equal(uint64(5)))
	g.Expect(err).To(gomega.HaveOccurred())

	// Of two bodies with the same revision all choose the same, in either order.
	x, y := dissemination.NewValue(key, 6, []byte("x")), dissemination.NewValue(key, 6, []byte("y"))
	other := dissemination.NewStore(map[string]dissemination.Validator{key: validate})
	s.Offer(x)
	g.Expect(s.Offer(y).Conflict).To(gomega.BeTrue())
	other.Offer(y)
	g.Expect(other.Offer(x).Conflict).To(gomega.BeTrue())
	g.Expect(s.Digest()).To(gomega.Equal(other.Digest()))
	g.Expect(s.Stats().Conflicts).To(gomega.Equal(uint64(1)))
}

// A change must go to a peer as a change of what it has, as long as that is at hand.
func TestUpdatesBuildOnWhatThePeerHas(t *testing.T) {
	g := gomega.NewWithT(t)
	s := dissemination.NewStore(map[string]dissemination.Validator{key: validate})
	peers := dissemination.NewPeerTracker(s)
	old := dissemination.NewValue(key, 1, []byte("1"))
	s.Offer(old)
	g.Expect(peers.PendingUpdates("b")).To(gomega.BeEmpty()) // not heard from yet
	peers.RecordDigest("b", s.Digest())
	g.Expect(peers.PendingUpdates("b")).To(gomega.BeEmpty())
	for revision := uint64(2); revision <= 4; revision++ {
		s.Offer(dissemination.NewValue(key, revision, []byte("n")))
		g.Expect(peers.PendingUpdates("b")).To(gomega.HaveLen(1))
		g.Expect(peers.PendingUpdates("b")[0].Base).To(gomega.Equal(old))
	}
	s.Offer(dissemination.NewValue(key, 5, []byte("n"))) // the old one is forgotten
	g.Expect(peers.PendingUpdates("b")[0].Base.Revision).To(gomega.BeZero())
	peers.RecordSent("b", peers.PendingUpdates("b"))
	g.Expect(peers.PendingUpdates("b")).To(gomega.BeEmpty())
	peers.RetainOnly(nil)
	g.Expect(peers.PendingUpdates("b")).To(gomega.BeEmpty())
}
