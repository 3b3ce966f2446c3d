package audit_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/audit"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// The trail must keep the newest entries in order, and a query must select the same
// entries as a filter over a plain list.
func TestTrailMatchesReferenceList(t *testing.T) {
	start := time.Unix(1_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		trail := audit.New(capacity)
		var all []audit.Entry
		for i := range rapid.IntRange(0, 30).Draw(t, "entries") {
			e := audit.Entry{
				Time: start.Add(time.Duration(i) * time.Second), Subject: rapid.SampledFrom([]string{"rules/a", "rules/b", "plan"}).Draw(t, "subject"),
				Verdict:     rapid.SampledFrom([]audit.Verdict{audit.VerdictInForce, audit.VerdictRefused}).Draw(t, "verdict"),
				RequestedBy: []string{rapid.SampledFrom([]string{"Ueda", "Mori"}).Draw(t, "who")},
			}
			trail.Record(e)
			e.Sequence = uint64(i + 1)
			all = append(all, e)
		}
		all = all[max(0, len(all)-capacity):]
		after := uint64(rapid.IntRange(0, 30).Draw(t, "after"))
		limit := rapid.IntRange(0, 4).Draw(t, "limit")
		want := slices.DeleteFunc(slices.Clone(all), func(e audit.Entry) bool {
			return e.Subject == "plan" || e.Verdict == audit.VerdictInForce || e.RequestedBy[0] != "Ueda" || e.Sequence <= after
		})
		if limit > 0 {
			want = want[max(0, len(want)-limit):]
		}
		got := trail.Find(audit.Query{Subject: "rules/", Verdict: audit.VerdictRefused, RequestedBy: "ueda", AfterSequence: after, Limit: limit})
		g := gomega.NewWithT(t)
		g.Expect(got).To(gomega.HaveLen(len(want)))
		for i := range want {
			g.Expect(got[i]).To(gomega.Equal(want[i]))
		}
		g.Expect(trail.Find(audit.Query{})).To(gomega.HaveLen(len(all)))
	})
}
