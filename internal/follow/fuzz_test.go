package follow_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/follow"
)

const (
	fleetReaders = 2
	fleetHosts   = 5
	// maxRetention is how long a target that may only have lapsed is kept, with
	// the time to notice.
	maxRetention = 2500 * time.Millisecond
	// peerDelay is the time that a message between hosts takes.
	peerDelay = 5 * time.Millisecond
)

// Ways to the store.
const (
	pathOpen int32 = iota
	pathRefused
	pathHung
)

// member is one host of the fleet.
type member struct {
	*fakeStore
	sim             *fleetSim
	index           int
	follower        *follow.Follower
	storePath       atomic.Int32
	isolated        atomic.Bool // cut off from other hosts
	lastStoreOutage time.Time   // when its way to the store was last not open
	lastSeenVersion int64       // version seen in force
	// departures are when the host's view first covered each.
	departures map[departure]time.Time
}

func (m *member) Watch(ctx context.Context, after follow.Revision, wait time.Duration) (follow.Response, error) {
	if err := m.blocked(ctx); err != nil {
		return follow.Response{}, err
	}
	return m.fakeStore.Watch(ctx, after, wait)
}

func (m *member) List(ctx context.Context) (follow.Response, error) {
	if err := m.blocked(ctx); err != nil {
		return follow.Response{}, err
	}
	return m.fakeStore.List(ctx)
}

func (m *member) blocked(ctx context.Context) error {
	switch m.storePath.Load() {
	case pathRefused:
		return errors.New("refused")
	case pathHung:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (m *member) Decode(e follow.Entry) follow.Change { return m.changeOf(e) }

func (m *member) IsReader() bool      { return m.index < fleetReaders }
func (m *member) RecentlyAsked() bool { return m.IsReader() }

// Ask asks the readers, then the others.
func (m *member) Ask(ctx context.Context, after follow.Revision, wait, maxAge time.Duration) (follow.Delta, error) {
	err := follow.ErrNoPeer
	for _, other := range m.sim.members {
		if other == m || m.isolated.Load() || other.isolated.Load() {
			continue
		}
		delta, known := other.answer(ctx, after, wait, maxAge)
		switch {
		case ctx.Err() != nil:
			return follow.Delta{}, ctx.Err()
		case known && time.Duration(delta.AgeMillis)*time.Millisecond <= maxAge:
			return delta, nil
		case known:
			err = follow.ErrPeersStale
		}
	}
	return follow.Delta{}, err
}

func (m *member) answer(ctx context.Context, after follow.Revision, wait, maxAge time.Duration) (follow.Delta, bool) {
	timeout := time.After(wait)
	for {
		changed := m.follower.Changed()
		delta, known := m.follower.ChangesSince(after)
		if !known || len(delta.Entries) > 0 || time.Duration(delta.AgeMillis)*time.Millisecond > maxAge {
			time.Sleep(peerDelay)
			return delta, known
		}
		select {
		case <-ctx.Done():
			return delta, false
		case <-changed:
		case <-timeout:
			delta, known = m.follower.ChangesSince(after)
			time.Sleep(peerDelay)
			return delta, known
		}
	}
}

// departure is when a target left.
type departure struct {
	target string
	at     time.Time
}

// awareSince returns when the host's view first covered a departure, or was last
// able to find out whether the target comes back.
func (m *member) awareSince(target string, leftAt, confirmedAt time.Time) time.Time {
	now := time.Now()
	if !leftAt.Before(confirmedAt) {
		return now
	}
	d := departure{target: target, at: leftAt}
	if m.departures[d].IsZero() {
		m.departures[d] = now
	}
	reachableAt := m.lastStoreOutage.Add(m.sim.bound)
	if reachableAt.After(m.departures[d]) {
		return reachableAt
	}
	return m.departures[d]
}

// storeState is a state of the store and when it came to be.
type storeState struct {
	at      time.Time
	version int64
	leaving map[string]bool // by target that is registered
}

// fleetSim is a store, hosts that share its news, and the oracle.
type fleetSim struct {
	store   *fakeStore
	members []*member
	bound   time.Duration
	version int64
	leaving map[string]bool
	states  []storeState
}

func newFleetSim(ctx context.Context, bound time.Duration) *fleetSim {
	w := &fleetSim{store: newStore(), bound: bound, leaving: make(map[string]bool)}
	w.publish()
	for i := range fleetHosts {
		m := &member{fakeStore: w.store, sim: w, index: i, departures: make(map[departure]time.Time)}
		m.follower = newFollower(follow.NewSharedSource(m, m, bound, zap.NewNop()))
		w.members = append(w.members, m)
	}
	for _, m := range w.members {
		go m.follower.Run(ctx)
	}
	return w
}

// publish puts the next version in the store.
func (w *fleetSim) publish() {
	w.version++
	w.store.put(configVersion(w.version))
	w.recordState()
}

func (w *fleetSim) register(id string, leaving bool) {
	w.leaving[id] = leaving
	w.store.put(registration(id, leaving))
	w.recordState()
}

func (w *fleetSim) remove(id string) {
	delete(w.leaving, id)
	w.store.put(removal(id))
	w.recordState()
}

func (w *fleetSim) recordState() {
	leaving := make(map[string]bool)
	for id, l := range w.leaving {
		leaving[id] = l
	}
	w.states = append(w.states, storeState{at: time.Now(), version: w.version, leaving: leaving})
}

// stateBefore returns the state just before a time.
func (w *fleetSim) stateBefore(t time.Time) storeState {
	state := w.states[0]
	for _, s := range w.states {
		if s.at.Before(t) {
			state = s
		}
	}
	return state
}

// lastUsable returns when a target was last registered and not leaving.
func (w *fleetSim) lastUsable(id string) time.Time {
	var last time.Time
	for i, s := range w.states {
		leaving, registered := s.leaving[id]
		if !registered || leaving {
			continue
		}
		last = time.Now()
		if i+1 < len(w.states) {
			last = w.states[i+1].at
		}
	}
	return last
}

// check compares each host with what it may know.
func (w *fleetSim) check(reportViolation func(string, ...any)) {
	now := time.Now()
	for _, m := range w.members {
		age := m.follower.Age() // before the view, which may be replaced meanwhile
		view := m.follower.View()
		if view.Config == nil {
			continue
		}
		got := view.Config.Version
		if got < m.lastSeenVersion {
			reportViolation("host %d went back from version %d to %d", m.index, m.lastSeenVersion, got)
		}
		m.lastSeenVersion = got
		if confirmed := w.stateBefore(now.Add(-age)).version; got < confirmed {
			reportViolation("host %d says its view is %v old, but version %d, not %d, was in force then", m.index, age, confirmed, got)
		}
		due := w.stateBefore(now.Add(-w.bound))
		connected := m.storePath.Load() == pathOpen && now.Sub(m.lastStoreOutage) > 2*w.bound
		if connected && got < due.version {
			reportViolation("host %d is in touch with the store and has version %d, %d is older than %v", m.index, got, due.version, w.bound)
		}
		for _, target := range view.Targets("llm") {
			if connected && due.leaving[target.ID] && now.Sub(w.lastUsable(target.ID)) > w.bound {
				reportViolation("host %d is in touch with the store and uses target %s, which said more than %v ago that it leaves", m.index, target.ID, w.bound)
			}
			if kept := now.Sub(m.awareSince(target.ID, w.lastUsable(target.ID), now.Add(-age))); kept > maxRetention {
				reportViolation("host %d uses target %s %v after it knew that it left", m.index, target.ID, kept)
			}
		}
	}
}

// step is one event of a run.
type step struct {
	kind  string
	host  int
	pause time.Duration
}

var stepKinds = []string{"publish", "publish", "storm", "register", "leave", "remove", "refuse", "hang", "open", "deafen", "hear", "compact", "down", "up", "wait"}

func drawStep(t *rapid.T) step {
	return step{
		kind:  rapid.SampledFrom(stepKinds).Draw(t, "what"),
		host:  rapid.IntRange(0, fleetHosts-1).Draw(t, "host"),
		pause: time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond,
	}
}

func (w *fleetSim) apply(s step) {
	m := w.members[s.host]
	id := fmt.Sprint("t", s.host)
	switch s.kind {
	case "publish":
		w.publish()
	case "storm":
		for range 8 {
			w.publish()
			time.Sleep(30 * time.Millisecond)
		}
	case "register":
		w.register(id, false)
	case "leave":
		if _, registered := w.leaving[id]; registered {
			w.register(id, true)
		}
	case "remove":
		w.remove(id)
	case "refuse":
		m.storePath.Store(pathRefused)
	case "hang":
		m.storePath.Store(pathHung)
	case "open":
		m.storePath.Store(pathOpen)
	case "deafen":
		m.isolated.Store(true)
	case "hear":
		m.isolated.Store(false)
	case "compact":
		w.store.compact()
	case "down":
		w.store.setDown(true)
	case "up":
		w.store.setDown(false)
	}
}

// recordOutages remembers which hosts have no way to the store.
func (w *fleetSim) recordOutages(down bool) {
	for _, m := range w.members {
		if down || m.storePath.Load() != pathOpen {
			m.lastStoreOutage = time.Now()
		}
	}
}

// Whatever happens to the ways between hosts and the store, no host goes back,
// none says that its view is younger than it is, each that is in touch has a
// change within the bound and uses no target beyond it that leaves, and when all
// is well again all know what is published.
func TestFuzzFleetFollowsStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := rapid.SampledFrom([]time.Duration{2 * time.Second, applyBound}).Draw(rt, "bound")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 40).Draw(rt, "steps")
		var violation string
		synctest.Test(t, func(t *testing.T) { violation = runFleet(t.Context(), bound, steps) })
		if violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
}

