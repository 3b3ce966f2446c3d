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

// Several processes that all consider themselves responsible for every target roll out a new
// version that reaches them at different times. The minimum and the load rate must hold.
func TestRolloutKeepsMinimumAndRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(3, 12).Draw(rt, "targets")
		minimum := rapid.IntRange(0, size-2).Draw(rt, "minimum")
		rate := rapid.SampledFrom([]float64{0.2, 1, 3, 20}).Draw(rt, "loads per second")
		processes := rapid.IntRange(1, 4).Draw(rt, "processes")
		rolloutSeconds := rapid.IntRange(0, 9).Draw(rt, "seconds until all know")
		loadTime := time.Duration(rapid.IntRange(1, 30).Draw(rt, "load seconds")) * time.Second
		thirdPlanDelay := time.Duration(rapid.IntRange(0, 60).Draw(rt, "seconds until a third plan")) * time.Second
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
			time.Sleep(settleDelay)
			distributePlan(all, second, time.Duration(rolloutSeconds)*time.Second)
			time.Sleep(thirdPlanDelay)
			third := f.planFor(size-1, 3, "3", minimum, rate) // one target fewer, so all slots change
			distributePlan(all, third, time.Duration(rolloutSeconds)*time.Second)
			time.Sleep(settleDelay + time.Duration(size+1)*(2*loadTime+third.SlotCycle()+2*interval))
			failure = f.verify(size-1, minimum, rate)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// distributePlan delivers a plan to the processes one after the other, over the given duration.
func distributePlan(all []*process, plan *reconcile.Plan, over time.Duration) {
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
	if f.minServing[model] < minimum {
		return fmt.Sprintf("only %d targets were serving, the minimum is %d", f.minServing[model], minimum)
	}
	if mostLoads := f.mostLoadsWithin(max(time.Second, time.Duration(float64(time.Second)/rate))); float64(mostLoads) > max(1, rate) {
		return fmt.Sprintf("%d loads started within one window, the limit is %v per second", mostLoads, rate)
	}
	return ""
}

// mostLoadsWithin returns the largest number of loads that started within any window.
func (f *fleet) mostLoadsWithin(window time.Duration) int {
	mostLoads := 0
	for i, first := range f.loads {
		n := 0
		for _, l := range f.loads[i:] {
			if l.at.Sub(first.at) < window {
				n++
			}
		}
		mostLoads = max(mostLoads, n)
	}
	return mostLoads
}

// A process is paused for an hour between its last check and the send, while another process
// brings the target to a newer plan. A target that checks fencing must refuse the late order; any
// other target must return to the newer plan within the bound of the package comment.
func TestLateOrder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checksFencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { lateOrder(t, checksFencing) })
		})
	}
}

func lateOrder(t *testing.T, checksFencing bool) {
	g := gomega.NewWithT(t)
	f := newFleet(1)
	e := f.engines["engine-00"]
	e.checksFencing = checksFencing
	first := f.plan(1, "1", 0, 1)
	pausedProcess, other := newProcess(f, first), newProcess(f, first)
	second := f.plan(2, "2", 0, 1)
	const pauseDuration = time.Hour
	var once sync.Once
	resumed := make(chan struct{})
	pausedProcess.beforeSend = func() {
		once.Do(func() {
			pausedProcess.pauseFor(pauseDuration)
			close(resumed)
		})
	}
	start(t, pausedProcess, other)
	pausedProcess.adopt(second)
	time.Sleep(settleDelay + time.Minute)
	third := f.plan(3, "3", 0, 1)
	other.adopt(third)
	time.Sleep(pauseDuration / 2)
	g.Expect(f.count("3")).To(gomega.Equal(1))
	<-resumed
	time.Sleep(time.Millisecond)
	if checksFencing {
		time.Sleep(time.Minute)
		g.Expect(f.count("3")).To(gomega.Equal(1))
		g.Expect(f.regressedTargets()).To(gomega.BeEmpty())
		g.Expect(pausedProcess.reconciler.Stats().FencedOrders).To(gomega.BeEquivalentTo(1))
		return
	}
	late, _ := e.state()
	g.Expect(late.Spec.Version).To(gomega.Equal("2"), "the late order must have been accepted, or the test checks nothing")
	time.Sleep(interval + third.SlotCycle() + 2*timeout + 2*e.loadTime) // the load of the late order also runs to its end
	g.Expect(f.count("3")).To(gomega.Equal(1))
	g.Expect(pausedProcess.reconciler.Stats().LateOrders).To(gomega.BeEquivalentTo(1))
	pausedProcess.adopt(third)
	time.Sleep(time.Hour)
	g.Expect(f.count("3")).To(gomega.Equal(1))
}

// The target never received the plan of the late order. It must refuse the order all the same,
// since it has stored the fencing number of a newer plan that did not change its state.
func TestLateOrderOfSkippedPlanIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(1)
		first := f.plan(1, "1", 0, 1)
		pausedProcess, other := newProcess(f, first), newProcess(f, first)
		pausedProcess.beforeSend = func() { pausedProcess.pauseFor(time.Hour) }
		start(t, pausedProcess)
		pausedProcess.adopt(f.plan(2, "2", 0, 1))
		time.Sleep(time.Minute)
		other.adopt(f.plan(3, "1", 0, 1))
		start(t, other)
		time.Sleep(2 * time.Hour)
		g.Expect(f.startedLoads()).To(gomega.BeEmpty())
		g.Expect(pausedProcess.reconciler.Stats().FencedOrders).To(gomega.BeNumerically(">", 0))
	})
}

// A process that was paused before the last check sends no order to a target that does not
// check fencing, even if the plan has been confirmed again in the meantime.
func TestPauseBeforeLastCheckSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(1)
		f.engines["engine-00"].checksFencing = false
		p := newProcess(f, f.plan(2, "2", 0, 0))
		var pauses atomic.Int64
		p.afterRead = func() {
			pauses.Add(1)
			p.pauseFor(time.Minute)
			p.mu.Lock()
			p.confirm() // the confirmation arrives before the pause detector runs
			p.mu.Unlock()
		}
		start(t, p)
		time.Sleep(10 * time.Minute)
		g.Expect(pauses.Load()).To(gomega.BeNumerically(">", 3))
		g.Expect(f.startedLoads()).To(gomega.BeEmpty())
		g.Expect(p.reconciler.Stats().SkippedPaused).To(gomega.BeNumerically(">", 0))
	})
}

// While the plan is not confirmed, only targets that check fencing and are not serving receive
// orders.
func TestUnconfirmedPlanLimitsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(3)
		f.engines["engine-01"].checksFencing = false
		f.engines["engine-01"].loading = 1
		f.engines["engine-02"].loading = 1
		p := newProcess(f, f.plan(2, "2", 0, 0))
		f.newestRevision = 3
		start(t, p)
		time.Sleep(time.Hour)
		g.Expect(f.startedLoads()).To(gomega.HaveLen(1))
		g.Expect(f.startedLoads()[0].target).To(gomega.Equal("engine-02"))
		g.Expect(p.reconciler.Status()[0].Phase).To(gomega.Equal(reconcile.PhaseUnconfirmed))
	})
}
