package suspect

import (
	"slices"
	"time"
)

// TargetDied records that a target's process died, and counts the death for all
// requests in flight on it. It ends their Runs.
func (t *Tracker) TargetDied(targetID, incarnation string) {
	d := Death{Target: targetID, Incarnation: incarnation}
	now := t.clk.Now()
	var candidates []Candidate
	for _, r := range t.recordDeath(d, now) {
		if r.ended.CompareAndSwap(false, true) {
			t.addDeath(r.fp, d, now, t.cfg.QuarantinePeriod, 1)
			candidates = append(candidates, Candidate{r.fp, r.ranAsSuspect})
		}
	}
	t.markSuspects(candidates)
	t.assessAll(candidates)
	t.announce(Hint{Kind: HintDied, Death: d, Candidates: candidates, TTL: t.cfg.QuarantinePeriod})
}

// ApplyHint applies a hint that another host announced.
func (t *Tracker) ApplyHint(h Hint) {
	now := t.clk.Now()
	ttl := min(h.TTL, t.cfg.QuarantinePeriod)
	switch {
	case h.Kind == HintCleared:
		t.applyCleared(h.Fingerprint, now)
	case h.Kind == HintDied && ttl > 0:
		t.recordRemoteDeath(h.Death, h.Candidates, now.Add(ttl-t.cfg.QuarantinePeriod))
		for _, c := range h.Candidates {
			t.addDeath(c.Fingerprint, h.Death, now, ttl, 0)
		}
		t.markSuspects(h.Candidates)
		t.assessAll(h.Candidates)
	}
}

// Snapshot returns hints of all unexpired deaths, for a host that is starting.
func (t *Tracker) Snapshot() []Hint {
	var hints []Hint
	now := t.clk.Now()
	for i := range t.targets {
		ts := &t.targets[i]
		ts.mu.Lock()
		for _, tg := range ts.targets {
			tg.dropExpired(now, t.cfg.QuarantinePeriod)
			for _, rec := range tg.deaths {
				hints = append(hints, Hint{Kind: HintDied, Death: rec.death, Candidates: slices.Clone(rec.candidates), TTL: rec.at.Add(t.cfg.QuarantinePeriod).Sub(now)})
			}
		}
		ts.mu.Unlock()
	}
	return hints
}

// detectRestart records the death of every other incarnation of the target that
// still has runs: a new incarnation implies that the earlier process died.
func (t *Tracker) detectRestart(targetID, incarnation string) {
	var replaced []string
	ts := t.targetShard(targetID)
	ts.mu.Lock()
	for r := range ts.get(targetID).runs {
		if r.incarnation != incarnation && !slices.Contains(replaced, r.incarnation) {
			replaced = append(replaced, r.incarnation)
		}
	}
	ts.mu.Unlock()
	for _, incarnation := range replaced {
		t.TargetDied(targetID, incarnation)
	}
}

// recordDeath records the death and returns the runs that were in flight.
func (t *Tracker) recordDeath(d Death, now time.Time) []*Run {
	ts := t.targetShard(d.Target)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	tg := ts.get(d.Target)
	tg.dropExpired(now, t.cfg.QuarantinePeriod)
	ended := tg.removeRuns(d.Incarnation)
	var candidates []Candidate
	for _, r := range ended {
		candidates = append(candidates, Candidate{r.fp, r.ranAsSuspect})
	}
	if tg.recordDeath(d, now, candidates...) {
		t.counts.deaths.Add(1)
	}
	ts.prune(now, t.cfg.QuarantinePeriod, max(1, t.cfg.MaxTargets/len(t.targets)))
	return ended
}

// recordRemoteDeath records a death that another host reported.
func (t *Tracker) recordRemoteDeath(d Death, candidates []Candidate, at time.Time) {
	ts := t.targetShard(d.Target)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.get(d.Target).recordDeath(d, at, candidates...) {
		t.counts.deaths.Add(1)
	}
	ts.prune(t.clk.Now(), t.cfg.QuarantinePeriod, max(1, t.cfg.MaxTargets/len(t.targets)))
}

// applyCleared clears a fingerprint that succeeded at another host.
func (t *Tracker) applyCleared(fp Fingerprint, now time.Time) {
	s := t.shard(fp)
	s.mu.Lock()
	st := s.get(fp, now)
	deaths := st.deaths
	st.clear(now.Add(t.cfg.QuarantinePeriod))
	t.reclassify(s, st, now)
	s.mu.Unlock()
	t.clearCandidate(fp, deaths)
}

// addDeath counts the death for the fingerprint and subtracts the given number of
// ended runs.
func (t *Tracker) addDeath(fp Fingerprint, d Death, now time.Time, ttl time.Duration, runs int) {
	s := t.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(fp, now)
	st.runs -= runs
	isNew := st.addDeath(d, now, ttl)
	if isNew {
		t.counts.countedDeaths.Add(1)
	}
	if isNew && st.quarantined() {
		t.counts.quarantines.Add(1)
	}
	t.reclassify(s, st, now)
}

