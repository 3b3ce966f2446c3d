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
		d.longPrefill.add(prefillTime.Seconds(), now)
	}
}
