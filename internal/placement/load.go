package placement

import (
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// faultCost is added to the expected wait at a target all of whose recent answers were faults.
	faultCost = 2 * time.Second
	// faultWeight is the weight of the newest answer in the share of faults.
	faultWeight = 0.25
	// faultFade is the time after which a share of faults counts half.
	faultFade = 3 * time.Second
	// behindShare is the part of the unread work that is expected to be left
	// where an engine takes longer than predicted.
	behindShare = 0.25

	shedPause      = 150 * time.Millisecond
	firstShunning  = 500 * time.Millisecond
	maxShunning    = 4 * time.Second
	misdirectPause = 5 * time.Second
)

// assigned is a job's share at a target.
type assigned struct {
	*tracked
	share Share
}

// load is what one host knows of one target.
type load struct {
	target  catalog.Target
	jobs    []assigned
	readyAt time.Time // when the engine has read all that was sent to it

	faults    float64 // share of faults among recent answers
	faultsAt  time.Time
	shunUntil time.Time
	shunFor   time.Duration // of the next shunning
	failedAt  time.Time     // when it was unreachable
	aliveAt   time.Time     // when it answered
}

// add counts a job's share.
func (l *load) add(t *tracked, s Share, now time.Time) {
	l.jobs = append(l.jobs, assigned{t, s})
	if t.Prefilled || s.PrefillTime == 0 {
		return
	}
	if l.readyAt.Before(now) {
		l.readyAt = now.Add(l.unread(t))
	}
	l.readyAt = l.readyAt.Add(s.PrefillTime)
}

// drop forgets a job's share.
func (l *load) drop(t *tracked) {
	l.jobs = slices.DeleteFunc(l.jobs, func(j assigned) bool { return j.tracked == t })
}

// unread is the reading of all jobs but one that have no first event yet.
func (l *load) unread(except *tracked) time.Duration {
	var sum time.Duration
	for _, j := range l.jobs {
		if j.tracked != except && !j.Prefilled {
			sum += j.share.PrefillTime
		}
	}
	return time.Duration(behindShare * float64(sum))
}

// endReading notes that a job has been read.
func (l *load) endReading(now time.Time) {
	var left time.Duration
	for _, j := range l.jobs {
		if !j.Prefilled {
			left += j.share.PrefillTime
		}
	}
	if bound := now.Add(left); l.readyAt.After(bound) {
		l.readyAt = bound
	}
}

// backlog is the predicted time until the engine has read what was sent to it.
func (l *load) backlog(now time.Time) time.Duration {
	return max(l.readyAt.Sub(now), l.unread(nil))
}

func (l *load) faultShare(now time.Time) float64 {
	halves := float64(now.Sub(l.faultsAt)) / float64(faultFade)
	return l.faults / (1 + halves)
}

// penalty is the wait that recent faults are worth.
func (l *load) penalty(now time.Time) time.Duration {
	return time.Duration(l.faultShare(now) * float64(faultCost))
}

func (l *load) shunned(now time.Time) bool { return now.Before(l.shunUntil) }

// learn takes the end of an attempt into account.
func (l *load) learn(r Result, now time.Time) {
	fault := 0.0
	switch r {
	case Served:
		l.shunFor = 0
		l.aliveAt = now
	case Shed:
		l.shunUntil = now.Add(shedPause)
		l.aliveAt = now
		fault = 0.5
	case Misdirected:
		l.shunUntil = now.Add(misdirectPause)
		return
	case Unreachable:
		l.shunFor = min(max(2*l.shunFor, firstShunning), maxShunning)
		l.shunUntil = now.Add(l.shunFor)
		l.failedAt = now
		fault = 1
	case Failed:
		fault = 1
	case Abandoned:
		return
	}
	l.faults = (1-faultWeight)*l.faultShare(now) + faultWeight*fault
	l.faultsAt = now
}
