package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/coord/clock"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/schedule"
	"github.com/plantainrun/plantainrun/internal/topology"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	prefillRate = 10_000. // tokens per second
	decodeRate  = 50.
	engineSize  = 50_000 // tokens
)

// request is an offered request with its result.
type request struct {
	req         schedule.Request
	grant       schedule.Grant
	deliveredAt time.Time
	err         error
	deliveries  int
	refused     bool
}

// harness runs one scheduler in virtual time and records the offered requests.
type harness struct {
	now     time.Time
	clock   *clock.Manual
	local   *schedule.Local
	targets []topology.Target
	offered []*request
}

func newHarness(targets ...topology.Target) *harness {
	h := &harness{now: epoch, clock: clock.NewManual(epoch), targets: targets}
	h.local = schedule.New(schedule.Config{Self: "host-1", Clock: h.clock})
	h.local.SetTargets(targets)
	h.local.SetHosts([]string{"host-1"}, nil)
	for _, t := range targets {
		h.report(t.ID, "1", 0)
	}
	return h
}

func (h *harness) report(target, incarnation string, prefill int) {
	h.local.Report(h.now, target, engineapi.LoadReport{
		Incarnation: incarnation, Model: "advice", ObservedMS: h.now.UnixMilli(),
		PrefillTokens: prefill, PrefillRate: prefillRate, DecodeRate: decodeRate, MemoryTotal: engineSize,
	})
}

// advance moves the clock forward and polls the scheduler whenever a poll is due.
func (h *harness) advance(by time.Duration) {
	end := h.now.Add(by)
	for {
		at, ok := h.local.NextPoll(h.now)
		if !ok || !at.Before(end) {
			break
		}
		if !at.After(h.now) {
			at = h.now.Add(time.Millisecond)
		}
		h.setTime(at)
		h.local.Poll(h.now)
	}
	h.setTime(end)
	h.local.Poll(h.now)
}

func (h *harness) setTime(to time.Time) {
	h.clock.Advance(to.Sub(h.now))
	h.now = to
}

func (h *harness) offer(partner, org string, tokens, output int, limit time.Duration) *request {
	r := &request{req: schedule.Request{
		ID: fmt.Sprint(len(h.offered)), Partner: partner, Organisation: org, Model: "advice",
		PromptTokens: tokens, MaxTokens: output, Arrival: h.now, Deadline: h.now.Add(limit),
	}}
	h.offered = append(h.offered, r)
	_, err := h.local.Offer(h.now, r.req, func(g schedule.Grant, err error) {
		r.deliveries++
		r.grant, r.err, r.deliveredAt = g, err, h.now
	})
	if err != nil {
		r.err, r.refused = err, true
	}
	return r
}

