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

// request is one offered request and what became of it.
type request struct {
	req     schedule.Request
	grant   schedule.Grant
	granted time.Time
	err     error
	settled int
	refused bool
}

// desk is one scheduler with everything that was offered to it.
type desk struct {
	now     time.Time
	clock   *clock.Manual
	local   *schedule.Local
	targets []topology.Target
	offered []*request
}

func newDesk(targets ...topology.Target) *desk {
	d := &desk{now: epoch, clock: clock.NewManual(epoch), targets: targets}
	d.local = schedule.New(schedule.Config{Self: "host-1", Clock: d.clock})
	d.local.SetTargets(targets)
	d.local.SetHosts([]string{"host-1"}, nil)
	for _, t := range targets {
		d.report(t.ID, "1", 0)
	}
	return d
}

func (d *desk) report(target, incarnation string, prefill int) {
	d.local.Report(d.now, target, engineapi.LoadReport{
		Incarnation: incarnation, Model: "advice", ObservedMS: d.now.UnixMilli(),
		PrefillTokens: prefill, PrefillRate: prefillRate, DecodeRate: decodeRate, MemoryTotal: engineSize,
	})
}

// advance polls the scheduler whenever it wants to be.
func (d *desk) advance(by time.Duration) {
	end := d.now.Add(by)
	for {
		at, ok := d.local.NextPoll(d.now)
		if !ok || !at.Before(end) {
			break
		}
		if !at.After(d.now) {
			at = d.now.Add(time.Millisecond)
		}
		d.move(at)
		d.local.Poll(d.now)
	}
	d.move(end)
	d.local.Poll(d.now)
}

func (d *desk) move(to time.Time) {
	d.clock.Advance(to.Sub(d.now))
	d.now = to
}

func (d *desk) offer(partner, org string, tokens, output int, limit time.Duration) *request {
	r := &request{req: schedule.Request{
		ID: fmt.Sprint(len(d.offered)), Partner: partner, Organisation: org, Model: "advice",
		PromptTokens: tokens, MaxTokens: output, Arrival: d.now, Deadline: d.now.Add(limit),
	}}
	d.offered = append(d.offered, r)
	_, err := d.local.Offer(d.now, r.req, func(g schedule.Grant, err error) {
		r.settled++
		r.grant, r.err, r.granted = g, err, d.now
	})
	if err != nil {
		r.err, r.refused = err, true
	}
	return r
}

// Every offered request is settled once: refused at once, granted while it can
// still finish, or given up before its time limit with a time to come back. No
// engine's memory is promised twice, and all of it comes back.
func TestEveryRequestIsSettledInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		d := newDesk(engine("e1", engineSize), engine("e2", engineSize), engine("e3", engineSize))
		target := func() string { return rapid.SampledFrom(d.targets).Draw(t, "target").ID }
		incarnation := 1
		running := func() []*request {
			var rs []*request
			for _, r := range d.offered {
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
					d.offer(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "partner"), "o", tokens, 100, limit)
				}
			},
			"advance": func(t *rapid.T) {
				d.advance(time.Duration(rapid.IntRange(1, 5_000).Draw(t, "ms")) * time.Millisecond)
			},
			"first token": func(t *rapid.T) {
				if rs := running(); len(rs) > 0 {
					rapid.SampledFrom(rs).Draw(t, "request").grant.FirstToken(d.now)
				}
			},
			"release": func(t *rapid.T) {
				if rs := running(); len(rs) > 0 {
					r := rapid.SampledFrom(rs).Draw(t, "request")
					result := rapid.SampledFrom([]outcome.Outcome{outcome.Done, outcome.Failed, outcome.Unknown, outcome.NotRun}).Draw(t, "result")
					grant := r.grant
					r.grant = nil
					grant.Release(d.now, result)
					grant.Release(d.now, result) // a second one does nothing
				}
			},
			"report": func(t *rapid.T) {
				d.report(target(), fmt.Sprint(incarnation), rapid.IntRange(0, 100_000).Draw(t, "prefill"))
			},
			"down":    func(*rapid.T) { d.local.TargetDown(d.now, target(), "") },
			"leaving": func(*rapid.T) { d.local.TargetLeaving(target(), "") },
			"restart": func(*rapid.T) { incarnation++; d.report(target(), fmt.Sprint(incarnation), 0) },
			"": func(*rapid.T) {
				for _, r := range d.offered {
					r.check(g, d.now)
				}
				for _, s := range d.local.Snapshot().Targets {
					g.Expect(s.Reserved).To(gomega.BeNumerically("<=", engineSize))
				}
			},
		})
		for _, r := range running() {
			r.grant.Release(d.now, outcome.Done)
		}
		d.advance(2 * time.Minute)
		for _, r := range running() {
			r.grant.Release(d.now, outcome.Done)
		}
		for _, r := range d.offered {
			g.Expect(r.refused || r.settled == 1).To(gomega.BeTrue())
		}
		for _, s := range d.local.Snapshot().Targets {
			g.Expect(s.Reserved).To(gomega.BeZero())
		}
	})
}

