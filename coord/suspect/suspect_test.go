package suspect_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/suspect"
)

// A target that repeatedly dies spontaneously ends the same harmless requests each
// time. None of them may be put into quarantine.
func TestSpontaneousDeathsQuarantineNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDomain(g, 3, 4)
	for i := range 5 {
		d.add(fmt.Sprint("question-", i), false)
	}
	for range 10 {
		for i, r := range d.requests {
			r.done = false
			if r.run == nil {
				d.send(r, i%3, 0)
			}
		}
		d.killTarget(0)
		if d.incarnations[0]%2 == 0 {
			d.finishAll()
		}
	}
	for _, host := range d.hosts {
		g.Expect(host.Stats().Quarantines).To(gomega.BeZero())
	}
}

// Acquire returns as soon as the run that it waits for has ended.
func TestAcquireWaitsForOtherRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tracker := suspect.New(clock.System{}, suspect.DefaultConfig())
		fp := suspect.FingerprintOf([]byte("prompt"))
		first, err := tracker.Acquire(t.Context(), fp)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		second, err := tracker.Acquire(t.Context(), fp)
		g.Expect(err).NotTo(gomega.HaveOccurred())

		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = tracker.Acquire(short, fp)
		g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))

		g.Expect(first.Assign("target-1", "a")).To(gomega.Succeed())
		tracker.TargetDied("target-1", "a")
		var excluded *suspect.ExcludedTargetError
		g.Expect(errors.As(second.Assign("target-1", "b"), &excluded)).To(gomega.BeTrue())
		g.Expect(second.Assign("target-2", "a")).To(gomega.Succeed())
		tracker.TargetDied("target-2", "a")

		var quarantined *suspect.QuarantinedError
		_, err = tracker.Acquire(t.Context(), fp)
		g.Expect(errors.As(err, &quarantined)).To(gomega.BeTrue())
		time.Sleep(quarantined.RetryAfter)
		_, err = tracker.Acquire(t.Context(), fp)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

func TestMemoryIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := suspect.DefaultConfig()
	cfg.MaxSuspects, cfg.MaxTargets, cfg.Shards = 64, 16, 4
	tracker := suspect.New(clock.NewManual(time.Unix(0, 0)), cfg)
	for i := range 1000 {
		r, err := tracker.TryAcquire(suspect.FingerprintOf([]byte(fmt.Sprint(i))))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Assign(fmt.Sprint("target-", i), "a")).To(gomega.Succeed())
		tracker.TargetDied(fmt.Sprint("target-", i), "a")
	}
	g.Expect(tracker.Stats().Suspects).To(gomega.BeNumerically("<=", 64))
	g.Expect(len(tracker.Snapshot())).To(gomega.BeNumerically("<=", 16))
}

// A copy that was in flight on another target when its fingerprint became a suspect
// counts as a suspect on that target.
func TestSuspectsAvoidCopiesInFlight(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := suspect.New(clock.NewManual(time.Unix(0, 0)), suspect.DefaultConfig())
	begin := func(prompt, target string) {
		r, err := tracker.TryAcquire(suspect.FingerprintOf([]byte(prompt)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Assign(target, "a")).To(gomega.Succeed())
	}
	begin("crash", "target-1")
	begin("crash", "target-2")
	begin("question", "target-1")
	tracker.TargetDied("target-1", "a")
	again, err := tracker.TryAcquire(suspect.FingerprintOf([]byte("question")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.ExcludedTargets()).To(gomega.Equal([]string{"target-1", "target-2"}))
}

// A run that is assigned to another target after a death counts as a new run, and
// reports the death of the process that it was last assigned to.
func TestRunIsReassignedAfterTargetDeath(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := suspect.New(clock.NewManual(time.Unix(0, 0)), suspect.DefaultConfig())
	r, err := tracker.TryAcquire(suspect.FingerprintOf([]byte("prompt")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var quarantined *suspect.QuarantinedError
	for i := range 3 {
		err := r.Assign(fmt.Sprint("target-", i), "a")
		g.Expect(errors.As(err, &quarantined)).To(gomega.Equal(i == suspect.MaxDeathsPerFingerprint), "%d: %v", i, err)
		r.TargetDied()
	}
	r.End(false)
	g.Expect(tracker.Stats().CountedDeaths).To(gomega.BeEquivalentTo(suspect.MaxDeathsPerFingerprint))
}

// After concurrent runs and deaths, no state remains once all runs have ended and
// the quarantine period is over.
func TestConcurrentUseLeaksNoState(t *testing.T) {
	g := gomega.NewWithT(t)
	clk := clock.NewManual(time.Unix(0, 0))
	cfg := suspect.DefaultConfig()
	tracker := suspect.New(clk, cfg)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 300 {
				r, err := tracker.TryAcquire(suspect.FingerprintOf([]byte(fmt.Sprint(i % 40))))
				if err != nil {
					continue
				}
				target := fmt.Sprint("target-", i%5)
				err = r.Assign(target, fmt.Sprint(i/100))
				if err == nil && worker == 0 && i%50 == 0 {
					tracker.TargetDied(target, fmt.Sprint(i/100))
				}
				r.End(err == nil && i%3 != 0)
			}
		})
	}
	group.Wait()
	clk.Advance(2 * cfg.QuarantinePeriod)
	for i := range 40 {
		r, err := tracker.TryAcquire(suspect.FingerprintOf([]byte(fmt.Sprint(i))))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.IsSuspect()).To(gomega.BeFalse())
		r.End(false)
	}
	g.Expect(tracker.Stats().Suspects).To(gomega.BeZero())
}

func BenchmarkRun(b *testing.B) {
	for _, shards := range []int{1, 16} {
		b.Run(fmt.Sprint("shards=", shards), func(b *testing.B) {
			cfg := suspect.DefaultConfig()
			cfg.Shards = shards
			tracker := suspect.New(clock.System{}, cfg)
			var next atomic.Uint64
			b.RunParallel(func(pb *testing.PB) {
				worker := fmt.Sprint(next.Add(1))
				fp := suspect.FingerprintOf([]byte(worker))
				for pb.Next() {
					r, err := tracker.TryAcquire(fp)
					if err != nil {
						b.Error(err)
						return
					}
					_ = r.Assign("target-"+worker, "a")
					r.End(true)
				}
			})
		})
	}
}

func ExampleTracker() {
	tracker := suspect.New(clock.System{}, suspect.DefaultConfig())
	fp := suspect.FingerprintOf([]byte("model"), []byte("prompt"))

	run, _ := tracker.TryAcquire(fp)
	_ = run.Assign("target-1", "start-1")
	tracker.TargetDied("target-1", "start-1")

	again, _ := tracker.TryAcquire(fp)
	fmt.Println(again.IsSuspect(), again.ExcludedTargets())
	_ = again.Assign("target-2", "start-1")
	again.End(true)

	cleared, _ := tracker.TryAcquire(fp)
	fmt.Println(cleared.IsSuspect())
	// Output:
	// true [target-1]
	// false
}
