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
	// maxAllReaders is the largest failure domain, in hosts, in which every host
	// watches the store itself.
	maxAllReaders = 4
	// readersPerDomain is how many hosts watch the store in a larger domain.
	readersPerDomain = 2
	// askResponseTimeout is the time allowed for a peer's response beyond its wait.
	askResponseTimeout = 300 * time.Millisecond
	// maxAskAttempts is how many hosts one Ask tries, one after the other.
	maxAskAttempts = 4
	// recentAskWindow is how long after a request by a peer this host assumes that
	// other hosts rely on it.
	recentAskWindow = 2 * time.Second
	// maxInboundAsks bounds the peers' requests that wait for a change at a time.
	maxInboundAsks = 256
)

// ChangeLog holds the store's changes that this host knows.
type ChangeLog interface {
	// ChangesSince returns the changes after a revision of an era, or false if some of
	// them are unknown.
	ChangesSince(after follow.Revision, era follow.Era) (follow.Delta, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Era returns the era of the store to which the changes belong, or 0 if it names none.
	Era() follow.Era
}

// pendingAsks matches responses of peers to the requests that wait for them.
type pendingAsks struct {
	mu        sync.Mutex
	lastNonce uint64
	responses map[uint64]chan *peerspb.Passed
}

func (q *pendingAsks) add() (uint64, chan *peerspb.Passed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastNonce++
	response := make(chan *peerspb.Passed, 1)
	q.responses[q.lastNonce] = response
	return q.lastNonce, response
}

func (q *pendingAsks) remove(nonce uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.responses, nonce)
}

func (q *pendingAsks) deliver(passed *peerspb.Passed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if response, ok := q.responses[passed.GetNonce()]; ok {
		response <- passed
		delete(q.responses, passed.GetNonce())
	}
}

// IsReader reports whether this host is one of those that watch the store.
func (s *Service) IsReader() bool {
	return slices.Contains(s.hosts.readers(time.Now()), s.cfg.Addr)
}

// RecentlyAsked reports whether a peer asked within recentAskWindow.
func (s *Service) RecentlyAsked() bool {
	at := s.lastAskAt.Load()
	return at != 0 && time.Since(time.Unix(0, at)) < recentAskWindow
}

// Ask asks hosts, one after the other, until one has a view that is at most maxAge
// old: first the host that had one last time, then the readers of this host's
// failure domain, then other hosts. It implements follow.Peers.
func (s *Service) Ask(ctx context.Context, after follow.Revision, wait, maxAge time.Duration) (follow.Delta, error) {
	err := follow.ErrNoPeer
	for _, l := range s.askCandidates() {
		delta, askErr := s.askOne(ctx, l, after, wait, maxAge)
		if askErr == nil && time.Duration(delta.AgeMillis)*time.Millisecond <= maxAge {
			s.lastResponder.Store(l)
			return delta, nil
		}
		if ctx.Err() != nil {
			return follow.Delta{}, ctx.Err()
		}
		if askErr == nil {
			err = follow.ErrPeersStale
		}
	}
	return follow.Delta{}, err
}

// askOne asks the host of one link. A host that does not respond in time is marked
// unresponsive.
func (s *Service) askOne(ctx context.Context, l *link, after follow.Revision, wait, maxAge time.Duration) (follow.Delta, error) {
	nonce, response := s.pendingAsks.add()
	defer s.pendingAsks.remove(nonce)
	ask := &peerspb.Ask{Nonce: nonce, After: int64(after), Era: int64(s.changeLog.Era()), WaitMs: uint32(wait.Milliseconds()), MaxAgeMs: uint32(maxAge.Milliseconds())}
	l.queue(true, func(n *peerspb.News) { n.Ask = append(n.Ask, ask) })
	select {
	case <-ctx.Done():
		return follow.Delta{}, ctx.Err()
	case <-time.After(wait + askResponseTimeout):
		s.markUnresponsive(l)
		return follow.Delta{}, follow.ErrNoPeer
	case passed := <-response:
		if !passed.GetKnown() {
			return follow.Delta{}, follow.ErrNoPeer
		}
		delta, err := decodePassed(passed, s.cfg.Memory)
		if err != nil {
			s.cfg.Log.Warn("cannot decode a peer's response", zap.Stringer("addr", l.addr), zap.Error(err))
		}
		return delta, err
	}
}

