package placement

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// streamCost is what a writing stream adds to the expected wait at its engine.
	streamCost = 5 * time.Millisecond
	// faultCost is added to the expected wait at a target all of whose recent answers were faults.
	faultCost = 2 * time.Second
	// faultWeight is the weight of the newest answer in the share of faults.
	faultWeight = 0.25
	// faultFade is the time after which a share of faults counts half.
	faultFade = 3 * time.Second

	shedPause      = 150 * time.Millisecond
	firstShunning  = 500 * time.Millisecond
	maxShunning    = 4 * time.Second
	misdirectPause = 5 * time.Second
)

// load is what one host knows of one target.
type load struct {
	target  catalog.Target
	readyAt time.Time // when the engine has read all that was sent to it
	readers int       // requests that wait for their first event
	writers int       // requests that get events, or run at a plain service
	tokens  int       // engine memory of the requests in progress

	faults    float64 // share of faults among recent answers
	faultsAt  time.Time
	shunUntil time.Time
	shunFor   time.Duration // of the next shunning
}

// wait is the predicted time until the target gets to a new request.
func (l *load) wait(now time.Time) time.Duration {
	w := time.Duration(l.writers) * streamCost
	if l.readers > 0 && l.readyAt.After(now) {
		w += l.readyAt.Sub(now)
	}
	return w + time.Duration(l.faultShare(now)*float64(faultCost))
}

func (l *load) faultShare(now time.Time) float64 {
	halves := float64(now.Sub(l.faultsAt)) / float64(faultFade)
	return l.faults / (1 + halves)
}

func (l *load) shunned(now time.Time) bool { return now.Before(l.shunUntil) }

// addReading queues a prompt's part behind what the engine still has to read.
func (l *load) addReading(work time.Duration, now time.Time) {
	if l.readers == 0 || l.readyAt.Before(now) {
		l.readyAt = now
	}
	l.readyAt = l.readyAt.Add(work)
	l.readers++
}

func (l *load) endReading(now time.Time) {
	l.readers--
	if l.readers == 0 {
		l.readyAt = now
	}
}

// learn takes the end of an attempt into account.
func (l *load) learn(r Result, now time.Time) {
	fault := 0.0
	switch r {
	case Served:
		l.shunFor = 0
	case Shed:
		l.shunUntil = now.Add(shedPause)
		fault = 0.5
	case Misdirected:
		l.shunUntil = now.Add(misdirectPause)
		return
	case Unreachable:
		l.shunFor = min(max(2*l.shunFor, firstShunning), maxShunning)
		l.shunUntil = now.Add(l.shunFor)
		fault = 1
	case Faulty:
		fault = 1
	case Abandoned:
		return
	}
	l.faults = (1-faultWeight)*l.faultShare(now) + faultWeight*fault
	l.faultsAt = now
}
