package quarantine

import (
	"cmp"
	"math"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/decay"
)

// part is what is known of one part of prompts.
type part struct {
	id string
	// position is the largest index of the part among the shared ones of a prompt that
	// broke off.
	position int
	crashes  map[catalog.TargetKey]crash // by engine
	own      decay.Sum                   // answers of this host
	peers    map[string]*decay.Sum       // answers that peers have reported

	cleared       bool // answers ended the last quarantine, and peers have not been told
	reportPending bool
	reported      decay.Sum // last report of own answers

	until        time.Time     // end of the quarantine
	period       time.Duration // of the last quarantine; 0 if there was none
	outweighedBy float64       // answers that end the quarantine
}

// crash is the crash of an engine under prompts with the part.
type crash struct {
	requests map[uint64]struct{}
	at       time.Time
}

func newPart(id string) *part {
	return &part{id: id, crashes: make(map[catalog.TargetKey]crash), peers: make(map[string]*decay.Sum)}
}

// recordCrash adds a broken answer and reports whether its engine is a new one.
func (p *part) recordCrash(c Crash, now time.Time) bool {
	known, ok := p.crashes[c.Target]
	if ok {
		known.requests[c.Request] = struct{}{}
		return false
	}
	p.expire(now)
	if len(p.crashes) >= maxCrashesPerPart {
		delete(p.crashes, p.oldestCrash())
	}
	p.crashes[c.Target] = crash{requests: map[uint64]struct{}{c.Request: {}}, at: now}
	return true
}

// oldestCrash returns the engine that crashed first.
func (p *part) oldestCrash() catalog.TargetKey {
	var oldest catalog.TargetKey
	for target, c := range p.crashes {
		if o, ok := p.crashes[oldest]; !ok || c.at.Before(o.at) {
			oldest = target
		}
	}
	return oldest
}

// answers returns the weight of the answers that clear the part.
func (p *part) answers(now time.Time) float64 {
	sum := p.own.Value(now, evidenceTimeConstant)
	for _, peer := range p.peers {
		sum += peer.Value(now, evidenceTimeConstant)
	}
	return sum
}

// needed is the number of crashes for a quarantine: one is enough if the part has been
// in quarantine before.
func (p *part) needed() int {
	if p.period > 0 {
		return 1
	}
	return minCrashes
}

// mayBeSuspected is false if the part is not suspected even if no other part explains
// any of its crashes. It is cheaper than suspected.
func (p *part) mayBeSuspected(now time.Time) bool {
	n := len(p.crashes)
	return n >= p.needed() && crashesPerAnswer*p.answers(now) < float64(n)
}

// suspected reports whether the part is to be quarantined for those of its crashes that
// no other part explains. Reports of answers have to have had reportTime to arrive.
func (p *part) suspected(unexplained []crash, now time.Time, reportTime time.Duration) bool {
	if len(unexplained) < p.needed() || crashesPerAnswer*p.answers(now) >= crashWeight(unexplained, now) {
		return false
	}
	return p.period > 0 || p.requests() >= minRequests && p.crashesBefore(now.Add(-reportTime)) >= minRequests
}

// crashWeight is the weight of crashes against answers.
func crashWeight(crashes []crash, now time.Time) float64 {
	sum := 0.0
	for _, c := range crashes {
		sum += math.Exp(-now.Sub(c.at).Seconds() / evidenceTimeConstant.Seconds())
	}
	return sum
}

// crashesBefore returns the number of crashes up to a time.
func (p *part) crashesBefore(at time.Time) int {
	n := 0
	for _, c := range p.crashes {
		if !c.at.After(at) {
			n++
		}
	}
	return n
}

// requests returns the number of different prompts under which engines crashed.
func (p *part) requests() int {
	all := make(map[uint64]struct{})
	for _, c := range p.crashes {
		for r := range c.requests {
			all[r] = struct{}{}
		}
	}
	return len(all)
}

// moreSuspect reports whether this part is to be quarantined before another one that is
// suspected as well: if fewer answers clear it; else if fewer prompts with it broke off
// at the crashes that both explain, since a part that many prompts share breaks off with
// all of them; else if it is later in its prompts, where fewer share it.
func (p *part) moreSuspect(other *part, now time.Time) bool {
	if diff := p.answers(now) - other.answers(now); math.Abs(diff) >= minReportedAnswers {
		return diff < 0
	}
	own, others := p.requestsAtCommonCrashes(other)
	return cmp.Or(cmp.Compare(own, others), cmp.Compare(p.requests(), other.requests()), cmp.Compare(other.position, p.position)) < 0
}

// requestsAtCommonCrashes returns how many prompts with each of two parts broke off at
// the crashes that both explain.
func (p *part) requestsAtCommonCrashes(other *part) (own, others int) {
	for target, c := range p.crashes {
		if o, ok := other.crashes[target]; ok {
			own += len(c.requests)
			others += len(o.requests)
		}
	}
	return own, others
}

// minReportedAnswers is the least weight of answers that is worth a report.
const minReportedAnswers = 0.25

// reportHelps reports whether the part is suspected and this host has answers that the
// others do not know of.
func (p *part) reportHelps(now time.Time) bool {
	own, reported := p.own.Value(now, evidenceTimeConstant), p.reported.Value(now, evidenceTimeConstant)
	switch {
	case own-reported < minReportedAnswers:
		return false
	case p.cleared:
		return true // peers may have the part in quarantine
	case len(p.crashes) < minRequests:
		return false
	}
	knownToAll := p.answers(now) - own + reported
	return crashesPerAnswer*knownToAll < float64(len(p.crashes))
}

func (p *part) quarantined(now time.Time) bool { return now.Before(p.until) }

// quarantine begins a quarantine.
func (p *part) quarantine(now time.Time) {
	p.cleared = false
	p.period = min(max(2*p.period, firstPeriod), maxPeriod)
	p.until = now.Add(p.period)
	p.outweighedBy = max(1, float64(len(p.crashes))/crashesPerAnswer)
}

// endQuarantine forgets the crashes of a quarantine whose time is over.
func (p *part) endQuarantine(now time.Time) {
	if p.until.IsZero() || p.quarantined(now) {
		return
	}
	p.until = time.Time{}
	clear(p.crashes)
}

// expire ends a quarantine whose time is over, and drops crashes that no longer count.
func (p *part) expire(now time.Time) {
	p.endQuarantine(now)
	for target, c := range p.crashes {
		if now.Sub(c.at) > crashTTL {
			delete(p.crashes, target)
		}
	}
}

// clear ends a quarantine and forgets the crashes.
func (p *part) clear() {
	p.suspend()
	p.cleared = true
	clear(p.crashes)
}

// suspend ends a quarantine. The crashes still count.
func (p *part) suspend() { p.until, p.period = time.Time{}, 0 }

// negligible reports whether nothing recent is known of the part.
func (p *part) negligible(now time.Time) bool {
	const negligibleAnswers = 0.1
	return !p.quarantined(now) && p.period == 0 && len(p.crashes) == 0 && p.answers(now) < negligibleAnswers
}
