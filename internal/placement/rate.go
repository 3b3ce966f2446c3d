package placement

import (
	"math"
	"time"
)

const (
	// rateMemory is the time constant of arrival rates.
	rateMemory = 2 * time.Second
	// shortWork is the reading up to which a prompt counts as short.
	shortWork = 120 * time.Millisecond
	// maxCounted bounds what one prompt adds to the demand for reading.
	maxCounted = 4 * time.Second
)

// rate estimates an amount a second by exponentially decaying sums.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.decay(now)
	r.sum += amount
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateMemory.Seconds()
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.sum *= math.Exp(-now.Sub(r.at).Seconds() / rateMemory.Seconds())
	}
	r.at = now
}

// demand is what arrives at a service.
type demand struct {
	short   rate // short prompts
	reading rate // seconds of reading of long prompts
}

func (d *demand) arrived(j *Job, now time.Time) {
	var work time.Duration
	for _, s := range j.Shares {
		work += s.PrefillTime
	}
	switch {
	case work == 0:
	case work <= shortWork:
		d.short.add(1, now)
	default:
		d.reading.add(min(work, maxCounted).Seconds(), now)
	}
}
