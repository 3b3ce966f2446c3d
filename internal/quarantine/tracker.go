// Package quarantine finds parts of prompts that crash the engines that answer them,
// and keeps prompts with such a part from engines.
//
// When an engine crashes, all its answers break off, those to sound prompts too. A
// prompt that crashes engines hardly begins to be answered, so an answer that has got
// past its first events clears all parts of its prompt of the suspicion. A part is
// quarantined once several engines have crashed under different prompts with it and
// hardly any answer has cleared it. If a part explains the crashes, other parts are not
// blamed for them; the least cleared and least shared part comes first.
//
// Hosts tell each other of broken answers. A host that has answers which clear a
// suspected part tells the others, unless enough have been reported already.
package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/decay"
)

const (
	// minCrashes and minRequests are the numbers of engines that have to crash, and of
	// different prompts with the part under which they do, for a part to be quarantined.
	minCrashes  = 3
	minRequests = 2
	// crashesPerAnswer is how many crashes one answer that clears a part outweighs.
	crashesPerAnswer = 3
	// evidenceTimeConstant is how fast crashes and answers lose weight against each
	// other.
	evidenceTimeConstant = 15 * time.Second
	// crashTTL is how long a crash counts.
	crashTTL       = 10 * time.Minute
	expireInterval = time.Second
	// firstPeriod is how long a part is quarantined at first. If a prompt with it crashes
	// another engine after that, the time doubles, up to maxPeriod.
	firstPeriod = 5 * time.Minute
	maxPeriod   = time.Hour
	// settleTime is the time from one quarantine to the next: without the prompts that
	// crash engines, answers to the others clear their parts.
	settleTime = 500 * time.Millisecond
	// reportSpreadPerHost spreads the reports of answers: of many hosts that could clear
	// a part, few have to. maxReportSpread is the most.
	reportSpreadPerHost = time.Millisecond
	maxReportSpread     = 200 * time.Millisecond
	// reportDelay is how long a report takes to arrive.
	reportDelay = 40 * time.Millisecond
	// maxParts is the largest number of parts that are tracked, and maxCrashesPerPart
	// that of the crashes that are kept for each.
	maxParts          = 4096
	maxCrashesPerPart = 64
)

// Crash is a broken answer that had hardly begun.
type Crash struct {
	Request uint64 // fingerprint of the prompt
	Target  catalog.TargetKey
	Parts   []string      // that the prompt shares with others
	Age     time.Duration // since the crash; 0 for a new one
}

// Answers reports how many recent answers clear a part.
type Answers struct {
	Part  string
	Count float64 // recent ones have more weight
}

// Entry is a quarantined part.
type Entry struct {
	Part   string
	Left   time.Duration // until prompts with the part are sent again
	Period time.Duration // of the whole quarantine
}

// Config holds the dependencies of a Tracker.
type Config struct {
	Now func() time.Time
	// Report sends this host's answers to the other hosts. It is called without locks
	// held.
	Report func(Answers)
	// HostCount returns the number of hosts.
	HostCount func() int
	Log       *zap.Logger
}

// Tracker tracks the parts of prompts. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu        sync.Mutex
	parts     map[string]*part
	suspects  map[string]*part // those with crashes or in quarantine
	expiredAt time.Time        // last expiry of crashes and quarantines
	// lastQuarantineAt is when a part was last quarantined.
	lastQuarantineAt time.Time
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, parts: make(map[string]*part), suspects: make(map[string]*part)}
}

// RecordCrash records a broken answer, of this host or of a peer.
func (t *Tracker) RecordCrash(c Crash) {
	if len(c.Parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for i, id := range c.Parts {
		p := t.part(id, now)
		p.position = max(p.position, i)
		t.suspects[id] = p
		if p.recordCrash(c, now) {
			t.scheduleReport(p, now)
		}
	}
	t.judge(now)
}

// RecordAnswer records that an answer of this host clears the parts of its prompt.
func (t *Tracker) RecordAnswer(parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for _, id := range parts {
		p := t.part(id, now)
		p.own.Add(1, now, evidenceTimeConstant)
		if t.suspects[id] != nil {
			t.scheduleReport(p, now)
		}
	}
}

// RecordPeerAnswers records the answers that a peer reports. A later report of the same
// peer replaces an earlier one.
func (t *Tracker) RecordPeerAnswers(host string, a Answers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	sum := &decay.Sum{}
	sum.Set(a.Count, now)
	t.part(a.Part, now).peers[host] = sum
}

// Quarantined returns the first of the parts that is quarantined, if any.
func (t *Tracker) Quarantined(parts []string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.judge(now)
	for _, id := range parts {
		if p := t.parts[id]; p != nil && p.quarantined(now) {
			return id, true
		}
	}
	return "", false
}

// Entries returns the quarantined parts.
func (t *Tracker) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.judge(now)
	var out []Entry
	for _, p := range t.suspects {
		if p.quarantined(now) {
			out = append(out, Entry{Part: p.id, Left: p.until.Sub(now), Period: p.period})
		}
	}
	return out
}

// Merge adds a part that a peer has quarantined.
func (t *Tracker) Merge(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	p := t.part(e.Part, now)
	if until := now.Add(e.Left); until.After(p.until) {
		p.until = until
		p.period = max(p.period, e.Period)
		p.outweighedBy = max(p.outweighedBy, 1)
		t.suspects[p.id] = p
	}
}

