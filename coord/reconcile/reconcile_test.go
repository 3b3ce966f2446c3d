package reconcile_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/reconcile"
)

// Several processes, each of which believes that it looks after every target, roll out a new
// version that reaches them at different times: the minimum and the weight store's rate hold.
func TestRolloutKeepsMinimumAndRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(3, 12).Draw(rt, "targets")
		minimum := rapid.IntRange(0, size-2).Draw(rt, "minimum")
		rate := rapid.SampledFrom([]float64{0.2, 1, 3, 20}).Draw(rt, "loads per second")
		processes := rapid.IntRange(1, 4).Draw(rt, "processes")
		spread := rapid.IntRange(0, 9).Draw(rt, "seconds until all know")
		loadTime := time.Duration(rapid.IntRange(1, 30).Draw(rt, "load seconds")) * time.Second
		midway := time.Duration(rapid.IntRange(0, 60).Draw(rt, "seconds until a third plan")) * time.Second
		var failure string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(size)
			for i := range size {
				e := f.engines[engineID(i)]
				e.loadTime, e.latency = loadTime, time.Duration(i*7%40)*time.Millisecond
			}
			first, second := f.plan(1, "1", minimum, rate), f.plan(2, "2", minimum, rate)
			var all []*process
			for range processes {
				all = append(all, newProcess(f, first))
			}
			start(t, all...)
			time.Sleep(settle)
			spreadPlan(all, second, time.Duration(spread)*time.Second)
			time.Sleep(midway)
			third := f.planFor(size-1, 3, "3", minimum, rate) // one target less: all slots move
			spreadPlan(all, third, time.Duration(spread)*time.Second)
			time.Sleep(settle + time.Duration(size+1)*(2*loadTime+third.Cycle()+2*interval))
			failure = f.verify(size-1, minimum, rate)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// spreadPlan lets the processes hear of a plan one after the other.
func spreadPlan(all []*process, plan *reconcile.Plan, over time.Duration) {
	for _, p := range all {
		p.adopt(plan)
		time.Sleep(over / time.Duration(len(all)))
	}
}

func (f *fleet) verify(size, minimum int, rate float64) string {
	if done := f.count("3"); done != size {
		return fmt.Sprintf("%d of %d targets serve the new version", done, size)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lowest[model] < minimum {
		return fmt.Sprintf("only %d targets served, the minimum is %d", f.lowest[model], minimum)
	}
	if worst := f.worst(max(time.Second, time.Duration(float64(time.Second)/rate))); float64(worst) > max(1, rate) {
		return fmt.Sprintf("%d loads started within a window for %v a second", worst, rate)
	}
	return ""
}

// worst is the largest number of loads that started within a window.
func (f *fleet) worst(window time.Duration) int {
	worst := 0
	for i, first := range f.loads {
		n := 0
		for _, l := range f.loads[i:] {
			if l.at.Sub(first.at) < window {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// A process is frozen between its last check and the send, while another brings the target to a
// newer plan, and wakes up an hour late.
func TestLateOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { lateOrder(t, checks) })
		})
	}
}

func lateOrder(t *testing.T, checks bool) {
	g := gomega.NewWithT(t)
	f := newFleet(1)
	e := f.engines["engine-00"]
	e.checks = checks
	first := f.plan(1, "1", 0, 1)
	sleeper, other := newProcess(f, first), newProcess(f, first)
	second := f.plan(2, "2", 0, 1)
	const frozen = time.Hour
	var once sync.Once
	woke := make(chan struct{})
	sleeper.beforeSend = func() {
		once.Do(func() {
			sleeper.freeze(frozen)
			close(woke)
		})
	}
	start(t, sleeper, other)
	sleeper.adopt(second)
	time.Sleep(settle + time.Minute)
	third := f.plan(3, "3", 0, 1)
	other.adopt(third)
	time.Sleep(frozen / 2)
	g.Expect(f.count("3")).To(gomega.Equal(1))
	<-woke
	time.Sleep(time.Millisecond)
	if checks {
		time.Sleep(time.Minute)
		g.Expect(f.count("3")).To(gomega.Equal(1))
		g.Expect(f.wentBack()).To(gomega.BeEmpty())
		g.Expect(sleeper.reconciler.Stats().Fenced).To(gomega.BeEquivalentTo(1))
		return
	}
	late, _ := e.state()
	g.Expect(late.Spec.Version).To(gomega.Equal("2"), "the late order must have arrived for the test to mean something")
	time.Sleep(interval + third.Cycle() + 2*timeout + 2*e.loadTime) // the old load runs to its end
	g.Expect(f.count("3")).To(gomega.Equal(1))
	g.Expect(sleeper.reconciler.Stats().Late).To(gomega.BeEquivalentTo(1))
	sleeper.adopt(third)
	time.Sleep(time.Hour)
	g.Expect(f.count("3")).To(gomega.Equal(1))
}

// The target never saw the plan of the late order: it must refuse it all the same, since it
// learned the number of a newer plan that left its state as it was.
func TestLateOrderOfASkippedPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(1)
		first := f.plan(1, "1", 0, 1)
		sleeper, other := newProcess(f, first), newProcess(f, first)
		sleeper.beforeSend = func() { sleeper.freeze(time.Hour) }
		start(t, sleeper)
		sleeper.adopt(f.plan(2, "2", 0, 1))
		time.Sleep(time.Minute)
		other.adopt(f.plan(3, "1", 0, 1))
		start(t, other)
		time.Sleep(2 * time.Hour)
		g.Expect(f.started()).To(gomega.BeEmpty())
		g.Expect(sleeper.reconciler.Stats().Fenced).To(gomega.BeNumerically(">", 0))
	})
}

// A process that was frozen before the last check sends nothing to a target that
// does not check, whatever it believes.
func TestFrozenBeforeTheCheckSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(1)
		f.engines["engine-00"].checks = false
		p := newProcess(f, f.plan(2, "2", 0, 0))
		var freezes atomic.Int64
		p.afterRead = func() {
			freezes.Add(1)
			p.freeze(time.Minute)
			p.mu.Lock()
			p.confirm() // even if the news comes before the detector runs
			p.mu.Unlock()
		}
		start(t, p)
		time.Sleep(10 * time.Minute)
		g.Expect(freezes.Load()).To(gomega.BeNumerically(">", 3))
		g.Expect(f.started()).To(gomega.BeEmpty())
		g.Expect(p.reconciler.Stats().Paused).To(gomega.BeNumerically(">", 0))
	})
}

// While the plan is not confirmed, only targets get orders that check fencing and don't serve.
func TestUnconfirmedPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(3)
		f.engines["engine-01"].checks = false
		f.engines["engine-01"].loading = 1
		f.engines["engine-02"].loading = 1
		p := newProcess(f, f.plan(2, "2", 0, 0))
		f.newest = 3
		start(t, p)
		time.Sleep(time.Hour)
		g.Expect(f.started()).To(gomega.HaveLen(1))
		g.Expect(f.started()[0].target).To(gomega.Equal("engine-02"))
		g.Expect(p.reconciler.Status()[0].Phase).To(gomega.Equal(reconcile.PhaseUnconfirmed))
	})
}
