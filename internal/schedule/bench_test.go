package schedule_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// BenchmarkDecision measures the scheduling of one request: admission, queueing,
// choice of a target, reservation, first token and release. Each goroutine keeps up
// to 32 requests in progress.
func BenchmarkDecision(b *testing.B) {
	for _, models := range []int{1, 4} {
		for _, targets := range []int{20, 100, 500} {
			for _, subset := range []int{32, 1000} {
				if targets == 20 && subset == 32 {
					continue // both subset sizes exceed 20 targets and give the same benchmark
				}
				name := fmt.Sprintf("models=%d/targets=%d/subset=%d", models, targets, subset)
				b.Run(name, func(b *testing.B) { benchDecision(b, models, targets, subset) })
			}
		}
	}
}

func benchDecision(b *testing.B, models, targets, subset int) {
	l := schedule.New(schedule.Config{Self: "host-0", SubsetSize: subset})
	var list []topology.Target
	for i := range targets {
		e := engine(fmt.Sprintf("e%03d", i), 480_000)
		e.Model = fmt.Sprintf("m%d", i%models)
		list = append(list, e)
	}
	var hosts []string
	for i := range 200 {
		hosts = append(hosts, fmt.Sprintf("host-%d", i))
	}
	if subset > targets {
		hosts = hosts[:1]
	}
	l.SetHosts(hosts, nil)
	l.SetTargets(list)
	now := time.Now()
	for _, t := range list {
		l.Report(now, t.ID, engineapi.LoadReport{
			Incarnation: "1", Model: t.Model, ObservedMS: now.UnixMilli(), PrefillRate: 1e6, DecodeRate: 1000,
		})
	}
	var worker, refused atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		model := fmt.Sprintf("m%d", int(worker.Add(1))%models)
		var open []schedule.Grant
		for pb.Next() {
			now := time.Now()
			req := schedule.Request{
				ID: "r", Partner: "p", Organisation: "o", Model: model, PromptTokens: 1_000, MaxTokens: 10,
				Arrival: now, Deadline: now.Add(time.Minute),
			}
			var got schedule.Grant
			if _, err := l.Offer(now, req, func(g schedule.Grant, _ error) { got = g }); err != nil || got == nil {
				refused.Add(1)
				continue
			}
			open = append(open, got)
			if len(open) == 32 {
				open[0].FirstToken(now)
				open[0].Release(now, outcome.Done)
				open = open[1:]
			}
		}
		for _, g := range open {
			g.Release(time.Now(), outcome.Done)
		}
	})
	b.ReportMetric(float64(refused.Load())/float64(b.N), "not-granted/op")
}