// part returns the record of a part and makes room for a new one if necessary. The
// caller holds mu.
func (t *Tracker) part(id string, now time.Time) *part {
	if p := t.parts[id]; p != nil {
		return p
	}
	if len(t.parts) >= maxParts {
		t.evict(now)
	}
	p := newPart(id)
	t.parts[id] = p
	return p
}

// evict removes parts without recent evidence, and any parts that are not quarantined if
// that is not enough. The caller holds mu.
func (t *Tracker) evict(now time.Time) {
	for _, p := range t.parts {
		if p.negligible(now) {
			t.forget(p)
		}
	}
	for _, p := range t.parts {
		if len(t.parts) <= maxParts/2 {
			return
		}
		if !p.quarantined(now) {
			t.forget(p)
		}
	}
}

// forget deletes a part. The caller holds mu.
func (t *Tracker) forget(p *part) {
	delete(t.parts, p.id)
	delete(t.suspects, p.id)
}

// spread is the time over which hosts spread their reports.
func (t *Tracker) spread() time.Duration {
	return min(time.Duration(t.cfg.HostCount())*reportSpreadPerHost, maxReportSpread)
}

// scheduleReport reports this host's answers to the others after a random delay if they
// may clear a suspected part. The caller holds mu.
func (t *Tracker) scheduleReport(p *part, now time.Time) {
	if p.reportPending || !p.reportHelps(now) {
		return
	}
	p.reportPending = true
	time.AfterFunc(rand.N(t.spread()+time.Millisecond), func() { t.report(p) })
}

func (t *Tracker) report(p *part) {
	t.mu.Lock()
	now := t.cfg.Now()
	p.reportPending = false
	helps := p.reportHelps(now)
	p.cleared = false
	answers := Answers{Part: p.id, Count: p.own.Value(now, evidenceTimeConstant)}
	if helps {
		p.reported.Set(answers.Count, now)
	}
	t.mu.Unlock()
	if helps {
		t.cfg.Report(answers)
	}
}

// judge ends quarantines that are over, quarantines parts, and releases those that
// answers or other parts have cleared. The caller holds mu.
func (t *Tracker) judge(now time.Time) {
	if now.Sub(t.expiredAt) >= expireInterval {
		t.expire(now)
	}
	quarantined := t.quarantined(now)
	if p := t.mostSuspect(quarantined, now); p != nil {
		p.quarantine(now)
		t.lastQuarantineAt = now
		quarantined = append(quarantined, p)
		t.cfg.Log.Warn("prompt part quarantined", zap.String("part", p.id), zap.Int("crashes", len(p.crashes)),
			zap.Int("requests", p.requests()), zap.Float64("answers", p.answers(now)), zap.Duration("period", p.period))
	}
	for _, p := range quarantined {
		switch {
		case p.answers(now) >= p.outweighedBy:
			p.clear()
			t.scheduleReport(p, now)
		case explained(p, quarantined):
			p.suspend()
		default:
			continue
		}
		t.cfg.Log.Warn("prompt part released from quarantine", zap.String("part", p.id), zap.Float64("answers", p.answers(now)))
	}
}

// expire ends quarantines that are over and drops old crashes. The caller holds mu.
func (t *Tracker) expire(now time.Time) {
	t.expiredAt = now
	for _, p := range t.suspects {
		p.expire(now)
		if len(p.crashes) == 0 && !p.quarantined(now) {
			delete(t.suspects, p.id)
		}
	}
}

// quarantined returns the parts in quarantine.
func (t *Tracker) quarantined(now time.Time) []*part {
	var out []*part
	for _, p := range t.suspects {
		if p.quarantined(now) {
			out = append(out, p)
		}
	}
	return out
}

// mostSuspect returns the part to quarantine next, or nil.
func (t *Tracker) mostSuspect(quarantined []*part, now time.Time) *part {
	if now.Sub(t.lastQuarantineAt) < settleTime {
		return nil
	}
	reportTime := t.spread() + reportDelay
	var best *part
	for _, p := range t.suspects {
		p.endQuarantine(now)
		if p.quarantined(now) || !p.mayBeSuspected(now) || !p.suspected(unexplained(p, quarantined), now, reportTime) {
			continue
		}
		if best == nil || p.moreSuspect(best, now) {
			best = p
		}
	}
	return best
}

// unexplained returns the crashes of a part at which no prompt with another one of the
// given parts broke off.
func unexplained(p *part, others []*part) []crash {
	var out []crash
	for target, c := range p.crashes {
		explains := func(other *part) bool {
			_, ok := other.crashes[target]
			return ok && other != p
		}
		if !slices.ContainsFunc(others, explains) {
			out = append(out, c)
		}
	}
	return out
}

// explained reports whether quarantined parts with more crashes explain so many crashes
// of a quarantined part that the rest would not have been enough for its quarantine.
func explained(p *part, quarantined []*part) bool {
	var larger []*part
	for _, other := range quarantined {
		if len(other.crashes) > len(p.crashes) {
			larger = append(larger, other)
		}
	}
	rest := len(unexplained(p, larger))
	return rest < len(p.crashes) && rest < minCrashes
}
