package schedule

import (
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// work is the prefill of one dispatched request at one target.
type work struct {
	id       string
	priority int64
	at       time.Time // of the dispatch
	tokens   float64   // all of the prefill
	left     float64   // what is predicted to be left of it
	due      time.Time // predicted first token; zero for a peer's request
	class    rules.Class
	own      bool
}

// backlog predicts the prefill work that waits at one target. Its basis is the
// dispatches of this host and its peers, drained at the engine's rate in order of
// priority and corrected by each report.
type backlog struct {
	rate    float64 // tokens per second
	at      time.Time
	works   []work  // ascending by priority
	unknown float64 // tokens that a report showed and no known dispatch explains
}

// advance drains the backlog up to now.
func (b *backlog) advance(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.drain(elapsed * b.rate)
}

// drain takes tokens off in order of priority. A peer's finished work is
// forgotten; this host's own stays until its first token comes.
func (b *backlog) drain(tokens float64) {
	kept := b.works[:0]
	for _, w := range b.works {
		done := min(w.left, tokens)
		w.left -= done
		tokens -= done
		if w.own || w.left > 0 {
			kept = append(kept, w)
		}
	}
	clear(b.works[len(kept):])
	b.works = kept
	b.unknown = max(0, b.unknown-tokens)
}

func (b *backlog) add(now time.Time, w work) {
	b.advance(now)
	at, _ := slices.BinarySearchFunc(b.works, w.priority, func(other work, priority int64) int {
		if other.priority <= priority {
			return -1
		}
		return 1
	})
	b.works = slices.Insert(b.works, at, w)
}

// remove forgets a request whose first token came or which ended.
func (b *backlog) remove(now time.Time, id string) {
	b.advance(now)
	b.works = slices.DeleteFunc(b.works, func(w work) bool { return w.id == id })
}

// correct takes in a report that the engine observed some time ago. What was
// computed since, apart from requests dispatched since, is taken off it, and the rest is
// set against the older dispatches.
func (b *backlog) correct(now, observed time.Time, reported float64) {
	b.advance(now)
	computed := b.rate * now.Sub(observed).Seconds()
	older := 0.
	for i := range b.works {
		w := &b.works[i]
		if w.at.After(observed) {
			computed -= w.tokens - w.left
		} else {
			older += w.left
		}
	}
	reported = max(0, reported-max(0, computed))
	b.unknown = max(0, reported-older)
	if older > reported {
		b.drainOlder(observed, older-reported)
	}
}

// drainOlder takes tokens off the requests dispatched up to a time.
func (b *backlog) drainOlder(observed time.Time, tokens float64) {
	kept := b.works[:0]
	for _, w := range b.works {
		if !w.at.After(observed) {
			done := min(w.left, tokens)
			w.left -= done
			tokens -= done
		}
		if w.own || w.left > 0 {
			kept = append(kept, w)
		}
	}
	clear(b.works[len(kept):])
	b.works = kept
}

// clear forgets everything; the engine started anew.
func (b *backlog) clear() {
	b.works = b.works[:0]
	b.unknown = 0
}

// load is a summary of a backlog for one priority.
type load struct {
	ahead float64 // tokens of the same or a higher priority
	class float64 // tokens of the same or a shorter class
	total float64 // tokens
	long  int     // long prompts in prefill
	stall time.Duration
}

// unknownAhead bounds how much unexplained work counts as ahead of a short
// prompt, in tokens: the larger part of it is long prompts, which yield.
const unknownAhead = 2 * rules.ShortMaxTokens

// Overdue first tokens count as a stall beyond this tolerance.
const (
	stallFactor = 1.5
	stallSlack  = 250 * time.Millisecond
)

// classRank orders the classes, shortest first.
func classRank(class rules.Class) int {
	switch class {
	case rules.ClassShort:
		return 0
	case rules.ClassMedium:
		return 1
	default:
		return 2
	}
}

func (b *backlog) load(now time.Time, priority int64, class rules.Class) load {
	b.advance(now)
	l := load{ahead: b.unknown, total: b.unknown}
	if class == rules.ClassShort {
		l.ahead = min(l.ahead, unknownAhead)
	}
	l.class = l.ahead
	rank := classRank(class)
	for i := range b.works {
		w := &b.works[i]
		l.total += w.left
		if w.priority <= priority {
			l.ahead += w.left
		}
		if classRank(w.class) <= rank {
			l.class += w.left
		}
		if w.class == rules.ClassLong && w.left > 0 {
			l.long++
		}
		if w.own && w.left <= 0 {
			l.stall = max(l.stall, w.overdue(now))
		}
	}
	return l
}

// overdue is how long the first token is late beyond the tolerance.
func (w *work) overdue(now time.Time) time.Duration {
	tolerated := time.Duration(float64(w.due.Sub(w.at))*stallFactor) + stallSlack
	return now.Sub(w.at) - tolerated
}