// Each offered request gets exactly one result: it is refused immediately, granted
// while it can still finish, or expired before its deadline with a Retry-After. No
// engine's memory is reserved twice, and all of it is released in the end.
func TestEachRequestIsDecidedBeforeDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		h := newHarness(engine("e1", engineSize), engine("e2", engineSize), engine("e3", engineSize))
		target := func() string { return rapid.SampledFrom(h.targets).Draw(t, "target").ID }
		incarnation := 1
		running := func() []*request {
			var rs []*request
			for _, r := range h.offered {
				if r.grant != nil {
					rs = append(rs, r)
				}
			}
			return rs
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "count") {
					tokens := rapid.SampledFrom([]int{500, 5_000, 20_000, 45_000, 60_000}).Draw(t, "tokens")
					limit := time.Duration(rapid.IntRange(1, 60).Draw(t, "limit")) * time.Second
					h.offer(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "partner"), "o", tokens, 100, limit)
				}
			},
			"advance": func(t *rapid.T) {
				h.advance(time.Duration(rapid.IntRange(1, 5_000).Draw(t, "ms")) * time.Millisecond)
			},
			"first token": func(t *rapid.T) {
				if rs := running(); len(rs) > 0 {
					rapid.SampledFrom(rs).Draw(t, "request").grant.FirstToken(h.now)
				}
			},
			"release": func(t *rapid.T) {
				if rs := running(); len(rs) > 0 {
					r := rapid.SampledFrom(rs).Draw(t, "request")
					result := rapid.SampledFrom([]outcome.Outcome{outcome.Done, outcome.Failed, outcome.Unknown, outcome.NotRun}).Draw(t, "result")
					grant := r.grant
					r.grant = nil
					grant.Release(h.now, result)
					grant.Release(h.now, result) // a second call has no effect
				}
			},
			"report": func(t *rapid.T) {
				h.report(target(), fmt.Sprint(incarnation), rapid.IntRange(0, 100_000).Draw(t, "prefill"))
			},
			"down":    func(*rapid.T) { h.local.TargetDown(h.now, target(), "") },
			"leaving": func(*rapid.T) { h.local.TargetLeaving(target(), "") },
			"restart": func(*rapid.T) { incarnation++; h.report(target(), fmt.Sprint(incarnation), 0) },
			"": func(*rapid.T) {
				for _, r := range h.offered {
					r.check(g, h.now)
				}
				for _, s := range h.local.Snapshot().Targets {
					g.Expect(s.Reserved).To(gomega.BeNumerically("<=", engineSize))
				}
			},
		})
		for _, r := range running() {
			r.grant.Release(h.now, outcome.Done)
		}
		h.advance(2 * time.Minute)
		for _, r := range running() {
			r.grant.Release(h.now, outcome.Done)
		}
		for _, r := range h.offered {
			g.Expect(r.refused || r.deliveries == 1).To(gomega.BeTrue())
		}
		for _, s := range h.local.Snapshot().Targets {
			g.Expect(s.Reserved).To(gomega.BeZero())
		}
	})
}

func (r *request) check(g *gomega.WithT, now time.Time) {
	least := time.Duration(float64(r.req.PromptTokens) / prefillRate * float64(time.Second))
	switch {
	case r.refused:
		g.Expect(r.deliveries).To(gomega.BeZero())
		g.Expect(apierror.From(r.err).Outcome).To(gomega.Equal(outcome.NotRun))
	case r.deliveries == 0:
		g.Expect(now.Add(least)).To(gomega.BeTemporally("<", r.req.Deadline), "still queued although it cannot finish")
	case r.err != nil:
		g.Expect(r.deliveredAt).To(gomega.BeTemporally("<=", r.req.Deadline.Add(-least)), "expired too late")
		g.Expect(apierror.From(r.err).RetryAfter).To(gomega.BeNumerically(">", 0))
	default:
		g.Expect(r.deliveredAt.Add(least)).To(gomega.BeTemporally("<=", r.req.Deadline), "granted too late")
	}
	g.Expect(r.deliveries).To(gomega.BeNumerically("<=", 1))
}

// A queued request is not dispatched to an engine that has become too slow to
// finish it before its deadline, although its memory becomes free.
func TestRequestNotDispatchedToSlowEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(engine("e1", engineSize))
	held := h.offer("p", "o", 45_000, 100, time.Minute)
	waiting := h.offer("p", "o", 10_000, 100, 20*time.Second)
	h.advance(time.Second)
	h.local.Report(h.now, "e1", engineapi.LoadReport{
		Incarnation: "1", Model: "advice", ObservedMS: h.now.UnixMilli(), PrefillRate: prefillRate / 20, DecodeRate: decodeRate,
	})
	held.grant.Release(h.now, outcome.Done)
	g.Expect(waiting.deliveries).To(gomega.BeZero())
	h.advance(20 * time.Second)
	g.Expect(waiting.err).To(gomega.HaveOccurred())
	g.Expect(waiting.grant).To(gomega.BeNil())
}

