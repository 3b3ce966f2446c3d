package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxPeerViewAge is the maximum age of a peer's view when the store cannot be
	// read.
	maxPeerViewAge = 3300 * time.Millisecond
	// storeTimeout is the time allowed for the store's response beyond the wait of
	// a watch.
	storeTimeout = 700 * time.Millisecond
	// peersFirstPeriod is how long after a failed call to the store a reader asks
	// peers before it calls the store.
	peersFirstPeriod = time.Second
	// storeProbeInterval is how long a host that is not a reader waits after a
	// failed call before it calls the store again. Meanwhile only the readers
	// probe whether the store is back.
	storeProbeInterval = 2 * time.Second
)

// errStoreSkipped means that the store was not read because a call to it failed
// recently.
var errStoreSkipped = errors.New("store call skipped after a recent failure and no peer has a recent view: retry later")

// timeLimits holds the waits and timeouts derived from the bound within which a
// change must be in force. With them the bound is met even if the reader that this
// host asks loses its connection to the store.
type timeLimits struct {
	// readerWatchWait is the longest wait of a watch by a host that other hosts
	// ask. Just before a watch ends, the host's view can be twice as old as this.
	readerWatchWait time.Duration
	// maxFreshAge is the maximum age of a peer's view while the store can be read
	// instead.
	maxFreshAge time.Duration
	// peerWait is how long a peer, or the store if no peer answers, may wait for a
	// change.
	peerWait time.Duration
	// askTimeout is the time allowed for asking peers before the store is read.
	askTimeout time.Duration
}

func limitsFor(bound time.Duration) timeLimits {
	readerWait := bound / 4
	return timeLimits{
		readerWatchWait: readerWait,
		maxFreshAge:     2*readerWait + 100*time.Millisecond,
		peerWait:        bound / 8,
		askTimeout:      bound * 3 / 10,
	}
}

// ErrNoPeer means that no peer can answer.
var ErrNoPeer = errors.New("no peer has the requested changes: read the store")

// ErrPeersStale means that peers answered, but their views are too old.
var ErrPeersStale = errors.New("no peer has a recent enough view: read the store")

// Peers gives access to the changes that other hosts have read from the store.
type Peers interface {
	// IsReader reports whether this host is one of those that watch the store.
	IsReader() bool
	// RecentlyAsked reports whether other hosts have asked this one recently and
	// may rely on what it reads.
	RecentlyAsked() bool
	// Ask returns the changes after a revision from a peer whose view is at most
	// maxAge old; the peer waits up to wait for a change. It fails with ErrNoPeer,
	// ErrPeersStale or the context's error.
	Ask(ctx context.Context, after Revision, wait, maxAge time.Duration) (Delta, error)
}

// SharedSource is a Source that limits the load on the store: only some hosts,
// the readers, watch it. The other hosts ask peers and fall back to the store if
// none answers. A reader whose call to the store fails asks peers as well.
type SharedSource struct {
	Source
	peers  Peers
	limits timeLimits
	log    *zap.Logger

	mu            sync.Mutex
	lastFailureAt time.Time // last failed call to the store
	lastOrigin    string    // where the last response came from; changes of it are logged
}

// NewSharedSource returns a SharedSource that reads from store and from peers.
// bound is the time within which a change must be in force.
func NewSharedSource(store Source, peers Peers, bound time.Duration, log *zap.Logger) *SharedSource {
	return &SharedSource{Source: store, peers: peers, limits: limitsFor(bound), log: log}
}

// recordOrigin logs when responses start to come from another origin.
func (s *SharedSource) recordOrigin(origin string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastOrigin == origin {
		return
	}
	s.log.Info("store is followed through another way", zap.String("from", origin), zap.String("before", s.lastOrigin), zap.NamedError("cause", cause))
	s.lastOrigin = origin
}

// Watch returns the changes after a revision, from the store or from a peer.
func (s *SharedSource) Watch(ctx context.Context, after Revision, wait time.Duration) (Response, error) {
	q := peerQuery{start: time.Now(), after: after, wait: min(wait, s.limits.peerWait)}
	var cause error
	if !s.peers.IsReader() || s.failedWithin(peersFirstPeriod) {
		resp, err := s.askFresh(ctx, q)
		if err == nil {
			s.recordOrigin("peer", nil)
			return resp, nil
		}
		cause = err
		wait = q.wait // asking took time, and the view has aged meanwhile
	}
	if s.peers.RecentlyAsked() {
		wait = min(wait, s.limits.readerWatchWait)
	}
	resp, err := s.readStore(ctx, after, wait)
	if err == nil || errors.Is(err, ErrCompacted) {
		s.recordOrigin("store", cause)
		return resp, err
	}
	if resp, askErr := s.askPeers(ctx, q, maxPeerViewAge); askErr == nil {
		s.recordOrigin("peer", err)
		return resp, nil
	}
	return resp, err
}

// readStore watches the store, unless this host is not a reader and a call to the
// store failed within storeProbeInterval.
func (s *SharedSource) readStore(ctx context.Context, after Revision, wait time.Duration) (Response, error) {
	if !s.peers.IsReader() && s.failedWithin(storeProbeInterval) {
		return Response{}, errStoreSkipped
	}
	return s.watchStore(ctx, after, wait)
}

// watchStore watches the store with a timeout that leaves time to ask a peer
// afterwards.
func (s *SharedSource) watchStore(ctx context.Context, after Revision, wait time.Duration) (Response, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	resp, err := s.Source.Watch(callCtx, after, wait)
	if err != nil && !errors.Is(err, ErrCompacted) {
		s.mu.Lock()
		s.lastFailureAt = time.Now()
		s.mu.Unlock()
	}
	return resp, err
}

// failedWithin reports whether a call to the store failed within the last d.
func (s *SharedSource) failedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastFailureAt.IsZero() && time.Since(s.lastFailureAt) < d
}

// peerQuery holds the parameters of a request to peers.
type peerQuery struct {
	start time.Time // ages of responses are relative to this time
	after Revision
	wait  time.Duration
}

// askFresh asks peers, with limits that leave time to read the store if none has
// a recent view.
func (s *SharedSource) askFresh(ctx context.Context, q peerQuery) (Response, error) {
	askCtx, cancel := context.WithTimeout(ctx, s.limits.askTimeout)
	defer cancel()
	return s.askPeers(askCtx, q, s.limits.maxFreshAge)
}

// askPeers asks peers for the changes. The time that passed since q.start is
// subtracted from the age of the response, because the caller measures the age
// from q.start.
func (s *SharedSource) askPeers(ctx context.Context, q peerQuery, maxAge time.Duration) (Response, error) {
	elapsed := time.Since(q.start)
	delta, err := s.peers.Ask(ctx, q.after, q.wait, maxAge)
	if err != nil {
		return Response{}, err
	}
	age := time.Duration(delta.AgeMillis) * time.Millisecond
	resp := Response{Revision: delta.Revision, Era: delta.Era, Age: age - elapsed}
	for _, e := range delta.Entries {
		resp.Changes = append(resp.Changes, s.Decode(e))
	}
	return resp, nil
}
