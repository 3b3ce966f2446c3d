package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxPeerViewAge is how old another host's view may be when the store cannot
	// be read.
	maxPeerViewAge = 3300 * time.Millisecond
	// storeTimeout is the time for the store's answer beyond the wait of a watch.
	storeTimeout = 700 * time.Millisecond
	// peersFirstPeriod is how long after a failed call other hosts are asked first.
	peersFirstPeriod = time.Second
	// storeProbeInterval is how long after a failed call a host that need not read
	// the store leaves it to the others to find out when it is back.
	storeProbeInterval = 2 * time.Second
)

// errStoreSkipped means that the store was not read because it failed lately.
var errStoreSkipped = errors.New("the store failed a moment ago and no other host has heard of it: wait")

// timeLimits are the times that keep a change within the bound for it to be in
// force, though the host that reads the store for others is cut off from it.
type timeLimits struct {
	// readerWatchWait is how long the watch of a host that others ask may wait. Its
	// view is up to twice as old when the next one ends.
	readerWatchWait time.Duration
	// maxFreshAge is how old another host's view may be while the store can be
	// read instead.
	maxFreshAge time.Duration
	// peerWait is how long another host, or the store in its place, may wait
	// for a change.
	peerWait time.Duration
	// askTimeout is the time for asking other hosts before the store is read.
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

// ErrNoPeer means that no other host can answer.
var ErrNoPeer = errors.New("no other host can tell what is published: read the store")

// ErrPeersStale means that the other hosts' own views are too old.
var ErrPeersStale = errors.New("no other host has heard of the store lately: read it")

// Peers are the other hosts.
type Peers interface {
	// IsReader reports whether this host is one of those that read the store.
	IsReader() bool
	// RecentlyAsked reports whether other hosts rely on what this one reads.
	RecentlyAsked() bool
	// Ask asks other hosts for the changes after a revision, with a view of at
	// most maxAge. It returns ErrNoPeer, ErrPeersStale, or the context's error.
	Ask(ctx context.Context, after Revision, wait, maxAge time.Duration) (Delta, error)
}

// SharedSource is a Source for which only some hosts watch the store. The others ask
// these, and read the store themselves when nobody answers; hosts that the
// store turns away ask as well.
type SharedSource struct {
	Source
	peers  Peers
	limits timeLimits
	log    *zap.Logger

	mu            sync.Mutex
	lastFailureAt time.Time // of the newest failed call to the store
	lastOrigin    string    // where the last answer came from, for the log
}

// NewSharedSource returns a source that shares the watches of direct among peers. A
// change must be in force within bound.
func NewSharedSource(store Source, peers Peers, bound time.Duration, log *zap.Logger) *SharedSource {
	return &SharedSource{Source: store, peers: peers, limits: limitsFor(bound), log: log}
}

// recordOrigin notes a change of where answers come from.
func (s *SharedSource) recordOrigin(origin string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastOrigin == origin {
		return
	}
	s.log.Info("store is followed through another way", zap.String("from", origin), zap.String("before", s.lastOrigin), zap.NamedError("cause", cause))
	s.lastOrigin = origin
}

// Watch returns the changes after a revision from the store or another host.
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
		wait = q.wait // time has passed since the view was confirmed
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

// readStore watches the store if it is this host's turn.
func (s *SharedSource) readStore(ctx context.Context, after Revision, wait time.Duration) (Response, error) {
	if !s.peers.IsReader() && s.failedWithin(storeProbeInterval) {
		return Response{}, errStoreSkipped
	}
	return s.watchStore(ctx, after, wait)
}

// watchStore watches the store, with time left to ask another host afterwards.
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

// failedWithin reports whether a call to the store failed so lately.
func (s *SharedSource) failedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastFailureAt.IsZero() && time.Since(s.lastFailureAt) < d
}

// peerQuery is what other hosts are asked.
type peerQuery struct {
	start time.Time // the age of an answer counts from here
	after Revision
	wait  time.Duration
}

// askFresh asks other hosts while there is time left to read the store.
func (s *SharedSource) askFresh(ctx context.Context, q peerQuery) (Response, error) {
	askCtx, cancel := context.WithTimeout(ctx, s.limits.askTimeout)
	defer cancel()
	return s.askPeers(askCtx, q, s.limits.maxFreshAge)
}

func (s *SharedSource) askPeers(ctx context.Context, q peerQuery, maxAge time.Duration) (Response, error) {
	elapsed := time.Since(q.start)
	delta, err := s.peers.Ask(ctx, q.after, q.wait, maxAge)
	if err != nil {
		return Response{}, err
	}
	age := time.Duration(delta.AgeMillis) * time.Millisecond
	resp := Response{Revision: delta.Revision, Age: age - elapsed}
	for _, e := range delta.Entries {
		resp.Changes = append(resp.Changes, s.Decode(e))
	}
	return resp, nil
}
