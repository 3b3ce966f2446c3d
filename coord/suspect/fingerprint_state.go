package suspect

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// fingerprintState is the state of one fingerprint. Its shard's lock guards it.
type fingerprintState struct {
	fp           Fingerprint
	runs         int // acquired and not ended
	deaths       []Death
	lastDeath    time.Time // when the last death was counted
	deathsExpire time.Time // when the counted deaths, and with them a quarantine, expire
	clearedUntil time.Time // end of the time in which the last success lifts the run limit
	changed      chan struct{}
	elem         *list.Element // its element of list; nil if it is in no list
	list         *list.List
}

// shard holds the fingerprints that map to it, under its own lock.
type shard struct {
	mu       sync.Mutex
	states   map[Fingerprint]*fingerprintState
	suspects list.List // suspects and fingerprints in quarantine, least recently updated first
	cleared  list.List // cleared fingerprints, least recently updated first
}

// get returns the fingerprint's state without expired deaths, and creates it if
// necessary.
func (s *shard) get(fp Fingerprint, now time.Time) *fingerprintState {
	st, ok := s.states[fp]
	if !ok {
		st = &fingerprintState{fp: fp, changed: make(chan struct{})}
		s.states[fp] = st
	}
	st.dropExpired(now)
	return st
}

// dropExpired drops the counted deaths once they have expired.
func (st *fingerprintState) dropExpired(now time.Time) {
	if len(st.deaths) > 0 && !now.Before(st.deathsExpire) {
		st.deaths = nil
		st.deathsExpire = time.Time{}
	}
}

func (st *fingerprintState) suspected() bool   { return len(st.deaths) > 0 }
func (st *fingerprintState) quarantined() bool { return len(st.deaths) >= MaxDeathsPerFingerprint }

func (st *fingerprintState) clearedAt(now time.Time) bool { return now.Before(st.clearedUntil) }

// notify wakes the callers that are on hold for this fingerprint.
func (st *fingerprintState) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// addDeath counts a death and reports whether it was not counted before.
func (st *fingerprintState) addDeath(d Death, now time.Time, period time.Duration) bool {
	if slices.Contains(st.deaths, d) {
		return false
	}
	st.deaths = append(st.deaths, d)
	st.lastDeath, st.deathsExpire, st.clearedUntil = now, now.Add(period), time.Time{}
	st.notify()
	return true
}

// clear drops all counted deaths and records the success until clearedUntil.
func (st *fingerprintState) clear(clearedUntil time.Time) {
	st.deaths = nil
	st.deathsExpire = time.Time{}
	st.clearedUntil = clearedUntil
	st.notify()
}

// reclassify moves the state to the list of its class, deletes it when it holds no
// information, and enforces the limits of the lists. It returns the number of
// suspects that were evicted.
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

// evictOldest resets the least recently updated states of a list that is over its
// limit, and returns their number.
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
