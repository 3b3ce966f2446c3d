package follow_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/follow"
)

// fakePeers answer from another host's follower.
type fakePeers struct {
	reads bool
	other *follow.Follower
	asked int
}

func (p *fakePeers) IsReader() bool      { return p.reads }
func (p *fakePeers) RecentlyAsked() bool { return p.reads }
func (p *fakePeers) Ask(ctx context.Context, after follow.Revision, wait, maxAge time.Duration) (follow.Delta, error) {
	p.asked++
	if p.other == nil {
		return follow.Delta{}, follow.ErrNoPeer
	}
	select {
	case <-ctx.Done():
		return follow.Delta{}, ctx.Err()
	case <-time.After(wait):
	}
	passed, known := p.other.ChangesSince(after)
	switch {
	case !known:
		return follow.Delta{}, follow.ErrNoPeer
	case time.Duration(passed.AgeMillis)*time.Millisecond > maxAge:
		return follow.Delta{}, follow.ErrPeersStale
	}
	return passed, nil
}

// faultyStore is a store that counts calls and may turn this host away.
type faultyStore struct {
	*fakeStore
	watches atomic.Int64
	refuse  bool
	hung    atomic.Bool // watches are not answered
}

func (l *faultyStore) Watch(ctx context.Context, after follow.Revision, wait time.Duration) (follow.Response, error) {
	l.watches.Add(1)
	if l.refuse {
		return follow.Response{}, errors.New("turned away")
	}
	if l.hung.Load() {
		<-ctx.Done()
		return follow.Response{}, ctx.Err()
	}
	return l.fakeStore.Watch(ctx, after, wait)
}

func (l *faultyStore) Decode(e follow.Entry) follow.Change { return l.changeOf(e) }

func TestHostsThatDoNotReadAreToldByOnesThatDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStore()
		s.put(version(7))
		reader := follow.New(s, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		direct := &faultyStore{fakeStore: s}
		asker := follow.New(follow.NewSharedSource(direct, &fakePeers{other: reader}, applyBound, zap.NewNop()), zap.NewNop())
		go asker.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		s.put(version(9))
		s.put(registration("a", false))
		time.Sleep(time.Second)
		g.Expect(asker.View().Config.Version).To(BeEquivalentTo(9))
		g.Expect(targets(asker)).To(ConsistOf("a"))
		g.Expect(direct.watches.Load()).To(BeZero())
	})
}

func TestAHostThatTheStoreTurnsAwayAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStore()
		s.put(version(7))
		reader := follow.New(s, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		direct := &faultyStore{fakeStore: s, refuse: true}
		turnedAway := follow.New(follow.NewSharedSource(direct, &fakePeers{reads: true, other: reader}, applyBound, zap.NewNop()), zap.NewNop())
		go turnedAway.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		s.put(version(9))
		time.Sleep(3 * time.Second)
		g.Expect(turnedAway.View().Config.Version).To(BeEquivalentTo(9))
		_, failures := turnedAway.Stats()
		g.Expect(failures).To(BeZero(), "the store is not lost while peers tell what it says")
	})
}

func TestWithoutAPeersAnswerTheStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStore()
		s.put(version(7))
		direct := &faultyStore{fakeStore: s}
		f := follow.New(follow.NewSharedSource(direct, &fakePeers{}, applyBound, zap.NewNop()), zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		s.put(version(9))
		time.Sleep(200 * time.Millisecond)
		g.Expect(f.View().Config.Version).To(BeEquivalentTo(9))
		g.Expect(direct.watches.Load()).To(BeNumerically(">", 0))
	})
}

// A host that fell behind a series of changes is told how things stand, not
// each step on the way there.
func TestOnlyTheNewestChangeOfAKeyIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStore()
		s.put(version(7))
		reader := newFollower(s)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		behind := reader.View().Revision
		for v := range int64(20) {
			s.put(version(8 + v))
			time.Sleep(200 * time.Millisecond)
		}
		passed, known := reader.ChangesSince(behind)
		g.Expect(known).To(BeTrue())
		g.Expect(passed.Entries).To(HaveLen(1))
		g.Expect(passed.Entries[0].Revision).To(Equal(passed.Revision))
		s.put(registration("a", true))
		s.put(removal("a"))
		time.Sleep(time.Second)
		passed, _ = reader.ChangesSince(passed.Revision)
		g.Expect(passed.Entries).To(HaveLen(2), "it said that it leaves, and left")
	})
}

// applyBound is the users' bound for a configuration to be in force on most sites.
const applyBound = 3 * time.Second

