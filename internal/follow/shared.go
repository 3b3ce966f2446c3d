package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxPassedAge is how old another host's view may be when the store cannot
	// be read.
	maxPassedAge = 3300 * time.Millisecond
	// directTimeout is the time for the store's answer beyond the wait of a watch.
	directTimeout = 700 * time.Millisecond
	// failureMemory is how long after a failed call other hosts are asked first.
	failureMemory = time.Second
	// probeInterval is how long after a failed call a host that need not read
	// the store leaves it to the others to find out when it is back.
	probeInterval = 2 * time.Second
)

// errUnread means that the store was not read because it failed lately.
var errUnread = errors.New("the store failed a moment ago and no other host has heard of it: wait")

// limits are the times that keep a change within the bound for it to be in
// force, though the host that reads the store for others is cut off from it.
type limits struct {
	// readerWait is how long the watch of a host that others ask may wait. Its
	// view is up to twice as old when the next one ends.
	readerWait time.Duration
	// freshAge is how old another host's view may be while the store can be
	// read instead.
	freshAge time.Duration
	// passedWait is how long another host, or the store in its place, may wait
	// for a change.
	passedWait time.Duration
	// askTimeout is the time for asking other hosts before the store is read.
	askTimeout time.Duration
}

func limitsFor(bound time.Duration) limits {
	readerWait := bound / 4
	return limits{
		readerWait: readerWait,
		freshAge:   2*readerWait + 100*time.Millisecond,
		passedWait: bound / 8,
		askTimeout: bound * 3 / 10,
	}
}

// ErrNoPeer means that no other host can answer.
var ErrNoPeer = errors.New("no other host can tell what is published: read the store")

// ErrPeersOld means that the other hosts' own views are too old.
var ErrPeersOld = errors.New("no other host has heard of the store lately: read it")

// Peers are the other hosts.
type Peers interface {
	// Reads reports whether this host is one of those that read the store.
	Reads() bool
	// Asked reports whether other hosts rely on what this one reads.
	Asked() bool
	// Ask asks other hosts for the changes after a revision, with a view of at
	// most maxAge. It returns ErrNoPeer, ErrPeersOld, or the context's error.
	Ask(ctx context.Context, after Revision, wait, maxAge time.Duration) (Passed, error)
}

// Shared is a Source for which only some hosts watch the store. The others ask
// these, and read the store themselves when nobody answers; hosts that the
// store turns away ask as well.
type Shared struct {
	Source
	peers  Peers
	limits limits
	log    *zap.Logger

	mu       sync.Mutex
	failedAt time.Time // of the newest failed call to the store
	from     string    // where the last answer came from, for the log
}

// NewSharedSource returns a source that shares the watches of direct among peers. A
// change must be in force within bound.
func NewSharedSource(direct Source, peers Peers, bound time.Duration, log *zap.Logger) *Shared {
	return &Shared{Source: direct, peers: peers, limits: limitsFor(bound), log: log}
}

// answeredBy notes a change of where answers come from.
func (s *Shared) answeredBy(from string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.from == from {
		return
	}
	s.log.Info("store is followed through another way", zap.String("from", from), zap.String("before", s.from), zap.NamedError("cause", cause))
	s.from = from
}

// Watch returns the changes after a revision from the store or another host.
func (s *Shared) Watch(ctx context.Context, after Revision, wait time.Duration) (Response, error) {
	q := question{began: time.Now(), after: after, wait: min(wait, s.limits.passedWait)}
	var cause error
	if !s.peers.Reads() || s.failedWithin(failureMemory) {
		listing, err := s.askFirst(ctx, q)
		if err == nil {
			s.answeredBy("peer", nil)
			return listing, nil
		}
		cause = err
		wait = q.wait // time has passed since the view was confirmed
	}
	if s.peers.Asked() {
		wait = min(wait, s.limits.readerWait)
	}
	listing, err := s.read(ctx, after, wait)
	if err == nil || errors.Is(err, ErrCompacted) {
		s.answeredBy("store", cause)
		return listing, err
	}
	if passed, askErr := s.ask(ctx, q, maxPassedAge); askErr == nil {
		s.answeredBy("peer", err)
		return passed, nil
	}
	return listing, err
}

// read watches the store if it is this host's turn.
func (s *Shared) read(ctx context.Context, after Revision, wait time.Duration) (Response, error) {
	if !s.peers.Reads() && s.failedWithin(probeInterval) {
		return Response{}, errUnread
	}
	return s.direct(ctx, after, wait)
}

// direct watches the store, with time left to ask another host afterwards.
func (s *Shared) direct(ctx context.Context, after Revision, wait time.Duration) (Response, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+directTimeout)
	defer cancel()
	listing, err := s.Source.Watch(callCtx, after, wait)
	if err != nil && !errors.Is(err, ErrCompacted) {
		s.mu.Lock()
		s.failedAt = time.Now()
		s.mu.Unlock()
	}
	return listing, err
}

// failedWithin reports whether a call to the store failed so lately.
func (s *Shared) failedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failedAt.IsZero() && time.Since(s.failedAt) < d
}

// question is what other hosts are asked.
type question struct {
	began time.Time // the age of an answer counts from here
	after Revision
	wait  time.Duration
}

// askFirst asks other hosts while there is time left to read the store.
func (s *Shared) askFirst(ctx context.Context, q question) (Response, error) {
	askCtx, cancel := context.WithTimeout(ctx, s.limits.askTimeout)
	defer cancel()
	return s.ask(askCtx, q, s.limits.freshAge)
}

func (s *Shared) ask(ctx context.Context, q question, maxAge time.Duration) (Response, error) {
	late := time.Since(q.began)
	passed, err := s.peers.Ask(ctx, q.after, q.wait, maxAge)
	if err != nil {
		return Response{}, err
	}
	age := time.Duration(passed.Age) * time.Millisecond
	listing := Response{Revision: passed.Revision, Age: age - late}
	for _, e := range passed.Entries {
		listing.Changes = append(listing.Changes, s.Decode(e))
	}
	return listing, nil
}
