package schedule_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

func engine(id string, memory int) topology.Target {
	return topology.Target{ID: id, Kind: topology.KindEngine, Domain: "north", Model: "advice", MemoryTokens: memory}
}

func local(targets ...topology.Target) *schedule.Local {
	l := schedule.New(schedule.Config{Self: "host-1", Domain: "north"})
	l.SetTargets(targets)
	l.SetHosts([]string{"host-1"}, nil)
	for _, t := range targets {
		l.Report(time.Now(), t.ID, engineapi.LoadReport{
			Incarnation: "1", Model: t.Model, ObservedMS: time.Now().UnixMilli(),
			PrefillRate: 40_000, DecodeRate: 25, MemoryTotal: t.MemoryTokens,
		})
	}
	return l
}

func prompt(tokens, output int, limit time.Duration) schedule.Request {
	now := time.Now()
	return schedule.Request{
		ID: "r", Partner: "aarhus", Organisation: "joiners", Model: "advice",
		PromptTokens: tokens, MaxTokens: output, Arrival: now, Deadline: now.Add(limit),
	}
}

// A request that waits for memory starts as soon as the memory is released.
func TestAcquireWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := local(engine("e1", 10_000))
		first, err := l.Acquire(t.Context(), prompt(8_000, 100, time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		go func() {
			time.Sleep(3 * time.Second)
			first.Release(time.Now(), outcome.Done)
		}()
		start := time.Now()
		second, err := l.Acquire(t.Context(), prompt(8_000, 100, time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(start)).To(gomega.Equal(3 * time.Second))
		second.Release(time.Now(), outcome.Done)
		g.Expect(l.Snapshot().Targets[0].Reserved).To(gomega.BeZero())
	})
}

// A queued request expires as soon as it can no longer finish before its deadline.
func TestAcquireExpiresWhenDeadlineUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := local(engine("e1", 10_000))
		held, err := l.Acquire(t.Context(), prompt(8_000, 100, time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		start := time.Now()
		_, err = l.Acquire(t.Context(), prompt(8_000, 100, 10*time.Second))
		e := apierror.From(err)
		g.Expect(e.Kind).To(gomega.Equal(apierror.KindDeadline))
		g.Expect(e.Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(e.RetryAfter).To(gomega.BeNumerically(">", 0))
		service := 8_000/40_000.*float64(time.Second) + 60/25.*float64(time.Second)
		g.Expect(time.Since(start)).To(gomega.Equal(10*time.Second - time.Duration(service)))
		held.Release(time.Now(), outcome.Done)
	})
}

func TestAcquireRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := local(engine("e1", 10_000), engine("e2", 20_000))
		kind := func(req schedule.Request) *apierror.Error {
			_, err := l.Acquire(t.Context(), req)
			return apierror.From(err)
		}
		tooLong := kind(prompt(20_000, 1, time.Minute))
		g.Expect(tooLong.Kind).To(gomega.Equal(apierror.KindPromptTooLong))
		g.Expect(tooLong.Message).To(gomega.ContainSubstring("20000"))
		g.Expect(kind(prompt(8_000, 1_000, 10*time.Second)).Kind).To(gomega.Equal(apierror.KindDeadline))
		other := prompt(10, 10, time.Minute)
		other.Model = "unheard"
		g.Expect(kind(other).Kind).To(gomega.Equal(apierror.KindUnknownModel))
		l.TargetDown(time.Now(), "e1", "1")
		l.TargetLeaving("e2", "1")
		_, err := l.Acquire(t.Context(), prompt(10, 10, time.Minute))
		var full *schedule.DomainFullError
		g.Expect(errors.As(err, &full)).To(gomega.BeTrue())
		g.Expect(apierror.From(err).Kind).To(gomega.Equal(apierror.KindNoTarget))
	})
}

// A request whose caller cancels while it is queued leaves neither a queue entry
// nor a reservation.
func TestAcquireCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := local(engine("e1", 10_000))
		held, err := l.Acquire(t.Context(), prompt(8_000, 100, time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = l.Acquire(ctx, prompt(8_000, 100, time.Minute))
		g.Expect(apierror.From(err).Outcome).To(gomega.Equal(outcome.NotRun))
		held.Release(time.Now(), outcome.Done)
		s := l.Snapshot()
		g.Expect(s.Models[0].Queued).To(gomega.BeEmpty())
		g.Expect(s.Targets[0].Reserved).To(gomega.BeZero())
	})
}
