package suspect

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// fingerprintState is what is known of one fingerprint. Its shard's lock guards it.
type fingerprintState struct {
	fp           Fingerprint
	runs         int // acquired and not ended
	deaths       []Death
	lastDeath    time.Time // when the last death was candidates
	deathsExpire time.Time // when the deaths, or the quarantine, end
	clearedUntil time.Time // until when a success counts
	changed      chan struct{}
	elem         *list.Element // in the list of its class, when it has one
	list         *list.List
}

// shard is a part of the fingerprints under its own lock.
type shard struct {
	mu       sync.Mutex
	states   map[Fingerprint]*fingerprintState
	suspects list.List // suspects and quarantined, oldest change first
	cleared  list.List // cleared and idle, oldest change first
}

// get returns the fingerprint's mark, without what is past its time.
func (s *shard) get(fp Fingerprint, now time.Time) *fingerprintState {
	st, ok := s.states[fp]
	if !ok {
		st = &fingerprintState{fp: fp, changed: make(chan struct{})}
		s.states[fp] = st
	}
	st.dropExpired(now)
	return st
}

// dropExpired drops what is past its time.
func (st *fingerprintState) dropExpired(now time.Time) {
	if len(st.deaths) > 0 && !now.Before(st.deathsExpire) {
		st.deaths = nil
		st.deathsExpire = time.Time{}
	}
}

func (st *fingerprintState) suspected() bool   { return len(st.deaths) > 0 }
func (st *fingerprintState) quarantined() bool { return len(st.deaths) >= MaxDeathsPerFingerprint }

func (st *fingerprintState) clearedAt(now time.Time) bool { return now.Before(st.clearedUntil) }

// notify wakes those that hold.
func (st *fingerprintState) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// addDeath counts a death. It reports whether that was news.
func (st *fingerprintState) addDeath(d Death, now time.Time, period time.Duration) bool {
	if slices.Contains(st.deaths, d) {
		return false
	}
	st.deaths = append(st.deaths, d)
	st.lastDeath, st.deathsExpire, st.clearedUntil = now, now.Add(period), time.Time{}
	st.notify()
	return true
}

// clear drops all deaths.
func (st *fingerprintState) clear(clearedUntil time.Time) {
	st.deaths = nil
	st.deathsExpire = time.Time{}
	st.clearedUntil = clearedUntil
	st.notify()
}

// reclassify files the mark by its class, drops it when nothing is known of it, and
// keeps the classes within their bounds. It returns the marks dropped early.
func (s *shard) reclassify(st *fingerprintState, now time.Time, maxSuspects, maxCleared int) int {
	if st.elem != nil {
		st.list.Remove(st.elem)
		st.elem, st.list = nil, nil
	}
	switch {
	case st.suspected():
		st.list = &s.suspects
	case st.clearedAt(now):
		st.list = &s.cleared
	case st.runs > 0:
		return 0
	default:
		delete(s.states, st.fp)
		return 0
	}
	st.elem = st.list.PushBack(st)
	s.evictOldest(&s.cleared, maxCleared)
	return s.evictOldest(&s.suspects, maxSuspects)
}

// evictOldest drops the oldest marks of a class beyond its bound.
func (s *shard) evictOldest(class *list.List, limit int) int {
	dropped := 0
	for class.Len() > limit {
		st := class.Remove(class.Front()).(*fingerprintState)
		st.elem, st.list = nil, nil
		st.deaths, st.clearedUntil = nil, time.Time{}
		st.notify()
		if st.runs == 0 {
			delete(s.states, st.fp)
		}
		dropped++
	}
	return dropped
}