// markSuspects marks runs of the candidates' fingerprints that are in flight on
// other targets as suspects, so that no other suspect starts on those targets.
func (t *Tracker) markSuspects(candidates []Candidate) {
	suspects := make(map[Fingerprint]bool, len(candidates))
	for _, c := range candidates {
		suspects[c.Fingerprint] = true
	}
	for i := range t.targets {
		t.targets[i].markSuspects(suspects)
	}
}

func (t *Tracker) assessAll(candidates []Candidate) {
	for _, c := range candidates {
		t.assess(c.Fingerprint)
	}
}

// assess confirms a fingerprint in quarantine as the cause if it is the only
// possible cause of one of its deaths, and otherwise drops the deaths that have
// another cause. After a confirmation it assesses the candidates of those deaths.
// The recursion terminates because each death is explained only once.
func (t *Tracker) assess(fp Fingerprint) {
	deaths := t.deathsOf(fp)
	if len(deaths) < MaxDeathsPerFingerprint {
		return
	}
	if !t.onlyCandidate(fp, deaths) {
		for _, d := range deaths {
			t.discountDeath(fp, d)
		}
		return
	}
	t.counts.confirmed.Add(1)
	for _, d := range deaths {
		t.assessAll(t.recordCause(d, fp))
	}
}

func (t *Tracker) deathsOf(fp Fingerprint) []Death {
	s := t.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.states[fp]
	if !ok {
		return nil
	}
	return slices.Clone(st.deaths)
}

// onlyCandidate reports whether fp is the only possible cause of the last death, or
// of one that happened while fp ran as a suspect.
func (t *Tracker) onlyCandidate(fp Fingerprint, deaths []Death) bool {
	cutoff := t.clk.Now().Add(-t.cfg.ConfirmDelay)
	for i, d := range deaths {
		last := i == len(deaths)-1
		ts := t.targetShard(d.Target)
		ts.mu.Lock()
		only := ts.get(d.Target).record(d).onlyCandidate(fp, last, cutoff)
		ts.mu.Unlock()
		if only {
			return true
		}
	}
	return false
}

// recordCause records the cause of a death and returns all its candidates, or nil
// if the death is unknown or already explained.
func (t *Tracker) recordCause(d Death, cause Fingerprint) []Candidate {
	ts := t.targetShard(d.Target)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	rec := ts.get(d.Target).record(d)
	if rec == nil || rec.explained {
		return nil
	}
	rec.explained, rec.cause = true, cause
	return slices.Clone(rec.candidates)
}

// discountDeath stops counting the death if it has another cause and the
// fingerprint is in quarantine. The fingerprint remains a suspect.
func (t *Tracker) discountDeath(fp Fingerprint, d Death) {
	s := t.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.states[fp]
	if !ok || !st.quarantined() || !t.explainedByOther(fp, d) {
		return
	}
	st.deaths = slices.DeleteFunc(st.deaths, func(other Death) bool { return other == d })
	st.notify()
	t.counts.explained.Add(1)
}

func (t *Tracker) explainedByOther(fp Fingerprint, d Death) bool {
	ts := t.targetShard(d.Target)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.get(d.Target).record(d).explainedByOther(fp)
}

// clearCandidate removes a fingerprint that succeeded from the candidates of its
// deaths, which may confirm another candidate.
func (t *Tracker) clearCandidate(fp Fingerprint, deaths []Death) {
	for _, d := range deaths {
		t.assessAll(t.removeCandidate(d, fp))
	}
}

// reviewInterval is the minimum time between reassessments of unexplained deaths.
const reviewInterval = 250 * time.Millisecond

// review reassesses the candidates of all unexplained deaths, since the end of
// Config.ConfirmDelay alone may allow one to be confirmed.
func (t *Tracker) review() {
	now := t.clk.Now().UnixNano()
	last := t.lastReview.Load()
	if now-last < int64(reviewInterval) || !t.lastReview.CompareAndSwap(last, now) {
		return
	}
	for i := range t.targets {
		t.assessAll(t.targets[i].openCandidates())
	}
}

// removeCandidate removes the fingerprint from the death's candidates and returns
// the remaining ones.
func (t *Tracker) removeCandidate(d Death, fp Fingerprint) []Candidate {
	ts := t.targetShard(d.Target)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	rec := ts.get(d.Target).record(d)
	if rec == nil {
		return nil
	}
	rec.candidates = slices.DeleteFunc(rec.candidates, func(c Candidate) bool { return c.Fingerprint == fp })
	return slices.Clone(rec.candidates)
}
