package peers

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/decay"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

const (
	// delayTimeConstant is the time constant of the decay with which delays are averaged.
	delayTimeConstant = time.Second
	// clockDrift is how much the clocks of two hosts may drift apart, as a fraction of the time
	// passed.
	clockDrift = 200e-6
	// lateUpdates is the delay of updates from which on it is logged.
	lateUpdates = 100 * time.Millisecond
)

// updateDelays measures how late the updates of other hosts' jobs arrive, beyond the shortest
// delay of the same host. Since the clocks of two hosts have an unknown offset, only the
// differences between the delays of one host are known. The zero value is ready for use. It is
// safe for concurrent use.
type updateDelays struct {
	mu      sync.Mutex
	origins map[string]*originDelay
	jobs    decay.Sum // started jobs that were heard of
	excess  decay.Sum // in seconds, of each of them
	late    bool      // as logged
}

// originDelay holds the times at which updates of one host left it and arrived.
type originDelay struct {
	shortest time.Duration // difference between the clocks plus the shortest delay
	at       time.Time
	uptime   time.Duration // of the host, in its latest update
}

// record records that an update with a number of started jobs has arrived, whose oldest event
// occurred after the host had been running for a time.
func (d *updateDelays) record(origin string, uptime time.Duration, jobs int, now time.Time, sinceStart time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	offset := sinceStart - uptime
	o := d.origins[origin]
	if o == nil || uptime < o.uptime { // another process of the host
		o = &originDelay{shortest: offset, at: now}
		if d.origins == nil {
			d.origins = make(map[string]*originDelay)
		}
		d.origins[origin] = o
	}
	drifted := o.shortest + time.Duration(clockDrift*float64(now.Sub(o.at)))
	o.shortest, o.at, o.uptime = min(drifted, offset), now, uptime
	d.jobs.Add(float64(jobs), now, delayTimeConstant)
	d.excess.Add(float64(jobs)*(offset-o.shortest).Seconds(), now, delayTimeConstant)
}

// forget drops what is known of hosts that are not in use any more.
func (d *updateDelays) forget(unusedFor time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for origin, o := range d.origins {
		if now.Sub(o.at) > unusedFor {
			delete(d.origins, origin)
		}
	}
}

// mean returns the mean delay of recent updates beyond the shortest, weighted by the jobs that
// they tell of. One job without a delay is added, so that it falls to 0 when none are heard of.
func (d *updateDelays) mean(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	excess, jobs := d.excess.Value(now, delayTimeConstant), d.jobs.Value(now, delayTimeConstant)
	return time.Duration(excess / (jobs + 1) * float64(time.Second))
}

// uptimeMillis returns a time as the uptime of this process, in the form that hosts exchange.
func (s *Service) uptimeMillis(at time.Time) uint64 {
	return uint64(max(0, at.Sub(s.startedAt).Milliseconds())) + 1
}

// recordDelay records the delay of a host's update that tells of new jobs. The first one of a
// connection holds jobs that are not new, and is left out; heartbeats take other paths.
func (s *Service) recordDelay(origin string, n *peerspb.News) {
	if n.GetUptimeMs() == 0 || len(n.GetStarted()) == 0 {
		return
	}
	uptime := time.Duration(n.GetUptimeMs()-1) * time.Millisecond
	now := time.Now()
	s.delays.record(origin, uptime, len(n.GetStarted()), now, now.Sub(s.startedAt))
}

// UpdateDelay returns the mean delay with which this host has lately learned of the jobs of
// others.
func (s *Service) UpdateDelay() time.Duration {
	return s.shortestDelay() + s.delays.mean(time.Now())
}

// logDelay logs when updates begin to be late, and when they are in time again.
func (s *Service) logDelay() {
	delay := s.UpdateDelay()
	s.delays.forget(hostTTL, time.Now())
	if late := delay > lateUpdates; late != s.delays.late {
		s.delays.late = late
		s.cfg.Log.Info("updates of other hosts' jobs", zap.Bool("late", late), zap.Duration("delay", delay))
	}
}
