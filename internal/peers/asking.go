package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

const (
	// allRead is the size of a failure domain up to which every host watches
	// the store itself.
	allRead = 4
	// readersPerDomain is how many hosts of a larger one do.
	readersPerDomain = 2
	// answerTimeout is the time for a peer's answer beyond the wait it may take.
	answerTimeout = 300 * time.Millisecond
	// maxAsked is how many hosts are asked one after the other.
	maxAsked = 4
	// askedMemory is how long after a question other hosts may still rely on
	// this one.
	askedMemory = 2 * time.Second
	// maxWaiting bounds the questions that wait for a change at a time.
	maxWaiting = 256
)

// Published is what this host knows of the store.
type Published interface {
	// Since returns the changes after a revision, or false if some are unknown.
	Since(after follow.Revision) (follow.Passed, bool)
	// Changed is closed at the next change.
	Changed() <-chan struct{}
}

// questions are the Asks that wait for an answer.
type questions struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *peerspb.Passed
}

func (q *questions) open() (uint64, chan *peerspb.Passed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last++
	answer := make(chan *peerspb.Passed, 1)
	q.waiting[q.last] = answer
	return q.last, answer
}

func (q *questions) close(nonce uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, nonce)
}

func (q *questions) answer(p *peerspb.Passed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answer, ok := q.waiting[p.GetNonce()]; ok {
		answer <- p
		delete(q.waiting, p.GetNonce())
	}
}

// Reads reports whether this host is one that watches the store.
func (s *Service) Reads() bool {
	return slices.Contains(s.hosts.readers(time.Now()), s.cfg.Addr)
}

// Asked reports whether a peer asked lately.
func (s *Service) Asked() bool {
	at := s.askedAt.Load()
	return at != 0 && time.Since(time.Unix(0, at)) < askedMemory
}

// Ask asks hosts until one has a view of at most maxAge: the one that had it
// last, those of the own failure domain that watch the store, then others. It
// implements follow.Peers.
func (s *Service) Ask(ctx context.Context, after follow.Revision, wait, maxAge time.Duration) (follow.Passed, error) {
	err := follow.ErrNoPeer
	for _, l := range s.askable() {
		passed, askErr := s.askOne(ctx, l, after, wait, maxAge)
		if askErr == nil && time.Duration(passed.Age)*time.Millisecond <= maxAge {
			s.answered.Store(l)
			return passed, nil
		}
		if ctx.Err() != nil {
			return follow.Passed{}, ctx.Err()
		}
		if askErr == nil {
			err = follow.ErrPeersOld
		}
	}
	return follow.Passed{}, err
}

func (s *Service) askOne(ctx context.Context, l *link, after follow.Revision, wait, maxAge time.Duration) (follow.Passed, error) {
	nonce, answer := s.questions.open()
	defer s.questions.close(nonce)
	ask := &peerspb.Ask{Nonce: nonce, After: int64(after), WaitMs: uint32(wait.Milliseconds()), MaxAgeMs: uint32(maxAge.Milliseconds())}
	l.queue(true, func(n *peerspb.News) { n.Ask = append(n.Ask, ask) })
	select {
	case <-ctx.Done():
		return follow.Passed{}, ctx.Err()
	case <-time.After(wait + answerTimeout):
		s.noAnswer(l)
		return follow.Passed{}, follow.ErrNoPeer
	case p := <-answer:
		if !p.GetKnown() {
			return follow.Passed{}, follow.ErrNoPeer
		}
		passed, err := decodePassed(p)
		if err != nil {
			s.cfg.Log.Warn("answer of a peer cannot be read", zap.Stringer("addr", l.addr), zap.Error(err))
		}
		return passed, err
	}
}

// noAnswer has another host asked first from now on.
func (s *Service) noAnswer(l *link) {
	s.hosts.unanswered(l.addr, time.Now())
	s.answered.CompareAndSwap(l, nil)
}

// askable returns the links to hosts to ask, in order.
func (s *Service) askable() []*link {
	readers := s.hosts.readers(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	var first, others []*link
	for addr, l := range s.links {
		switch {
		case !l.isUp():
		case slices.Contains(readers, addr):
			first = append(first, l)
		default:
			others = append(others, l)
		}
	}
	rand.Shuffle(len(first), func(i, j int) { first[i], first[j] = first[j], first[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	order := slices.Concat(first, others)
	if i := slices.Index(order, s.answered.Load()); i > 0 {
		order[0], order[i] = order[i], order[0]
	}
	return order[:min(len(order), maxAsked)]
}

// serveAsk answers a peer once there is a change, or after its wait.
func (s *Service) serveAsk(from netip.AddrPort, ask *peerspb.Ask) {
	s.askedAt.Store(time.Now().UnixNano())
	if s.serving.Add(1) > maxWaiting {
		s.serving.Add(-1)
		s.pass(from, &peerspb.Passed{Nonce: ask.GetNonce()})
		return
	}
	go func() {
		defer s.serving.Add(-1)
		s.pass(from, s.passed(ask))
	}()
}

// passed waits for a change and returns the answer to a peer. A view that is
// too old for the peer is not worth its wait.
func (s *Service) passed(ask *peerspb.Ask) *peerspb.Passed {
	end := time.After(time.Duration(ask.GetWaitMs()) * time.Millisecond)
	for {
		changed := s.published.Changed()
		p, known := s.published.Since(follow.Revision(ask.GetAfter()))
		if !known || len(p.Entries) > 0 || p.Age > int64(ask.GetMaxAgeMs()) {
			return s.encodePassed(ask.GetNonce(), known, p)
		}
		select {
		case <-changed:
		case <-end:
			p, known = s.published.Since(follow.Revision(ask.GetAfter()))
			return s.encodePassed(ask.GetNonce(), known, p)
		}
	}
}

// encodePassed returns the message for an answer; known is false if this host
// does not know all that was asked for.
func (s *Service) encodePassed(nonce uint64, known bool, p follow.Passed) *peerspb.Passed {
	if !known {
		return &peerspb.Passed{Nonce: nonce}
	}
	out, err := s.deflater.passed(nonce, p)
	if err != nil {
		s.cfg.Log.Warn("change of the store not passed on", zap.Error(err))
		return &peerspb.Passed{Nonce: nonce}
	}
	return out
}

func (s *Service) pass(to netip.AddrPort, p *peerspb.Passed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[to]; l != nil {
		l.queue(true, func(n *peerspb.News) { n.Passed = append(n.Passed, p) })
	}
}