// A prompt goes to the target that has its prefix cached, until a gap in the cache
// events clears the prefix index of that target.
func TestPrefixAffinityEndsAtEventGap(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(engine("e1", engineSize), engine("e2", engineSize))
	submit := func() string {
		r := &request{}
		req := schedule.Request{
			ID: "r", Partner: "p", Organisation: "o", Model: "advice", PromptTokens: 2_000, MaxTokens: 10,
			Arrival: h.now, Deadline: h.now.Add(time.Minute), PrefixHashes: []uint64{7, 8},
		}
		_, err := h.local.Offer(h.now, req, func(gr schedule.Grant, _ error) { r.grant = gr })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r.grant.FirstToken(h.now)
		r.grant.Release(h.now, outcome.Done)
		return r.grant.Target().ID
	}
	before := submit()
	other := map[string]string{"e1": "e2", "e2": "e1"}[before]
	h.local.CacheEvents(other, engineapi.CacheEvents{From: 1, Next: 2, Events: []engineapi.CacheEvent{
		{Seq: 1, Prefix: 7, Tokens: 500, Added: true}, {Seq: 2, Prefix: 8, Tokens: 500, Added: true},
	}})
	g.Expect(submit()).To(gomega.Equal(other))
	h.local.CacheEvents(other, engineapi.CacheEvents{From: 9, Next: 9})
	g.Expect(submit()).To(gomega.Equal(before))
}

// A report observed before the latest dispatches of this host and its peers does
// not remove them from the predicted backlog.
func TestLaggedReportIsCorrectedByDispatches(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(engine("e1", engineSize), engine("e2", engineSize))
	h.advance(time.Second)
	h.local.LearnPeerDispatch(h.now, schedule.PeerDispatch{Target: "e1", ID: "peer", PrefillTokens: 20_000, DispatchedAt: h.now})
	first := h.offer("p", "o", 2_000, 10, time.Minute)
	g.Expect(first.grant.Target().ID).To(gomega.Equal("e2"))
	stale := engineapi.LoadReport{
		Incarnation: "1", Model: "advice", ObservedMS: epoch.UnixMilli(), PrefillRate: prefillRate, DecodeRate: decodeRate,
	}
	h.local.Report(h.now, "e1", stale)
	h.local.Report(h.now, "e2", stale)
	backlog := map[string]float64{}
	for _, s := range h.local.Snapshot().Targets {
		backlog[s.ID] = s.Backlog
	}
	g.Expect(backlog).To(gomega.Equal(map[string]float64{"e1": 20_000, "e2": 2_000}))
}

func TestPickDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	loads := []schedule.DomainLoad{
		{Domain: "a", Model: "m", Wait: time.Second, UsableTargets: 1, At: epoch},
		{Domain: "b", Model: "m", Wait: 2 * time.Second, UsableTargets: 1, At: epoch},
		{Domain: "c", Model: "m", UsableTargets: 0, At: epoch},
		{Domain: "d", Model: "m", UsableTargets: 1, At: epoch.Add(-time.Minute)},
	}
	pick := func(limit time.Duration, tried ...string) string {
		domain, _ := schedule.PickDomain(epoch, loads, "m", tried, limit)
		return domain
	}
	g.Expect(pick(time.Minute)).To(gomega.Equal("a"))
	g.Expect(pick(time.Minute, "a")).To(gomega.Equal("b"))
	g.Expect(pick(time.Minute, "a", "b")).To(gomega.BeEmpty())
	g.Expect(pick(time.Second)).To(gomega.BeEmpty())
}

// In a large failure domain each target has the same number of sharers, each host
// uses about SubsetSize targets, and members of a group have the same hosts.
func TestSubsetsAreEven(t *testing.T) {
	g := gomega.NewWithT(t)
	const hosts, targets = 200, 500
	var names []string
	var list []topology.Target
	for i := range hosts {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	for i := range targets {
		e := engine(fmt.Sprintf("e%03d", i), engineSize)
		e.Group = fmt.Sprintf("g%d", i/4)
		list = append(list, e)
	}
	for i, h := range names {
		if i%10 != 0 {
			continue
		}
		l := schedule.New(schedule.Config{Self: h, Clock: clock.NewManual(epoch)})
		l.SetTargets(list)
		l.SetHosts(names, nil)
		used := 0
		for _, s := range l.Snapshot().Targets {
			if s.Sharers > 0 {
				used++
				g.Expect(s.Sharers).To(gomega.Equal(13)) // ceil(32 * 200 / 500)
			}
		}
		g.Expect(used).To(gomega.BeNumerically("~", 32, 32))
		g.Expect(used % 4).To(gomega.BeZero())
	}
}