func (r *request) check(g *gomega.WithT, now time.Time) {
	least := time.Duration(float64(r.req.PromptTokens) / prefillRate * float64(time.Second))
	switch {
	case r.refused:
		g.Expect(r.settled).To(gomega.BeZero())
		g.Expect(apierror.From(r.err).Outcome).To(gomega.Equal(outcome.NotRun))
	case r.settled == 0:
		g.Expect(now.Add(least)).To(gomega.BeTemporally("<", r.req.Deadline), "waits although it cannot finish")
	case r.err != nil:
		g.Expect(r.granted).To(gomega.BeTemporally("<=", r.req.Deadline.Add(-least)), "given up late")
		g.Expect(apierror.From(r.err).RetryAfter).To(gomega.BeNumerically(">", 0))
	default:
		g.Expect(r.granted.Add(least)).To(gomega.BeTemporally("<=", r.req.Deadline), "granted too late")
	}
	g.Expect(r.settled).To(gomega.BeNumerically("<=", 1))
}

// A request that could start but no longer finish on the one engine, which has
// become slow, is not sent.
func TestNotSentWhenTheEngineIsTooSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDesk(engine("e1", engineSize))
	held := d.offer("p", "o", 45_000, 100, time.Minute)
	waiting := d.offer("p", "o", 10_000, 100, 20*time.Second)
	d.advance(time.Second)
	d.local.Report(d.now, "e1", engineapi.LoadReport{
		Incarnation: "1", Model: "advice", ObservedMS: d.now.UnixMilli(), PrefillRate: prefillRate / 20, DecodeRate: decodeRate,
	})
	held.grant.Release(d.now, outcome.Done)
	g.Expect(waiting.settled).To(gomega.BeZero())
	d.advance(20 * time.Second)
	g.Expect(waiting.err).To(gomega.HaveOccurred())
	g.Expect(waiting.grant).To(gomega.BeNil())
}

// A prefix in the cache attracts a prompt until a gap in the events.
func TestCacheHintAndGap(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDesk(engine("e1", engineSize), engine("e2", engineSize))
	ask := func() string {
		r := &request{}
		req := schedule.Request{
			ID: "r", Partner: "p", Organisation: "o", Model: "advice", PromptTokens: 2_000, MaxTokens: 10,
			Arrival: d.now, Deadline: d.now.Add(time.Minute), PrefixHashes: []uint64{7, 8},
		}
		_, err := d.local.Offer(d.now, req, func(gr schedule.Grant, _ error) { r.grant = gr })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r.grant.FirstToken(d.now)
		r.grant.Release(d.now, outcome.Done)
		return r.grant.Target().ID
	}
	before := ask()
	other := map[string]string{"e1": "e2", "e2": "e1"}[before]
	d.local.CacheEvents(other, engineapi.CacheEvents{From: 1, Next: 2, Events: []engineapi.CacheEvent{
		{Seq: 1, Prefix: 7, Tokens: 500, Added: true}, {Seq: 2, Prefix: 8, Tokens: 500, Added: true},
	}})
	g.Expect(ask()).To(gomega.Equal(other))
	d.local.CacheEvents(other, engineapi.CacheEvents{From: 9, Next: 9})
	g.Expect(ask()).To(gomega.Equal(before))
}

// Reports that lag are corrected by what was dispatched since.
func TestLaggedReportIsCorrectedByDispatches(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDesk(engine("e1", engineSize), engine("e2", engineSize))
	d.advance(time.Second)
	d.local.LearnPeerDispatch(d.now, schedule.PeerDispatch{Target: "e1", ID: "peer", PrefillTokens: 20_000, DispatchedAt: d.now})
	first := d.offer("p", "o", 2_000, 10, time.Minute)
	g.Expect(first.grant.Target().ID).To(gomega.Equal("e2"))
	stale := engineapi.LoadReport{
		Incarnation: "1", Model: "advice", ObservedMS: epoch.UnixMilli(), PrefillRate: prefillRate, DecodeRate: decodeRate,
	}
	d.local.Report(d.now, "e1", stale)
	d.local.Report(d.now, "e2", stale)
	backlog := map[string]float64{}
	for _, s := range d.local.Snapshot().Targets {
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

// In a large failure domain each target has the same number of hosts, and
// members of a group have the same ones.
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
		dealt := 0
		for _, s := range l.Snapshot().Targets {
			if s.Sharers > 0 {
				dealt++
				g.Expect(s.Sharers).To(gomega.Equal(13)) // ceil(32 * 200 / 500)
			}
		}
		g.Expect(dealt).To(gomega.BeNumerically("~", 32, 32))
		g.Expect(dealt % 4).To(gomega.BeZero())
	}
}
