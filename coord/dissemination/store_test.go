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

// model is the test oracle: each store has to hold the highest valid version that was
// offered to it.
type model struct {
	stores   []*dissemination.Store
	trackers []*dissemination.PeerTracker
	expected []dissemination.Version
	offered  []dissemination.Value
}

func newModel(count int) *model {
	m := &model{expected: make([]dissemination.Version, count)}
	for range count {
		s := dissemination.NewStore(map[string]dissemination.Validator{key: validate})
		m.stores = append(m.stores, s)
		m.trackers = append(m.trackers, dissemination.NewPeerTracker(s))
	}
	return m
}

// offer offers a value to one store and checks the outcome against the model.
func (m *model) offer(t *rapid.T, at int, v dissemination.Value) {
	result := m.stores[at].Offer(v)
	want := dissemination.Adopted
	switch c := v.Version().Compare(m.expected[at]); {
	case c == 0:
		want = dissemination.Known
	case c < 0:
		want = dissemination.Older
	case len(v.Body) == 0:
		want = dissemination.Invalid
	default:
		m.expected[at] = v.Version()
	}
	if result.Outcome != want {
		t.Fatalf("store %d at version %+v: offering version %+v gave outcome %q, want %q", at, m.expected[at], v.Version(), result.Outcome, want)
	}
}

// exchange sends the digest of one store to another, which sends the missing values back.
// If lost is set, the values do not arrive.
func (m *model) exchange(t *rapid.T, from, to int, lost bool) {
	m.trackers[to].RecordDigest(fmt.Sprint(from), m.stores[from].Digest())
	updates := m.trackers[to].PendingUpdates(fmt.Sprint(from))
	m.trackers[to].RecordSent(fmt.Sprint(from), updates)
	if lost {
		return
	}
	for _, u := range updates {
		m.offer(t, from, u.Value)
	}
}

func (m *model) check(t *rapid.T) {
	for i, s := range m.stores {
		if v, _ := s.Get(key); v.Version() != m.expected[i] {
			t.Fatalf("store %d holds version %+v, want %+v", i, v.Version(), m.expected[i])
		}
	}
}

func TestStoreVersionsIncreaseAndConverge(t *testing.T) {
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
			if m.expected[i] != m.expected[0] {
				t.Fatalf("stores did not converge: %+v", m.expected)
			}
		}
	})
}

func TestInvalidAndConflictingValues(t *testing.T) {
	g := gomega.NewWithT(t)
	s := dissemination.NewStore(map[string]dissemination.Validator{key: validate})
	g.Expect(s.Offer(dissemination.NewValue("other", 1, nil)).Outcome).To(gomega.Equal(dissemination.UnknownKey))
	g.Expect(s.Offer(dissemination.Value{Key: key, Revision: 1, Checksum: 1, Body: []byte("x")}).Outcome).To(gomega.Equal(dissemination.Corrupt))

	invalid := dissemination.NewValue(key, 5, nil)
	g.Expect(s.Offer(invalid).KnownInvalid).To(gomega.BeFalse())
	g.Expect(s.Offer(invalid).KnownInvalid).To(gomega.BeTrue())
	g.Expect(s.HighestSeen(key)).To(gomega.Equal(uint64(5)))

	// A store that was only offered an invalid value adopts an older valid one from a peer.
	g.Expect(s.Offer(dissemination.NewValue(key, 4, []byte("good"))).Outcome).To(gomega.Equal(dissemination.Adopted))
	version, err := s.LatestInvalid(key)
	g.Expect(version.Revision).To(gomega.Equal(uint64(5)))
	g.Expect(err).To(gomega.HaveOccurred())

	// All stores choose the same of two bodies with the same revision, in either order.
	x, y := dissemination.NewValue(key, 6, []byte("x")), dissemination.NewValue(key, 6, []byte("y"))
	other := dissemination.NewStore(map[string]dissemination.Validator{key: validate})
	s.Offer(x)
	g.Expect(s.Offer(y).Conflict).To(gomega.BeTrue())
	other.Offer(y)
	g.Expect(other.Offer(x).Conflict).To(gomega.BeTrue())
	g.Expect(s.Digest()).To(gomega.Equal(other.Digest()))
	g.Expect(s.Stats().Conflicts).To(gomega.Equal(uint64(1)))
}

// An update has to be based on the version that the peer has, as long as that version is in
// the history, so that only the changes are sent.
func TestUpdatesAreBasedOnTheVersionOfThePeer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := dissemination.NewStore(map[string]dissemination.Validator{key: validate})
	tracker := dissemination.NewPeerTracker(s)
	base := dissemination.NewValue(key, 1, []byte("1"))
	s.Offer(base)
	g.Expect(tracker.PendingUpdates("b")).To(gomega.BeEmpty()) // no digest received yet
	tracker.RecordDigest("b", s.Digest())
	g.Expect(tracker.PendingUpdates("b")).To(gomega.BeEmpty())
	for revision := uint64(2); revision <= 4; revision++ {
		s.Offer(dissemination.NewValue(key, revision, []byte("n")))
		g.Expect(tracker.PendingUpdates("b")).To(gomega.HaveLen(1))
		g.Expect(tracker.PendingUpdates("b")[0].Base).To(gomega.Equal(base))
	}
	s.Offer(dissemination.NewValue(key, 5, []byte("n"))) // the base is no longer in the history
	g.Expect(tracker.PendingUpdates("b")[0].Base.Revision).To(gomega.BeZero())
	tracker.RecordSent("b", tracker.PendingUpdates("b"))
	g.Expect(tracker.PendingUpdates("b")).To(gomega.BeEmpty())
	tracker.RetainOnly(nil)
	g.Expect(tracker.PendingUpdates("b")).To(gomega.BeEmpty())
}