// runFleet returns the first fault, empty if there is none.
func runFleet(ctx context.Context, bound time.Duration, steps []step) (violation string) {
	reportViolation := func(format string, args ...any) {
		if violation == "" {
			violation = fmt.Sprintf(format, args...)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		time.Sleep(time.Second) // all goroutines end
	}()
	w := newFleetSim(ctx, bound)
	time.Sleep(100 * time.Millisecond)
	down := false
	for _, s := range steps {
		w.apply(s)
		down = (down || s.kind == "down") && s.kind != "up"
		const tick = 50 * time.Millisecond
		for left := s.pause; left > 0; left -= tick {
			w.recordOutages(down)
			time.Sleep(min(tick, left))
			w.recordOutages(down)
			w.check(reportViolation)
		}
	}
	w.store.setDown(false)
	for _, m := range w.members {
		m.storePath.Store(pathOpen)
		m.isolated.Store(false)
	}
	time.Sleep(10 * time.Second)
	w.check(reportViolation)
	w.expectConverged(reportViolation)
	return violation
}

func (w *fleetSim) expectConverged(reportViolation func(string, ...any)) {
	var want []string
	for id, leaving := range w.leaving {
		if !leaving {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	for _, m := range w.members {
		got := targets(m.follower)
		slices.Sort(got)
		if !slices.Equal(got, want) || m.follower.View().Config.Version != w.version {
			reportViolation("host %d has version %d and targets %v, not %d and %v", m.index, m.follower.View().Config.Version, got, w.version, want)
		}
	}
}
