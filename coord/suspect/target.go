package suspect

import (
	"slices"
	"sync"
	"time"
)

// target is the state of one target. Its shard's lock guards it.
type target struct {
	runs   map[*Run]struct{}
	deaths []deathRecord // within Config.QuarantinePeriod
}

// maxDeathsPerTarget limits the deaths that are kept for one target.
const maxDeathsPerTarget = 16

// deathRecord holds the requests that were in flight when the target died.
type deathRecord struct {
	death      Death
	at         time.Time
	candidates []Candidate // except those that have succeeded since
	explained  bool
	cause      Fingerprint // set if explained
}

// explainedByOther reports whether a fingerprint other than fp is the cause
// of the death.
func (d *deathRecord) explainedByOther(fp Fingerprint) bool {
	return d != nil && d.explained && d.cause != fp
}

// onlyCandidate reports whether only fp can have caused the death. It is false for
// a death after cutoff. Unless anyDeath is set, it is true only for a death that
// happened while fp ran as a suspect: the target then had no unexplained deaths.
func (d *deathRecord) onlyCandidate(fp Fingerprint, anyDeath bool, cutoff time.Time) bool {
	if d == nil || d.explainedByOther(fp) || d.at.After(cutoff) || len(d.candidates) != 1 {
		return false
	}
	return d.candidates[0].Fingerprint == fp && (anyDeath || d.candidates[0].RanAsSuspect)
}

// targetShard holds the targets that map to it, under its own lock.
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

// dropExpired drops deaths that are older than the period.
func (t *target) dropExpired(now time.Time, period time.Duration) {
	t.deaths = slices.DeleteFunc(t.deaths, func(d deathRecord) bool { return !now.Before(d.at.Add(period)) })
}

// allDeathsExplained reports whether every death of the target in the period is explained.
func (t *target) allDeathsExplained() bool {
	return !slices.ContainsFunc(t.deaths, func(d deathRecord) bool { return !d.explained })
}

// hasOtherSuspect reports whether a suspect other than r runs on the target.
func (t *target) hasOtherSuspect(r *Run) bool {
	for other := range t.runs {
		if other != r && other.suspect {
			return true
		}
	}
	return false
}

// removeRuns removes and returns the runs of one incarnation.
func (t *target) removeRuns(incarnation string) []*Run {
	var removed []*Run
	for r := range t.runs {
		if r.incarnation == incarnation {
			removed = append(removed, r)
			delete(t.runs, r)
		}
	}
	return removed
}

// recordDeath records the death, with its candidates, and reports whether it
// was new.
func (t *target) recordDeath(d Death, at time.Time, candidates ...Candidate) bool {
	rec := t.record(d)
	isNew := rec == nil
	if isNew {
		t.deaths = append(t.deaths, deathRecord{death: d, at: at})
		t.deaths = t.deaths[max(0, len(t.deaths)-maxDeathsPerTarget):]
		rec = &t.deaths[len(t.deaths)-1]
	}
	for _, c := range candidates {
		if !slices.ContainsFunc(rec.candidates, func(known Candidate) bool { return known.Fingerprint == c.Fingerprint }) {
			rec.candidates = append(rec.candidates, c)
		}
	}
	return isNew
}

// record returns the record of a death, or nil if there is none.
func (t *target) record(d Death) *deathRecord {
	for i := range t.deaths {
		if t.deaths[i].death == d {
			return &t.deaths[i]
		}
	}
	return nil
}

// markSuspects marks the runs of the given fingerprints as suspects.
func (s *targetShard) markSuspects(suspects map[Fingerprint]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		for r := range t.runs {
			r.suspect = r.suspect || suspects[r.fp]
		}
	}
}

// openCandidates returns the candidates of the deaths that are not explained.
func (s *targetShard) openCandidates() []Candidate {
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

// prune drops targets without runs and deaths. While more than limit targets are
// left, it drops the idle one whose last death is oldest.
func (s *targetShard) prune(now time.Time, period time.Duration, limit int) {
	for id, t := range s.targets {
		t.dropExpired(now, period)
		if len(t.runs) == 0 && len(t.deaths) == 0 {
			delete(s.targets, id)
		}
	}
	for len(s.targets) > limit && s.dropOldest() {
	}
}

// dropOldest drops the idle target whose last death is oldest, and reports whether
// there was one.
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
