package placement

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

// ErrNoTarget means that no registered target is left to try.
var ErrNoTarget = errors.New("no usable target: wait until one registers or comes back")

// Board keeps the load of all targets, a shard for each service. It is safe
// for concurrent use.
type Board struct {
	now func() time.Time

	mu     sync.RWMutex
	shards map[string]*shard
}

type shard struct {
	mu    sync.Mutex
	loads map[catalog.TargetKey]*load
}

// NewBoard returns an empty board that reads the time from now.
func NewBoard(now func() time.Time) *Board {
	return &Board{now: now, shards: make(map[string]*shard)}
}

func (b *Board) shard(service string) *shard {
	b.mu.RLock()
	s := b.shards[service]
	b.mu.RUnlock()
	if s != nil {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s = b.shards[service]; s == nil {
		s = &shard{loads: make(map[catalog.TargetKey]*load)}
		b.shards[service] = s
	}
	return s
}

// Placement is a choice of targets, counted on the board until End.
type Placement struct {
	Primary catalog.Target
	// Parts are the targets that read or hold parts of the prompt, the primary
	// left out unless it holds a reservation.
	Parts []Part
	// Wait is the predicted time to the first event.
	Wait time.Duration

	board   *Board
	shard   *shard
	charges []charge
	reading bool
	ended   bool
}

// charge is what a placement added to one target.
type charge struct {
	key    catalog.TargetKey
	tokens int
	writes bool // takes part in writing, beside reading
}

// Place chooses among targets and counts the request there. It returns
// ErrNoTarget if none of them may be tried.
func (b *Board) Place(need Need, targets []catalog.Target) (*Placement, error) {
	s := b.shard(need.Service)
	now := b.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(need, targets, now)
	if len(candidates) == 0 {
		return nil, ErrNoTarget
	}
	if need.Engine == nil {
		return s.placePlain(b, candidates, now), nil
	}
	return s.placePrompt(b, need, candidates, now), nil
}

// candidates returns the targets that may be tried, best first. Shunned
// targets count only if there are no others.
func (s *shard) candidates(need Need, targets []catalog.Target, now time.Time) []*load {
	var good, shunned []*load
	for _, t := range targets {
		if slices.Contains(need.Avoid, t.ID) {
			continue
		}
		l := s.load(t)
		if l.shunned(now) {
			shunned = append(shunned, l)
		} else {
			good = append(good, l)
		}
	}
	if len(good) == 0 {
		good = shunned
	}
	sortByWait(good, now)
	return good
}

func (s *shard) load(t catalog.Target) *load {
	l := s.loads[t.TargetKey]
	if l == nil {
		l = &load{}
		s.loads[t.TargetKey] = l
	}
	l.target = t
	return l
}

// Retain forgets the loads of targets that are not registered and have no
// request in progress.
func (b *Board) Retain(service string, registered func(catalog.TargetKey) bool) {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, l := range s.loads {
		if l.readers == 0 && l.writers == 0 && !registered(key) {
			delete(s.loads, key)
		}
	}
}

// FirstEvent notes that the prompt has been read.
func (p *Placement) FirstEvent() {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.endReadingLocked(p.board.now())
}

func (p *Placement) endReadingLocked(now time.Time) {
	if !p.reading {
		return
	}
	p.reading = false
	for _, c := range p.charges {
		if l := p.shard.loads[c.key]; l != nil {
			l.endReading(now)
			l.writers += boolInt(c.writes)
		}
	}
}

// End takes the request off the board. Only its first call counts.
func (p *Placement) End(result Result) {
	now := p.board.now()
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.endReadingLocked(now)
	for _, c := range p.charges {
		if l := p.shard.loads[c.key]; l != nil {
			l.writers -= boolInt(c.writes)
			l.tokens -= c.tokens
		}
	}
	if l := p.shard.loads[p.Primary.TargetKey]; l != nil {
		l.learn(result, now)
	}
}

// Learn takes news of a target into account that no placement's end tells.
func (b *Board) Learn(t catalog.Target, result Result) {
	s := b.shard(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[t.TargetKey]; l != nil {
		l.learn(result, b.now())
	}
}
