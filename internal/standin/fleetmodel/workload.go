// Package fleetmodel plays a load of prompts, in virtual time, over the real placement
// decisions of several hosts in front of a fleet of model engines (passmodel). Hosts learn
// of each other's jobs after a propagation delay. The package does no I/O and reads no
// clock, so the same scenario and seed give the same result.
//
// Engine memory, faults and the time that hosts compute are not modelled.
package fleetmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/placement"
)

// Workload is a kind of request with its arrival rate, size distributions and objectives.
type Workload struct {
	Name             string
	PerSecond        float64
	MeanPromptTokens float64
	PromptSigma      float64 // standard deviation of the logarithm
	MaxPromptTokens  float64
	MeanEvents       float64 // mean number per answer
	EventsSigma      float64 // standard deviation of the logarithm of events
	Objective        time.Duration
	MaxEventGap      time.Duration
	Timeout          time.Duration // after which the caller leaves; 0 for none
	// Payoff is what a request of mean size is worth in time, LatePayoff if it is late; both
	// 1 and 0 if they are not set.
	Payoff, LatePayoff float64
	// Requests arrive from Start until End; an End of 0 is the end of the scenario.
	Start, End time.Duration
	// Importance multiplies the cost of a late request in placement; 0 counts as 1.
	Importance float64
	// Wave makes the rate swing around PerSecond.
	Wave Wave
}

// Wave is a sinusoidal change of an arrival rate.
type Wave struct {
	Swing  float64 // largest deviation from the mean, as a fraction of it
	Period time.Duration
	Phase  float64 // at time 0, as a fraction of the period
}

func (w Wave) factor(at time.Duration) float64 {
	if w.Period == 0 {
		return 1
	}
	return 1 + w.Swing*math.Sin(2*math.Pi*(at.Seconds()/w.Period.Seconds()+w.Phase))
}

// During returns the workload limited to a period.
func (wl Workload) During(start, end time.Duration) Workload {
	wl.Start, wl.End = start, end
	return wl
}

// Scaled returns the workload with its arrival rate multiplied by x.
func (wl Workload) Scaled(x float64) Workload {
	wl.PerSecond *= x
	return wl
}

// AbandonAfter is how long a caller waits for an event.
func (wl Workload) AbandonAfter() time.Duration {
	return catalog.AbandonAfter(wl.Objective, wl.MaxEventGap)
}

// request is one request of a workload.
type request struct {
	*Workload
	tokens     int
	events     int
	outputHint int // expected output tokens
	host       int
	at         time.Duration // first arrival
	arrived    time.Duration // latest arrival, after a refusal
	key        placement.PromptKey
	retried    bool // the caller was refused and has come back
	promised   bool // it was promised room
	stats      *Stats
}

// outputHintSigma is the standard deviation of the logarithm of the error in callers'
// estimates of the output.
const outputHintSigma = 0.5

// arrivals draws the requests of a workload, which arrive as a Poisson process.
func (wl *Workload) arrivals(s *Scenario, random *rand.Rand) []request {
	end := s.Duration
	if wl.End > 0 {
		end = wl.End
	}
	peak := wl.PerSecond * (1 + wl.Wave.Swing)
	var out []request
	for at := wl.Start; ; {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at > end {
			return out
		}
		if wl.Wave.Period > 0 && random.Float64()*peak > wl.PerSecond*wl.Wave.factor(at) {
			continue
		}
		r := request{Workload: wl, at: at, tokens: int(drawLogNormal(random, wl.MeanPromptTokens, wl.PromptSigma, wl.MaxPromptTokens)), host: random.IntN(s.Hosts), arrived: at}
		r.events = int(drawLogNormal(random, wl.MeanEvents, wl.EventsSigma, 2.5*wl.MeanEvents)) + 1
		r.outputHint = int(float64(r.events*s.Engine.StepsPerPass) * math.Exp(outputHintSigma*random.NormFloat64()))
		out = append(out, r)
	}
}

// drawLogNormal returns a log-normal value with the given mean and upper bound.
func drawLogNormal(random *rand.Rand, mean, sigma, upperBound float64) float64 {
	return min(mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2), upperBound)
}
