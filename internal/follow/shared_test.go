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

// peers answer from another host's follower.
type peers struct {
	reads bool
	other *follow.Follower
	asked int
}

func (p *peers) Reads() bool { return p.reads }
func (p *peers) Ask(ctx context.Context, after follow.Revision, wait, _ time.Duration) (follow.Passed, error) {
	p.asked++
	if p.other == nil {
		return follow.Passed{}, follow.ErrNoPeer
	}
	select {
	case <-ctx.Done():
		return follow.Passed{}, ctx.Err()
	case <-time.After(wait):
	}
	passed, known := p.other.Since(after)
	if !known {
		return follow.Passed{}, follow.ErrNoPeer
	}
	return passed, nil
}

// lagging is a store that counts calls and may turn this host away.
type lagging struct {
	*store
	watches atomic.Int64
	away    bool
}

func (l *lagging) Watch(ctx context.Context, after follow.Revision, wait time.Duration) (follow.Listing, error) {
	l.watches.Add(1)
	if l.away {
		return follow.Listing{}, errors.New("turned away")
	}
	return l.store.Watch(ctx, after, wait)
}

func (l *lagging) Decode(e follow.Entry) follow.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.changes {
		if c.Revision == e.Revision {
			c.Entry = e
			return c
		}
	}
	return follow.Change{Entry: e, Revision: e.Revision}
}

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
		direct := &lagging{store: s}
		asker := follow.New(follow.NewShared(direct, &peers{other: reader}, zap.NewNop()), zap.NewNop())
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
		direct := &lagging{store: s, away: true}
		turnedAway := follow.New(follow.NewShared(direct, &peers{reads: true, other: reader}, zap.NewNop()), zap.NewNop())
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
		direct := &lagging{store: s}
		f := follow.New(follow.NewShared(direct, &peers{}, zap.NewNop()), zap.NewNop())
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
