package knowledge

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/dissemination"
)

// An encoded value decodes to the same value if the receiver has the same base version. A
// damaged message never yields a different value that a store would adopt.
func TestCodecRoundTrip(t *testing.T) {
	const key = "plan"
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		value := dissemination.NewValue(key, 2, rapid.SliceOf(rapid.Byte()).Draw(t, "body"))
		base := dissemination.NewValue(key, 1, rapid.SliceOf(rapid.Byte()).Draw(t, "base"))
		update := dissemination.Update{Value: value}
		if rapid.Bool().Draw(t, "with base") {
			update.Base = base
		}
		e := newEncoder()
		first, err := e.encode(update)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		msg, err := e.encode(update) // from the cache
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(proto.Equal(msg, first)).To(gomega.BeTrue())

		lookupBase := func(string, dissemination.Version) (dissemination.Value, bool) { return base, true }
		lookupNone := func(string, dissemination.Version) (dissemination.Value, bool) { return dissemination.Value{}, false }
		got, err := decode(msg, lookupBase)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.Version()).To(gomega.Equal(value.Version()))
		g.Expect(string(got.Body)).To(gomega.Equal(string(value.Body)))
		if update.Base.Revision > 0 && msg.GetBaseRevision() > 0 {
			_, err = decode(msg, lookupNone)
			g.Expect(errors.Is(err, errUnknownBase)).To(gomega.BeTrue())
		}

		damaged := proto.CloneOf(msg)
		at := rapid.IntRange(0, len(damaged.Body)-1).Draw(t, "damaged byte")
		damaged.Body[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		got, err = decode(damaged, lookupBase)
		store := dissemination.NewStore(map[string]dissemination.Validator{key: func(dissemination.Value) error { return nil }})
		if err == nil && store.Offer(got).Outcome == dissemination.Adopted {
			g.Expect(string(got.Body)).To(gomega.Equal(string(value.Body)))
		}
	})
}
