package placement

import (
	"math"
	"time"
)

const (
	// rateMemory is the time constant of the arrival rate.
	rateMemory = 2 * time.Second
	// shortWork is the reading up to which a prompt counts as short.
	shortWork = 120 * time.Millisecond
)

// arrivalRate estimates how many short prompts arrive a second, by
// exponentially decaying counts.
type arrivalRate struct {
	count float64
	at    time.Time
}

func (r *arrivalRate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.count *= math.Exp(-now.Sub(r.at).Seconds() / rateMemory.Seconds())
	}
	r.at = now
}

func (r *arrivalRate) arrived(j *Job, now time.Time) {
	if len(j.Shares) != 1 || j.Shares[0].Work == 0 || j.Shares[0].Work > shortWork {
		return
	}
	r.decay(now)
	r.count++
}

func (r *arrivalRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.count / rateMemory.Seconds()
}
