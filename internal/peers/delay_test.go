package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
