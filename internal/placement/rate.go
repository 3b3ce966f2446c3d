package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/decay"
)

const (
	// rateTimeConstant is the time constant of the exponential decay of rates.
	rateTimeConstant = 2 * time.Second
	// maxShortPrefill is the prefill time up to which a prompt counts as short.
	maxShortPrefill = 120 * time.Millisecond
	// maxCountedPrefill limits what one prompt adds to the demand for prefill.
	maxCountedPrefill = 4 * time.Second
)

// rate estimates an amount per second as an exponentially decaying sum.
type rate struct{ sum decay.Sum }

func (r *rate) add(amount float64, now time.Time) { r.sum.Add(amount, now, rateTimeConstant) }

func (r *rate) perSecond(now time.Time) float64 {
	return r.sum.Value(now, rateTimeConstant) / rateTimeConstant.Seconds()
}

// demand is the rate at which prompts arrive at a service, from all hosts.
type demand struct {
	shortPrompts rate // prompts
	longPrefill  rate // seconds of prefill of prompts that are not short
	objectives   rate // the same, multiplied by the time until the objective in seconds
}

// meanObjective returns the mean objective of the prefill of long prompts that arrived
// lately, with one more prompt.
func (d *demand) meanObjective(work, objective time.Duration, now time.Time) time.Duration {
	own := min(work, maxCountedPrefill).Seconds()
	total := d.longPrefill.sum.Value(now, rateTimeConstant) + own
	weighted := d.objectives.sum.Value(now, rateTimeConstant) + own*objective.Seconds()
	return time.Duration(weighted / total * float64(time.Second))
}

func (d *demand) recordArrival(j *Job, now time.Time) {
	var prefillTime time.Duration
	for _, s := range j.Shares {
		prefillTime += s.PrefillTime
	}
	switch {
	case prefillTime == 0:
	case prefillTime <= maxShortPrefill:
		d.shortPrompts.add(1, now)
	default:
		counted := min(prefillTime, maxCountedPrefill).Seconds()
		d.longPrefill.add(counted, now)
		d.objectives.add(counted*max(j.Objective, 0).Seconds(), now)
	}
}
