package schedule

import (
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// prefillWork is the prefill of one dispatched request at one target.
type prefillWork struct {
	id            string
	priority      int64
	dispatchedAt  time.Time
	tokens        float64   // whole prefill
	remaining     float64   // predicted tokens still to compute
	firstTokenDue time.Time // predicted time of the first token; zero for a peer's request
	class         rules.Class
	local         bool // dispatched by this host
}

// backlog predicts the queued prefill work at one target. It adds the dispatches
// of this host and its peers, drains them at the engine's prefill rate in order of
// priority, and is corrected by each load report.
type backlog struct {
	rate        float64 // tokens per second
	updatedAt   time.Time
	prefills    []prefillWork // ascending by priority
	unexplained float64       // reported tokens that belong to no known dispatch
}

// advance drains the backlog up to now.
func (b *backlog) advance(now time.Time) {
	elapsed := now.Sub(b.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.drain(elapsed * b.rate)
}

// drain subtracts computed tokens in order of priority. A peer's finished prefill
// is removed; a local one stays until its first token arrives.
func (b *backlog) drain(tokens float64) {
	kept := b.prefills[:0]
	for _, w := range b.prefills {
		done := min(w.remaining, tokens)
		w.remaining -= done
		tokens -= done
		if w.local || w.remaining > 0 {
			kept = append(kept, w)
		}
	}
	clear(b.prefills[len(kept):])
	b.prefills = kept
	b.unexplained = max(0, b.unexplained-tokens)
}

// add inserts a dispatch after those of the same priority.
func (b *backlog) add(now time.Time, w prefillWork) {
	b.advance(now)
	at, _ := slices.BinarySearchFunc(b.prefills, w.priority, func(other prefillWork, priority int64) int {
		if other.priority <= priority {
			return -1
		}
		return 1
	})
	b.prefills = slices.Insert(b.prefills, at, w)
}

// remove deletes a request whose first token arrived or which ended.
func (b *backlog) remove(now time.Time, id string) {
	b.advance(now)
	b.prefills = slices.DeleteFunc(b.prefills, func(w prefillWork) bool { return w.id == id })
}

// correct applies the prefill tokens of a report that the engine made at
// observed. It subtracts what the engine has computed since then, except for
// requests dispatched since, and compares the rest with the older dispatches:
// an excess counts as unexplained, a shortfall is drained from them.
func (b *backlog) correct(now, observed time.Time, reported float64) {
	b.advance(now)
	computed := b.rate * now.Sub(observed).Seconds()
	older := 0.
	for i := range b.prefills {
		w := &b.prefills[i]
		if w.dispatchedAt.After(observed) {
			computed -= w.tokens - w.remaining
		} else {
			older += w.remaining
		}
	}
	reported = max(0, reported-max(0, computed))
	b.unexplained = max(0, reported-older)
	if older > reported {
		b.drainOlder(observed, older-reported)
	}
}

// drainOlder subtracts tokens from the requests dispatched at or before observed.
func (b *backlog) drainOlder(observed time.Time, tokens float64) {
	kept := b.prefills[:0]
	for _, w := range b.prefills {
		if !w.dispatchedAt.After(observed) {
			done := min(w.remaining, tokens)
			w.remaining -= done
			tokens -= done
		}
		if w.local || w.remaining > 0 {
			kept = append(kept, w)
		}
	}
	clear(b.prefills[len(kept):])
	b.prefills = kept
}

// clear empties the backlog after the engine went down or restarted.
func (b *backlog) clear() {
	b.prefills = b.prefills[:0]
	b.unexplained = 0
}

// load summarizes a backlog for a request of one priority and class.
type load struct {
	priorityTokens float64       // tokens of the same or a higher priority
	classTokens    float64       // tokens of the same or a shorter class
	totalTokens    float64       // all tokens
	longPrefills   int           // long prompts in prefill
	stall          time.Duration // largest delay of an overdue local first token
}

// maxUnexplainedAhead limits the unexplained tokens that count as ahead of a
// short prompt. Most unexplained work belongs to long prompts, which yield to
// short ones.
const maxUnexplainedAhead = 2 * rules.ShortMaxTokens

// A first token counts as overdue, and its delay as a stall, beyond stallFactor
// times its predicted delay plus stallSlack.
const (
	stallFactor = 1.5
	stallSlack  = 250 * time.Millisecond
)

// classRank returns the position of the class in order of prompt length,
// shortest first.
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

// load advances the backlog to now and summarizes it for a request of the given
// priority and class.
func (b *backlog) load(now time.Time, priority int64, class rules.Class) load {
	b.advance(now)
	l := load{priorityTokens: b.unexplained, totalTokens: b.unexplained}
	if class == rules.ClassShort {
		l.priorityTokens = min(l.priorityTokens, maxUnexplainedAhead)
	}
	l.classTokens = l.priorityTokens
	rank := classRank(class)
	for i := range b.prefills {
		w := &b.prefills[i]
		l.totalTokens += w.remaining
		if w.priority <= priority {
			l.priorityTokens += w.remaining
		}
		if classRank(w.class) <= rank {
			l.classTokens += w.remaining
		}
		if w.class == rules.ClassLong && w.remaining > 0 {
			l.longPrefills++
		}
		if w.local && w.remaining <= 0 {
			l.stall = max(l.stall, w.overdue(now))
		}
	}
	return l
}

// overdue returns how late the first token is beyond the tolerance; it is
// negative within the tolerance.
func (w *prefillWork) overdue(now time.Time) time.Duration {
	tolerated := time.Duration(float64(w.firstTokenDue.Sub(w.dispatchedAt))*stallFactor) + stallSlack
	return now.Sub(w.dispatchedAt) - tolerated
}
