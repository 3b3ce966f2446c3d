package suspect

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainrun/plantainrun/coord/clock"
)

// Tracker tracks the requests of one host and, at the arbiter, all suspects of the
// failure domain. It is safe for concurrent use. Locks are acquired in the order
// fingerprint shard, target shard, and never two of the same kind.
type Tracker struct {
	clk     clock.Clock
	cfg     Config
	shards  []shard
	targets []targetShard
	counts  counts

	lastReview atomic.Int64 // Unix time of the last review in nanoseconds
}

type counts struct {
	deaths, countedDeaths, quarantines, confirmed, explained, cleared, evicted atomic.Int64
}

// Run is the permission to run one request once. Assign must be called before the
// request is sent, and End when it has ended.
type Run struct {
	tracker      *Tracker
	fp           Fingerprint
	target       string
	incarnation  string
	ranAsSuspect bool // was a suspect when it was assigned to the target
	suspect      bool // is a suspect, possibly since after the assignment
	ended        atomic.Bool
}

// New returns an empty Tracker.
func New(clk clock.Clock, cfg Config) *Tracker {
	n := max(1, cfg.Shards)
	t := &Tracker{clk: clk, cfg: cfg, shards: make([]shard, n), targets: make([]targetShard, n)}
	for i := range n {
		t.shards[i].states = make(map[Fingerprint]*fingerprintState)
		t.targets[i].targets = make(map[string]*target)
	}
	return t
}

// Acquire waits until the fingerprint may run. It fails with *QuarantinedError, or
// with the error of ctx.
func (t *Tracker) Acquire(ctx context.Context, fp Fingerprint) (*Run, error) {
	for {
		r, err := t.TryAcquire(fp)
		var held *HeldError
		if !errors.As(err, &held) {
			return r, err
		}
		if err := t.wait(ctx, held); err != nil {
			return nil, err
		}
	}
}

