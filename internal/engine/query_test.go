package engine_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/plantainrun/plantainrun/coord/identity"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	standin "github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/sweep"
	"github.com/plantainrun/plantainrun/internal/topology"
)

func init() { logx.Disable() }

func refusalReason(err error) string {
	var engineErr *engine.Error
	if errors.As(err, &engineErr) {
		return engineErr.Reason
	}
	return ""
}

func TestPutStateLoadsModelAndRejectsStaleFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		settings := fastSettings()
		settings.ChecksFencing, settings.LoadTime = true, 10*time.Second
		r := newHarness(settings)
		defer r.close()
		desired := engineapi.State{Fencing: 7, Model: "advice", Version: "2"}
		state, err := r.client.PutState(t.Context(), r.target, desired)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(state.Serving).To(gomega.BeFalse())
		c := r.generate("early", "prompt", 1, callerBehavior{timeLimit: time.Minute})
		g.Expect(refusalReason(c.err)).To(gomega.Equal(engineapi.ReasonLoading))
		g.Expect(c.result.Outcome).To(gomega.Equal(outcome.NotRun))

		stale := engineapi.State{Fencing: 6, Model: model}
		_, err = r.client.PutState(t.Context(), r.target, stale)
		g.Expect(refusalReason(err)).To(gomega.Equal(engineapi.ReasonStaleFencing))
		g.Expect(engine.OutcomeOf(err)).To(gomega.Equal(outcome.NotRun))
		time.Sleep(10 * time.Second)
		state, err = r.client.State(t.Context(), r.target)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		desired.Serving = true
		g.Expect(state).To(gomega.Equal(desired))
	})
}

func TestPutStateAcceptsStaleFencingIfEngineDoesNotCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newHarness(fastSettings())
		defer r.close()
		for _, fencing := range []uint64{7, 6} {
			state, err := r.client.PutState(t.Context(), r.target, engineapi.State{Fencing: fencing, Model: model})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(state.Fencing).To(gomega.Equal(fencing))
		}
	})
}

func TestKVBlocksAreListedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newHarness(fastSettings())
		defer r.close()
		ctx := t.Context()
		g.Expect(r.generate("r", strings.Repeat("x", 400), 1, callerBehavior{timeLimit: time.Minute}).err).NotTo(gomega.HaveOccurred())
		deadline := time.Now().Add(time.Hour).UnixMilli()
		block, err := r.client.ExportKV(ctx, r.target, engineapi.KVExportRequest{ID: "k", Stream: "r", Owner: "host@1", DeadlineMS: deadline})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(block.Tokens).To(gomega.Equal(100))
		part := engineapi.KVBlock{ID: "part", Owner: "host@1", DeadlineMS: deadline, Tokens: 50}
		g.Expect(r.client.ImportKV(ctx, r.target, part)).To(gomega.Succeed())
		part.ID, part.Tokens = "huge", 100_000
		g.Expect(refusalReason(r.client.ImportKV(ctx, r.target, part))).To(gomega.Equal(engineapi.ReasonNoMemory))

		held, err := r.client.ListAllocations(ctx, r.target)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(held).To(gomega.Equal([]engineapi.Allocation{
			{ID: "k", Kind: engineapi.AllocationKV, Owner: "host@1", DeadlineMS: deadline, Tokens: 100},
			{ID: "part", Kind: engineapi.AllocationKV, Owner: "host@1", DeadlineMS: deadline, Tokens: 50},
		}))
		for _, id := range []string{"k", "part"} {
			for _, first := range []bool{true, false} {
				g.Expect(r.client.ReleaseKV(ctx, r.target, id)).To(gomega.Equal(first))
			}
		}
		g.Expect(r.engine.ReservedTokens()).To(gomega.BeZero())
	})
}

// An engine reserves only its own part of a prompt that is partitioned across engines.
func TestKVPartReservesOnlyItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newHarness(fastSettings())
		defer r.close()
		req := request("r", strings.Repeat("x", 800_000), 10)
		_, _, err := collect(r.client, r.target, req)
		g.Expect(refusalReason(err)).To(gomega.Equal(engineapi.ReasonNoMemory))
		req.Parts = []engineapi.KVPart{{Target: "e1", Tokens: 90_000}, {Target: "e2", Tokens: 110_000}}
		text, _, err := collect(r.client, r.target, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(text).To(gomega.Equal(standin.ResponseText(req.Prompt, 10)))
	})
}

func TestCacheEventsLagAndGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		settings := fastSettings()
		settings.CacheEventLag = 5 * time.Second
		r := newHarness(settings)
		defer r.close()
		events := func(after uint64) engineapi.CacheEvents {
			e, err := r.client.CacheEvents(t.Context(), r.target, after)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return e
		}
		prompt := strings.Repeat("y", 3*engineapi.PrefixBlockBytes)
		g.Expect(r.generate("r", prompt, 1, callerBehavior{timeLimit: time.Minute}).err).NotTo(gomega.HaveOccurred())
		g.Expect(events(0)).To(gomega.Equal(engineapi.CacheEvents{From: 1, Next: 0, Events: []engineapi.CacheEvent{}}))
		time.Sleep(5 * time.Second)
		all := events(0)
		g.Expect(all.Events).To(gomega.HaveLen(3))
		g.Expect(all.Events[2].Prefix).To(gomega.Equal(engineapi.PrefixHashes(prompt)[0]))
		r.engine.Control(standin.Control{LoseEvents: 2})
		gap := events(0)
		g.Expect(gap.From).To(gomega.Equal(uint64(3)))
		g.Expect(gap.Events).To(gomega.Equal(all.Events[2:]))
		g.Expect(events(3).Events).To(gomega.BeEmpty())
	})
}

func TestLoadReportsIncarnationAndLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newHarness(fastSettings())
		defer r.close()
		leave := true
		r.engine.Control(standin.Control{Leave: &leave})
		before, err := r.client.Load(t.Context(), r.target)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(before.Leaving).To(gomega.BeTrue())
		g.Expect(r.generate("r", "prompt", 1, callerBehavior{timeLimit: time.Minute}).result.Leaving).To(gomega.BeTrue())
		r.engine.Control(standin.Control{Crash: &standin.Crash{RestartMS: 1000}})
		time.Sleep(2 * time.Second)
		after, err := r.client.Load(t.Context(), r.target)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after.Incarnation).NotTo(gomega.Equal(before.Incarnation))
		g.Expect(after.Leaving).To(gomega.BeFalse())
	})
}

// singleEngineMembership is the membership of a failure domain with one engine and one
// host.
type singleEngineMembership struct{ target topology.Target }

func (m singleEngineMembership) LiveHosts(string) []string        { return []string{"host"} }
func (m singleEngineMembership) Engines(string) []topology.Target { return []topology.Target{m.target} }
func (m singleEngineMembership) GoneSince(identity.Incarnation) (time.Time, bool) {
	return time.Time{}, false
}

// Memory left allocated by a host that is gone is released within its deadline plus the
// grace period plus one interval, even when the sweeper's open connections to the engine
// have stalled.
func TestSweepReleasesMemoryDespiteStalledConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		settings := fastSettings()
		settings.Model.KeepExpired = true
		settings.Model.DecodeInterval = time.Hour
		r := newHarness(settings)
		defer r.close()
		const deadline, interval, grace = time.Minute, 10 * time.Second, 5 * time.Second
		opts := sweep.Options{Host: "host", Interval: interval, Grace: grace}
		sweeper := sweep.New(opts, r.client, singleEngineMembership{r.target})
		go sweeper.Run(t.Context())
		block := engineapi.KVBlock{ID: "k", Owner: "gone@1", DeadlineMS: time.Now().Add(deadline).UnixMilli(), Tokens: 10}
		g.Expect(r.client.ImportKV(t.Context(), r.target, block)).To(gomega.Succeed())
		time.Sleep(deadline)
		for range 3 {
			_, err := r.client.Load(t.Context(), r.target)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		now := int64(0)
		r.engine.Control(standin.Control{SilentAfter: &now})
		g.Expect(r.engine.ReservedTokens()).To(gomega.Equal(10))
		time.Sleep(grace + interval + time.Millisecond)
		g.Expect(r.engine.ReservedTokens()).To(gomega.BeZero())
	})
}