// forBounds plays a test at the bounds of several sites.
func forBounds(t *testing.T, play func(*testing.T, time.Duration)) {
	for _, bound := range []time.Duration{2 * time.Second, applyBound} {
		t.Run(bound.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, bound) })
		})
	}
}

// The host that reads the store for others is cut off from it.
func TestAChangeArrivesInTimeThoughTheReaderIsCutOff(t *testing.T) {
	forBounds(t, func(t *testing.T, bound time.Duration) {
		g := NewWithT(t)
		s := newStore()
		s.put(version(7))
		cut := &faultyStore{fakeStore: s}
		reader := newFollower(follow.NewSharedSource(cut, &fakePeers{reads: true}, bound, zap.NewNop()))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		asker := newFollower(follow.NewSharedSource(&faultyStore{fakeStore: s}, &fakePeers{other: reader}, bound, zap.NewNop()))
		go asker.Run(ctx)
		time.Sleep(4 * time.Second)
		s.put(registration("a", false)) // ends the reader's waiting watch
		time.Sleep(200 * time.Millisecond)
		cut.hung.Store(true)
		s.put(registration("b", false)) // ends a short one, so its view is young
		time.Sleep(10 * time.Millisecond)
		s.put(version(9))
		time.Sleep(bound)
		g.Expect(asker.View().Config.Version).To(BeEquivalentTo(9))
	})
}

// The hosts that read the store are so slow that no answer comes in time.
func TestAChangeArrivesInTimeThoughNoPeerAnswers(t *testing.T) {
	forBounds(t, func(t *testing.T, bound time.Duration) {
		g := NewWithT(t)
		s := newStore()
		s.put(version(7))
		asker := newFollower(follow.NewSharedSource(&faultyStore{fakeStore: s}, silentPeers{}, bound, zap.NewNop()))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go asker.Run(ctx)
		time.Sleep(10 * time.Second)
		s.put(version(9))
		time.Sleep(bound)
		g.Expect(asker.View().Config.Version).To(BeEquivalentTo(9))
		g.Expect(asker.Age()).To(BeNumerically("<", bound))
	})
}

// While nothing happens, only the readers call the store.
func TestACalmReaderIsFreshEnoughForTheOthers(t *testing.T) {
	forBounds(t, func(t *testing.T, bound time.Duration) {
		g := NewWithT(t)
		s := newStore()
		s.put(version(7))
		reader := newFollower(follow.NewSharedSource(&faultyStore{fakeStore: s}, &fakePeers{reads: true}, bound, zap.NewNop()))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		direct := &faultyStore{fakeStore: s}
		asker := newFollower(follow.NewSharedSource(direct, &fakePeers{other: reader}, bound, zap.NewNop()))
		go asker.Run(ctx)
		time.Sleep(time.Minute)
		g.Expect(direct.watches.Load()).To(BeZero())
		g.Expect(asker.Age()).To(BeNumerically("<", bound))
	})
}

// The store is down for all. The hosts that read it for others look when it is
// back, and the others hear of it.
func TestInAnOutageFewHostsCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStore()
		s.put(version(7))
		reader := newFollower(follow.NewSharedSource(&faultyStore{fakeStore: s}, &fakePeers{reads: true}, applyBound, zap.NewNop()))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		direct := &faultyStore{fakeStore: s}
		asker := newFollower(follow.NewSharedSource(direct, &fakePeers{other: reader}, applyBound, zap.NewNop()))
		go asker.Run(ctx)
		time.Sleep(time.Second)
		s.setDown(true)
		const outage = 10 * time.Second
		time.Sleep(outage)
		g.Expect(direct.watches.Load()).To(BeNumerically("<=", int64(outage/(2*time.Second))))
		s.setDown(false)
		s.put(version(9))
		time.Sleep(time.Second)
		g.Expect(asker.View().Config.Version).To(BeEquivalentTo(9))
	})
}

// silentPeers are peers that never answer.
type silentPeers struct{}

func (silentPeers) IsReader() bool      { return false }
func (silentPeers) RecentlyAsked() bool { return false }
func (silentPeers) Ask(ctx context.Context, _ follow.Revision, _, _ time.Duration) (follow.Delta, error) {
	<-ctx.Done()
	return follow.Delta{}, ctx.Err()
}

// newFollower is one whose clock is the test's.
func newFollower(source follow.Source) *follow.Follower {
	f := follow.New(source, zap.NewNop())
	start := time.Now().Add(-time.Hour) // the machine has run for a while
	f.UseClock(func() time.Duration { return time.Since(start) })
	return f
}