// wait blocks until the hold may have ended, or ctx is done.
func (t *Tracker) wait(ctx context.Context, held *HeldError) error {
	var expired <-chan time.Time
	if !held.until.IsZero() {
		timer := time.NewTimer(held.until.Sub(t.clk.Now()))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-held.changed:
		return nil
	case <-expired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryAcquire returns a Run if the fingerprint may run now. It fails with
// *QuarantinedError or *HeldError.
func (t *Tracker) TryAcquire(fp Fingerprint) (*Run, error) {
	if len(t.deathsOf(fp)) >= MaxDeathsPerFingerprint {
		t.review()
	}
	s := t.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.clk.Now()
	st := s.get(fp, now)
	defer t.reclassify(s, st, now)
	if err := t.checkQuarantine(st, now); err != nil {
		return nil, err
	}
	if t.atRunLimit(st, now) {
		return nil, &HeldError{changed: st.changed}
	}
	st.runs++
	return &Run{tracker: t, fp: fp}, nil
}

// checkQuarantine returns a *HeldError or *QuarantinedError for a fingerprint in
// quarantine, and nil for any other.
func (t *Tracker) checkQuarantine(st *fingerprintState, now time.Time) error {
	if !st.quarantined() {
		return nil
	}
	if limit := st.lastDeath.Add(t.cfg.HoldLimit); now.Before(limit) && t.hasOtherCandidates(st) {
		next := now.Add(reviewInterval)
		if limit.Before(next) {
			next = limit
		}
		return &HeldError{changed: st.changed, until: next}
	}
	return &QuarantinedError{RetryAfter: st.deathsExpire.Sub(now)}
}

// hasOtherCandidates reports whether another fingerprint may have caused one of the
// deaths counted for st.
func (t *Tracker) hasOtherCandidates(st *fingerprintState) bool {
	for _, d := range st.deaths {
		ts := t.targetShard(d.Target)
		ts.mu.Lock()
		rec := ts.get(d.Target).record(d)
		open := rec != nil && len(rec.candidates) > 1
		ts.mu.Unlock()
		if open {
			return true
		}
	}
	return false
}

// IsSuspect reports whether the request is a suspect and must run on a target
// without other suspects.
func (r *Run) IsSuspect() bool {
	s := r.tracker.shard(r.fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(r.fp, r.tracker.clk.Now()).suspected()
}

// ExcludedTargets lists the targets on which the request must not run if it is a suspect.
func (r *Run) ExcludedTargets() []string {
	if !r.IsSuspect() {
		return nil
	}
	return r.tracker.excludedTargets(r)
}

func (t *Tracker) excludedTargets(r *Run) []string {
	t.review()
	var ids []string
	now := t.clk.Now()
	for i := range t.targets {
		ts := &t.targets[i]
		ts.mu.Lock()
		for id, tg := range ts.targets {
			tg.dropExpired(now, t.cfg.QuarantinePeriod)
			if !tg.allDeathsExplained() || tg.hasOtherSuspect(r) {
				ids = append(ids, id)
			}
		}
		ts.mu.Unlock()
	}
	slices.Sort(ids)
	return ids
}

// Assign records the target on which the request is about to run. It may be called
// again for another target when nothing was sent to the previous one, or when that
// one died. It fails with *ExcludedTargetError when a suspect may not run on the
// target, with *QuarantinedError when the fingerprint is now in quarantine, and
// with *HeldError when it may not run now: the caller must then End the run and
// Acquire another one. After an error nothing may be sent.
func (r *Run) Assign(targetID, incarnation string) error {
	t := r.tracker
	t.detectRestart(targetID, incarnation)
	t.unregister(r)
	s := t.shard(r.fp)
	s.mu.Lock()
	now := t.clk.Now()
	st := s.get(r.fp, now)
	if err := t.checkQuarantine(st, now); err != nil {
		s.mu.Unlock()
		return err
	}
	if r.ended.Load() && !t.reacquire(r, st, now) {
		s.mu.Unlock()
		return &HeldError{changed: st.changed}
	}
	ok := t.register(r, targetID, incarnation, st.suspected(), now)
	s.mu.Unlock()
	if !ok {
		return &ExcludedTargetError{Target: targetID, Excluded: t.excludedTargets(r)}
	}
	return nil
}

// reacquire renews the permission of a run that was ended by its target's death.
func (t *Tracker) reacquire(r *Run, st *fingerprintState, now time.Time) bool {
	if t.atRunLimit(st, now) {
		return false
	}
	st.runs++
	r.ended.Store(false)
	return true
}

// atRunLimit reports whether the fingerprint may have no more runs in flight.
func (t *Tracker) atRunLimit(st *fingerprintState, now time.Time) bool {
	return !st.clearedAt(now) && st.runs+len(st.deaths) >= MaxDeathsPerFingerprint
}

// TargetDied records the death of the target process that this run was assigned
// to, even if a newer incarnation of the target is already known. See
// Tracker.TargetDied.
func (r *Run) TargetDied() { r.tracker.TargetDied(r.target, r.incarnation) }

// register adds the run to the target, and reports false if the run is a suspect
// and the target is excluded for it.
func (t *Tracker) register(r *Run, targetID, incarnation string, suspected bool, now time.Time) bool {
	ts := t.targetShard(targetID)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	tg := ts.get(targetID)
	tg.dropExpired(now, t.cfg.QuarantinePeriod)
	if suspected && (!tg.allDeathsExplained() || tg.hasOtherSuspect(r)) {
		return false
	}
	r.target, r.incarnation = targetID, incarnation
	r.ranAsSuspect, r.suspect = suspected, suspected
	tg.runs[r] = struct{}{}
	return true
}

// End records that the request has ended. If it succeeded, the fingerprint is
// cleared. End has no effect after TargetDied or a previous End.
func (r *Run) End(succeeded bool) {
	t := r.tracker
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	t.unregister(r)
	s := t.shard(r.fp)
	s.mu.Lock()
	now := t.clk.Now()
	st := s.get(r.fp, now)
	st.runs--
	deaths := st.deaths
	if succeeded {
		st.clear(now.Add(t.cfg.QuarantinePeriod))
	} else {
		st.notify()
	}
	t.reclassify(s, st, now)
	s.mu.Unlock()
	if succeeded && len(deaths) > 0 {
		t.counts.cleared.Add(1)
		t.clearCandidate(r.fp, deaths)
		t.announce(Hint{Kind: HintCleared, Fingerprint: r.fp})
	}
}

// unregister removes the run from its target, and drops a target without runs and
// deaths.
func (t *Tracker) unregister(r *Run) {
	ts := t.targetShard(r.target)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	tg, ok := ts.targets[r.target]
	if !ok {
		return
	}
	delete(tg.runs, r)
	if len(tg.runs) == 0 && len(tg.deaths) == 0 {
		delete(ts.targets, r.target)
	}
}

func (t *Tracker) reclassify(s *shard, st *fingerprintState, now time.Time) {
	n := len(t.shards)
	evicted := s.reclassify(st, now, max(1, t.cfg.MaxSuspects/n), max(1, t.cfg.MaxCleared/n))
	t.counts.evicted.Add(int64(evicted))
}

func (t *Tracker) announce(h Hint) {
	if t.cfg.Announce != nil {
		t.cfg.Announce(h)
	}
}

// Stats returns the current counters and the number of suspects.
func (t *Tracker) Stats() Stats {
	var suspects int64
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		suspects += int64(s.suspects.Len())
		s.mu.Unlock()
	}
	return Stats{
		Deaths:        t.counts.deaths.Load(),
		CountedDeaths: t.counts.countedDeaths.Load(),
		Quarantines:   t.counts.quarantines.Load(),
		Confirmed:     t.counts.confirmed.Load(),
		Explained:     t.counts.explained.Load(),
		Cleared:       t.counts.cleared.Load(),
		Evicted:       t.counts.evicted.Load(),
		Suspects:      suspects,
	}
}

func (t *Tracker) shard(fp Fingerprint) *shard {
	return &t.shards[binary.BigEndian.Uint64(fp[:])%uint64(len(t.shards))]
}

func (t *Tracker) targetShard(id string) *targetShard {
	return &t.targets[xxhash.Sum64String(id)%uint64(len(t.targets))]
}
