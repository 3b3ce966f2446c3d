package fairqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/fairqueue"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type item = fairqueue.Item[int]

func acceptAll(*item) bool { return true }

// The queue is compared with a map as the model: no item is lost or returned
// twice, the limits hold, items of an organisation are dequeued by rank, and no
// item stays queued past its expiry.
func TestQueueMatchesModel(t *testing.T) {
	const perOrganisation, perPartner = 4, 5
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		q := fairqueue.New[int](fairqueue.Limits{PerOrganisation: perOrganisation, PerPartner: perPartner})
		now, lastValue := epoch, 0
		queued := map[int]*item{}
		count := func(match func(*item) bool) int {
			n := 0
			for _, it := range queued {
				if match(it) {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				lastValue++
				it := &item{
					Partner: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "partner"), Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org"),
					Cost: float64(rapid.IntRange(0, 1000).Draw(t, "cost")), Rank: int64(rapid.IntRange(0, 5).Draw(t, "rank")),
					Expires: now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "life")) * time.Second), Value: lastValue,
				}
				full := count(func(o *item) bool { return o.Partner == it.Partner }) >= perPartner ||
					count(func(o *item) bool { return o.Partner == it.Partner && o.Organisation == it.Organisation }) >= perOrganisation
				g.Expect(q.Push(it)).To(gomega.Equal(!full))
				if !full {
					queued[it.Value] = it
				}
			},
			"offer": func(t *rapid.T) {
				it := q.Dequeue(1, acceptAll)
				if it == nil {
					g.Expect(queued).To(gomega.BeEmpty())
					return
				}
				g.Expect(queued).To(gomega.HaveKey(it.Value))
				earlier := count(func(o *item) bool {
					return o.Partner == it.Partner && o.Organisation == it.Organisation && o.Rank < it.Rank
				})
				g.Expect(earlier).To(gomega.BeZero())
				delete(queued, it.Value)
			},
			"remove": func(t *rapid.T) {
				if it, ok := queued[rapid.IntRange(1, lastValue+1).Draw(t, "value")]; ok {
					g.Expect(q.Remove(it)).To(gomega.BeTrue())
					g.Expect(q.Remove(it)).To(gomega.BeFalse())
					delete(queued, it.Value)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
				for _, it := range q.Expire(now) {
					g.Expect(queued).To(gomega.HaveKey(it.Value))
					delete(queued, it.Value)
				}
				g.Expect(count(func(o *item) bool { return !o.Expires.After(now) })).To(gomega.BeZero())
			},
			"": func(*rapid.T) { g.Expect(q.Len()).To(gomega.Equal(len(queued))) },
		})
	})
}

// While two flows are backlogged, the service they received, divided by their
// weights, differs by at most the sum of their largest item costs, each divided by
// its flow's weight (Goyal et al., theorem 1). This holds on both levels.
func TestFairWithinOneItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		const maxCost = 1_000_000.
		q := fairqueue.New[int](fairqueue.Limits{})
		orgs := rapid.IntRange(2, 5).Draw(t, "organisations")
		rng := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<20).Draw(t, "load")), 1))
		weights, served := map[string]float64{}, map[string]float64{}
		push := func(partner, org string) {
			cost := 1_000 + rng.Float64()*8_000
			if rng.IntN(50) == 0 {
				cost = maxCost
			}
			q.Push(&item{Partner: partner, Organisation: org, Cost: cost, Expires: epoch})
		}
		for _, partner := range []string{"p", "q"} {
			for i := range orgs {
				org := fmt.Sprint(i)
				weights[partner+org] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
				q.SetWeight(partner, org, weights[partner+org])
				for range 3 {
					push(partner, org)
				}
			}
		}
		for range 2_000 {
			it := q.Dequeue(1, acceptAll)
			served[it.Partner+it.Organisation] += it.Cost
			served[it.Partner] += it.Cost
			push(it.Partner, it.Organisation)
		}
		g.Expect(served["p"]).To(gomega.BeNumerically("~", served["q"], 2*maxCost))
		for i := range orgs - 1 {
			a, b := fmt.Sprintf("p%d", i), fmt.Sprintf("p%d", i+1)
			bound := maxCost/weights[a] + maxCost/weights[b]
			g.Expect(served[a] / weights[a]).To(gomega.BeNumerically("~", served[b]/weights[b], bound))
		}
	})
}

// An organisation that was idle accumulates no credit, and one that was served
// alone in the meantime is not penalised for it.
func TestIdleFlowGainsNoCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := fairqueue.New[int](fairqueue.Limits{})
	push := func(org string) { q.Push(&item{Partner: "p", Organisation: org, Cost: 100, Expires: epoch}) }
	for range 100 {
		push("busy")
		q.Dequeue(1, acceptAll)
	}
	served := map[string]int{}
	for range 20 {
		push("busy")
		push("new")
	}
	for range 20 {
		served[q.Dequeue(1, acceptAll).Organisation]++
	}
	g.Expect(served["new"]).To(gomega.BeNumerically("~", 10, 1))
}
