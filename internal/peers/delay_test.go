package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
	"github.com/plantainrun/plantainrun/internal/placement"
)

const ms = time.Millisecond

// play records updates of one job each, ten milliseconds apart, of a host whose clock is ahead,
// and returns the mean delay after them.
func play(d *updateDelays, from, n int, delay func(i int) time.Duration) time.Duration {
	const clockOffset = 90 * time.Second
	start := time.Unix(1e9, 0)
	var now time.Time
	for i := from; i < from+n; i++ {
		sent := time.Duration(i) * 10 * ms
		arrived := sent + delay(i)
		now = start.Add(arrived)
		d.record("host", clockOffset+sent, 1, now, arrived)
	}
	return d.mean(now)
}

func TestDelaysAreMeasuredBeyondTheShortest(t *testing.T) {
	g := NewWithT(t)
	var d updateDelays
	g.Expect(play(&d, 0, 200, func(int) time.Duration { return 20 * ms })).To(BeNumerically("<", 2*ms), "the same delay all the time, whatever the clocks")
	g.Expect(play(&d, 200, 300, func(int) time.Duration { return 320 * ms })).To(BeNumerically("~", 300*ms, 30*ms))
	g.Expect(play(&d, 530, 300, func(int) time.Duration { return 20 * ms })).To(BeNumerically("<", 30*ms), "in time again")
}

func TestRestartOfAHostIsNoDelay(t *testing.T) {
	g := NewWithT(t)
	var d updateDelays
	start := time.Unix(1e9, 0)
	d.record("host", 100*time.Second, 1, start, time.Second)
	d.record("host", 2*time.Second, 1, start.Add(ms), time.Second+ms)
	g.Expect(d.mean(start.Add(ms))).To(BeZero())
}

func TestDelayFallsWhenNoJobsAreHeardOf(t *testing.T) {
	g := NewWithT(t)
	var d updateDelays
	g.Expect(play(&d, 0, 2, func(i int) time.Duration { return time.Duration(i) * 400 * ms })).To(BeNumerically(">", 100*ms))
	g.Expect(d.mean(time.Unix(1e9, 0).Add(10 * time.Second))).To(BeNumerically("<", ms))
}

// Guards against hosts that all choose the same engine since updates arrive later than they reckon
// with.
func TestPlacerReckonsWithTheDelayThatUpdatesHave(t *testing.T) {
	const late = 600 * ms
	g := NewWithT(t)
	placer := placement.NewPlacer(time.Now, 1)
	s := New(Config{HostID: "self", Placer: placer, Log: zap.NewNop()})
	s.startedAt = time.Now().Add(-time.Minute)
	hear := func(id uint64, uptime time.Duration) {
		job := &peerspb.Job{Id: id, Service: "llm", Shares: []*peerspb.Share{{Target: "engine", WorkUs: 30_000, Writes: true}}}
		s.applyJobs("peer", &peerspb.News{Started: []*peerspb.Job{job}, UptimeMs: uint64(uptime.Milliseconds())})
	}
	hear(0, time.Minute)
	s.updatePlacer()
	g.Expect(placer.PropagationDelay()).To(BeNumerically("<", late/2), "updates are in time")
	s.startedAt = s.startedAt.Add(-time.Second) // a second later
	for id := range uint64(100) {
		hear(id+1, time.Minute+time.Second-late)
	}
	s.updatePlacer()
	g.Expect(placer.PropagationDelay()).To(BeNumerically("~", late, late/10))
}
