package suspect_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/suspect"
)

// A target that dies by itself again and again takes the same questions with
// it each time. None of them may end up in quarantine.
func TestSelfDeathsQuarantineNobody(t *testing.T) {
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
		d.die(0)
		if d.life[0]%2 == 0 {
			d.settle()
		}
	}
	for _, host := range d.hosts {
		g.Expect(host.Stats().Quarantines).To(gomega.BeZero())
	}
}

// A request that waits for the outcome of another run is told as soon as that
// is judged.
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

		g.Expect(first.On("target-1", "a")).To(gomega.Succeed())
		tracker.TargetDied("target-1", "a")
		var avoid *suspect.AvoidError
		g.Expect(errors.As(second.On("target-1", "b"), &avoid)).To(gomega.BeTrue())
		g.Expect(second.On("target-2", "a")).To(gomega.Succeed())
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
	cfg.MaxMarked, cfg.MaxTargets, cfg.Shards = 64, 16, 4
	tracker := suspect.New(clock.NewManual(time.Unix(0, 0)), cfg)
	for i := range 1000 {
		r, err := tracker.TryAcquire(suspect.FingerprintOf([]byte(fmt.Sprint(i))))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.On(fmt.Sprint("target-", i), "a")).To(gomega.Succeed())
		tracker.TargetDied(fmt.Sprint("target-", i), "a")
	}
	g.Expect(tracker.Stats().Marked).To(gomega.BeNumerically("<=", 64))
	g.Expect(len(tracker.Snapshot())).To(gomega.BeNumerically("<=", 16))
}

func ExampleTracker() {
	tracker := suspect.New(clock.System{}, suspect.DefaultConfig())
	fp := suspect.FingerprintOf([]byte("model"), []byte("prompt"))

	run, _ := tracker.TryAcquire(fp)
	_ = run.On("target-1", "start-1")
	tracker.TargetDied("target-1", "start-1")

	again, _ := tracker.TryAcquire(fp)
	fmt.Println(again.Alone(), again.Avoid())
	_ = again.On("target-2", "start-1")
	again.End(true)

	cleared, _ := tracker.TryAcquire(fp)
	fmt.Println(cleared.Alone())
	// Output:
	// true [target-1]
	// false
}
