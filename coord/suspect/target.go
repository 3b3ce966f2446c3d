package suspect

import (
	"slices"
	"sync"
	"time"
)

// target is what is known of one target. Its shard's lock guards it.
type target struct {
	runs   map[*Run]struct{}
	deaths []deathRecord // within the period
}

// maxDeathsPerTarget bounds the deaths remembered of one target.
const maxDeathsPerTarget = 16

// deathRecord remembers who was in flight when the target died.
type deathRecord struct {
	death      Death
	at         time.Time
	candidates []Candidate // without those that succeeded since
	explained  bool
	cause      Fingerprint // when explained
}

// explainedByOther reports whether a fingerprint other than fp is the cause
// of the death.
func (d *deathRecord) explainedByOther(fp Fingerprint) bool {
	return d != nil && d.explained && d.cause != fp
}

// onlyCandidate reports whether nobody but fp can have caused the death, if it
// is not newer than settled. Unless anyway is set, only a death that fp met as
// a suspect counts: the target was not known to die by itself then.
func (d *deathRecord) onlyCandidate(fp Fingerprint, anyway bool, settled time.Time) bool {
	if d == nil || d.explainedByOther(fp) || d.at.After(settled) || len(d.candidates) != 1 {
		return false
	}
	return d.candidates[0].Fingerprint == fp && (anyway || d.candidates[0].RanAsSuspect)
}

// targetShard is a part of the targets under its own lock.
type targetShard struct {
	mu      sync.Mutex
	targets map[string]*target
}

func (s *targetShard) get(id string) *target {
	t, ok := s.targets[id]
	if !ok {
		t = &target{runs: make(map[*Run]struct{})}
		s.targets[id] = t
	}
	return t
}

// refresh drops deaths that are past the period.
func (t *target) refresh(now time.Time, period time.Duration) {
	t.deaths = slices.DeleteFunc(t.deaths, func(d deathRecord) bool { return !now.Before(d.at.Add(period)) })
}

// trusted reports whether every death of the target in the period is explained.
func (t *target) trusted() bool {
	return !slices.ContainsFunc(t.deaths, func(d deathRecord) bool { return !d.explained })
}

// runsSuspect reports whether a suspect other than r runs there.
func (t *target) runsSuspect(r *Run) bool {
	for other := range t.runs {
		if other != r && other.suspect {
			return true
		}
	}
	return false
}

// take removes and returns the runs of one incarnation.
func (t *target) take(incarnation string) []*Run {
	var taken []*Run
	for r := range t.runs {
		if r.incarnation == incarnation {
			taken = append(taken, r)
			delete(t.runs, r)
		}
	}
	return taken
}

// recordDeath records the death, with its candidates, and reports whether it
// was new.
func (t *target) recordDeath(d Death, at time.Time, candidates ...Candidate) bool {
	rec := t.record(d)
	news := rec == nil
	if news {
		t.deaths = append(t.deaths, deathRecord{death: d, at: at})
		t.deaths = t.deaths[max(0, len(t.deaths)-maxDeathsPerTarget):]
		rec = &t.deaths[len(t.deaths)-1]
	}
	for _, c := range candidates {
		if !slices.ContainsFunc(rec.candidates, func(known Candidate) bool { return known.Fingerprint == c.Fingerprint }) {
			rec.candidates = append(rec.candidates, c)
		}
	}
	return news
}

// record returns the record of a death, or nil.
func (t *target) record(d Death) *deathRecord {
	for i := range t.deaths {
		if t.deaths[i].death == d {
			return &t.deaths[i]
		}
	}
	return nil
}

// flag marks the runs of the given fingerprints as suspects.
func (s *targetShard) flag(suspects map[Fingerprint]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		for r := range t.runs {
			r.suspect = r.suspect || suspects[r.fp]
		}
	}
}

// open returns the candidates of the deaths that are not explained.
func (s *targetShard) open() []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []Candidate
	for _, t := range s.targets {
		for _, d := range t.deaths {
			if !d.explained {
				candidates = append(candidates, d.candidates...)
			}
		}
	}
	return candidates
}

// prune drops targets about which nothing is known, and beyond the limit the
// ones whose last death is oldest.
func (s *targetShard) prune(now time.Time, period time.Duration, limit int) {
	for id, t := range s.targets {
		t.refresh(now, period)
		if len(t.runs) == 0 && len(t.deaths) == 0 {
			delete(s.targets, id)
		}
	}
	for len(s.targets) > limit && s.dropOldest() {
	}
}

// dropOldest forgets the idle target whose last death is oldest.
func (s *targetShard) dropOldest() bool {
	var oldest string
	var at time.Time
	for id, t := range s.targets {
		if len(t.runs) > 0 {
			continue
		}
		if last := t.deaths[len(t.deaths)-1].at; oldest == "" || last.Before(at) {
			oldest, at = id, last
		}
	}
	delete(s.targets, oldest)
	return oldest != ""
}
