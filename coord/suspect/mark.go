package suspect

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// mark is what is known of one fingerprint. Its shard's lock guards it.
type mark struct {
	fp      Fingerprint
	runs    int // acquired and not ended
	deaths  []Death
	last    time.Time // when the last death was candidates
	until   time.Time // when the deaths, or the quarantine, end
	proven  time.Time // until when a success counts
	changed chan struct{}
	place   *list.Element // in the list of its class, when it has one
	class   *list.List
}

// shard is a part of the fingerprints under its own lock.
type shard struct {
	mu     sync.Mutex
	marks  map[Fingerprint]*mark
	marked list.List // suspects and quarantined, oldest change first
	proven list.List // cleared and idle, oldest change first
}

// get returns the fingerprint's mark, without what is past its time.
func (s *shard) get(fp Fingerprint, now time.Time) *mark {
	m, ok := s.marks[fp]
	if !ok {
		m = &mark{fp: fp, changed: make(chan struct{})}
		s.marks[fp] = m
	}
	m.refresh(now)
	return m
}

// refresh drops what is past its time.
func (m *mark) refresh(now time.Time) {
	if len(m.deaths) > 0 && !now.Before(m.until) {
		m.deaths = nil
		m.until = time.Time{}
	}
}

func (m *mark) suspected() bool   { return len(m.deaths) > 0 }
func (m *mark) quarantined() bool { return len(m.deaths) >= MaxLosses }

func (m *mark) provenAt(now time.Time) bool { return now.Before(m.proven) }

// notify wakes those that hold.
func (m *mark) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// addDeath counts a death. It reports whether that was news.
func (m *mark) addDeath(d Death, now time.Time, period time.Duration) bool {
	if slices.Contains(m.deaths, d) {
		return false
	}
	m.deaths = append(m.deaths, d)
	m.last, m.until, m.proven = now, now.Add(period), time.Time{}
	m.notify()
	return true
}

// clear drops all deaths.
func (m *mark) clear(provenUntil time.Time) {
	m.deaths = nil
	m.until = time.Time{}
	m.proven = provenUntil
	m.notify()
}

// settle files the mark by its class, drops it when nothing is known of it, and
// keeps the classes within their bounds. It returns the marks dropped early.
func (s *shard) settle(m *mark, now time.Time, maxMarked, maxProven int) int {
	if m.place != nil {
		m.class.Remove(m.place)
		m.place, m.class = nil, nil
	}
	switch {
	case m.suspected():
		m.class = &s.marked
	case m.provenAt(now):
		m.class = &s.proven
	case m.runs > 0:
		return 0
	default:
		delete(s.marks, m.fp)
		return 0
	}
	m.place = m.class.PushBack(m)
	s.trim(&s.proven, maxProven)
	return s.trim(&s.marked, maxMarked)
}

// trim drops the oldest marks of a class beyond its bound.
func (s *shard) trim(class *list.List, limit int) int {
	dropped := 0
	for class.Len() > limit {
		m := class.Remove(class.Front()).(*mark)
		m.place, m.class = nil, nil
		m.deaths, m.proven = nil, time.Time{}
		m.notify()
		if m.runs == 0 {
			delete(s.marks, m.fp)
		}
		dropped++
	}
	return dropped
}