// markUnresponsive makes Ask prefer other hosts for failureCooldown.
func (s *Service) markUnresponsive(l *link) {
	s.hosts.setUnresponsive(l.addr, time.Now())
	s.lastResponder.CompareAndSwap(l, nil)
}

// askCandidates returns the links to the hosts to ask, in that order. Readers and
// other hosts are each shuffled to spread the load; hosts that missed a response
// deadline come last, the one that missed it last at the end.
func (s *Service) askCandidates() []*link {
	readers := s.hosts.readers(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	var readerLinks, otherLinks []*link
	for addr, l := range s.links {
		switch {
		case !l.isUp():
		case slices.Contains(readers, addr):
			readerLinks = append(readerLinks, l)
		default:
			otherLinks = append(otherLinks, l)
		}
	}
	rand.Shuffle(len(readerLinks), func(i, j int) { readerLinks[i], readerLinks[j] = readerLinks[j], readerLinks[i] })
	rand.Shuffle(len(otherLinks), func(i, j int) { otherLinks[i], otherLinks[j] = otherLinks[j], otherLinks[i] })
	order := slices.Concat(readerLinks, otherLinks)
	s.hosts.sortByResponsiveness(order, time.Now())
	if i := slices.Index(order, s.lastResponder.Load()); i > 0 {
		order[0], order[i] = order[i], order[0]
	}
	return order[:min(len(order), maxAskAttempts)]
}

// serveAsk responds to a peer once there is a change, or after the wait that it
// requested. Beyond maxInboundAsks it responds at once that it does not know the
// changes.
func (s *Service) serveAsk(from netip.AddrPort, ask *peerspb.Ask) {
	s.lastAskAt.Store(time.Now().UnixNano())
	if s.inboundAsks.Add(1) > maxInboundAsks {
		s.inboundAsks.Add(-1)
		s.sendPassed(from, &peerspb.Passed{Nonce: ask.GetNonce()})
		return
	}
	go func() {
		defer s.inboundAsks.Add(-1)
		s.sendPassed(from, s.awaitChanges(ask))
	}()
}

// awaitChanges waits for a change and returns the response to a peer. It does not
// wait if the view is already too old for the peer.
func (s *Service) awaitChanges(ask *peerspb.Ask) *peerspb.Passed {
	timeout := time.After(time.Duration(ask.GetWaitMs()) * time.Millisecond)
	for {
		changed := s.changeLog.Changed()
		delta, known := s.changesFor(ask)
		if !known || len(delta.Entries) > 0 || delta.AgeMillis > int64(ask.GetMaxAgeMs()) {
			return s.encodePassed(ask.GetNonce(), known, delta)
		}
		select {
		case <-changed:
		case <-timeout:
			delta, known = s.changesFor(ask)
			return s.encodePassed(ask.GetNonce(), known, delta)
		}
	}
}

// changesFor returns the changes that a peer asks for, or false if this host does not know all
// of them.
func (s *Service) changesFor(ask *peerspb.Ask) (follow.Delta, bool) {
	return s.changeLog.ChangesSince(follow.Revision(ask.GetAfter()), follow.Era(ask.GetEra()))
}

// encodePassed returns the response message; known is false if this host does not
// know all requested changes.
func (s *Service) encodePassed(nonce uint64, known bool, delta follow.Delta) *peerspb.Passed {
	if !known {
		return &peerspb.Passed{Nonce: nonce}
	}
	out, err := s.deflater.encodeDelta(nonce, delta)
	if err != nil {
		s.cfg.Log.Warn("cannot encode changes of the store for a peer", zap.Error(err))
		return &peerspb.Passed{Nonce: nonce}
	}
	return out
}

// sendPassed queues a response on the link to the peer that asked. Without a link
// the response is dropped and the peer times out.
func (s *Service) sendPassed(to netip.AddrPort, passed *peerspb.Passed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[to]; l != nil {
		l.queue(true, func(n *peerspb.News) { n.Passed = append(n.Passed, passed) })
	}
}
