package fleetmodel

import (
	"cmp"
	"slices"
	"time"
)

// Result holds the results of a scenario by the name of the workload.
type Result map[string]*Stats

// Stats collects the results of one workload.
type Stats struct {
	Requests, InTime int
	Served           int // whole answers, in time or late
	// Refused counts callers that were refused and did not come back, or were refused again;
	// Left those that left since no event came.
	Refused, Left int
	// Returned counts callers that were refused and came back, Promised those among them that
	// had been promised room. RefusedAgain counts those that were refused a second time, and
	// PromisesBroken those among them that had been promised room.
	Returned, Promised, RefusedAgain, PromisesBroken int

	FirstEventTimes []time.Duration

	outcomes []outcome
}

// outcome is what one caller got.
type outcome struct {
	size   float64 // as a multiple of the mean
	payoff float64 // in time
	got    float64
	served bool
	inTime bool
	late   lateness
}

// lateness is why a served request was late.
type lateness uint8

const (
	notLate lateness = iota
	lateFirstEvent
	lateEventGap
)

// InTimeShare is the fraction of the requests that were served in time.
func (s *Stats) InTimeShare() float64 { return float64(s.InTime) / float64(max(s.Requests, 1)) }

// ServedShare is the fraction of the requests that were served.
func (s *Stats) ServedShare() float64 { return float64(s.Served) / float64(max(s.Requests, 1)) }

// Percentile returns a percentile, from 0 to 1, of the times to the first event.
func (s *Stats) Percentile(p float64) time.Duration {
	if len(s.FirstEventTimes) == 0 {
		return 0
	}
	slices.Sort(s.FirstEventTimes)
	return s.FirstEventTimes[min(int(p*float64(len(s.FirstEventTimes))), len(s.FirstEventTimes)-1)]
}

// Late returns how many served requests were late since their first event was, and how
// many since a later event was.
func (s *Stats) Late() (firstEvent, eventGap int) {
	for _, o := range s.outcomes {
		switch o.late {
		case lateFirstEvent:
			firstEvent++
		case lateEventGap:
			eventGap++
		}
	}
	return firstEvent, eventGap
}

// SizeClass holds the results of the requests of a range of sizes.
type SizeClass struct {
	Requests       int
	Served, InTime float64 // fractions
}

// BySize returns the results of the largest tenth, the fifth below it, and the rest.
func (s *Stats) BySize() (largest, large, rest SizeClass) {
	sorted := slices.Clone(s.outcomes)
	slices.SortFunc(sorted, func(a, b outcome) int { return cmp.Compare(b.size, a.size) })
	n := len(sorted)
	return newSizeClass(sorted[:n/10]), newSizeClass(sorted[n/10 : 3*n/10]), newSizeClass(sorted[3*n/10:])
}

func newSizeClass(outcomes []outcome) SizeClass {
	c := SizeClass{Requests: len(outcomes)}
	for _, o := range outcomes {
		if o.served {
			c.Served += 1 / float64(len(outcomes))
		}
		if o.inTime {
			c.InTime += 1 / float64(len(outcomes))
		}
	}
	return c
}

// Worth is the fraction of the payoff owed that callers got.
func (s *Stats) Worth() float64 {
	got, owed := s.worth()
	return got / max(owed, 1e-9)
}

func (s *Stats) worth() (got, owed float64) {
	for _, o := range s.outcomes {
		got += o.got
		owed += o.payoff
	}
	return got, owed
}

// Worth is the fraction of the payoff owed that all callers got.
func (r Result) Worth() float64 {
	got, owed := 0.0, 0.0
	for _, s := range r {
		g, o := s.worth()
		got += g
		owed += o
	}
	return got / max(owed, 1e-9)
}
