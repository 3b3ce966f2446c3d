package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

// These tests play a load in virtual time: several hosts place prompts on a shared fleet of
// engines and learn of each other's jobs after a propagation delay.

var engineSpec = catalog.Engine{
	Slots: 16, MemoryTokens: 232000, StepTime: 1020 * time.Microsecond, StepTimePerSeq: 2260 * time.Nanosecond,
	StepTimePerKiloToken: 4310 * time.Nanosecond, PrefillRate: 206000, AttentionTimePerMPairs: 138 * time.Microsecond, StepsPerPass: 43,
}

var (
	question = fleetmodel.Workload{Name: "question", PerSecond: 48.9, MeanPromptTokens: 4960, PromptSigma: 0.9, MaxPromptTokens: 23800, MeanEvents: 31.6, EventsSigma: 0.7, Objective: 300 * time.Millisecond, MaxEventGap: 250 * time.Millisecond}
	review   = fleetmodel.Workload{Name: "review", PerSecond: 2.67, MeanPromptTokens: 45000, PromptSigma: 0.5, MaxPromptTokens: 110000, MeanEvents: 19, EventsSigma: 0.6, Objective: 1500 * time.Millisecond, MaxEventGap: 600 * time.Millisecond}
	handbook = fleetmodel.Workload{Name: "handbook", PerSecond: 2.24, MeanPromptTokens: 133000, PromptSigma: 0.55, MaxPromptTokens: 600000, MeanEvents: 15.8, EventsSigma: 0.5, Objective: 2500 * time.Millisecond, MaxEventGap: time.Second}
)

// Under the users' ordinary load, 95 in 100 short prompts get their first event
// within 0.42 s, the stated objective for the first token.
func TestShortPromptsMeetFirstTokenTargetUnderOrdinaryLoad(t *testing.T) {
	g := NewWithT(t)
	got := fleetmodel.Play(fleetmodel.Scenario{Engine: engineSpec, Workloads: []fleetmodel.Workload{question, review, handbook}, Hosts: 6, Engines: 23, Duration: 30 * time.Second, PropagationDelay: 3 * time.Millisecond}, 1)
	g.Expect(got["question"].Percentile(0.95)).To(BeNumerically("<=", 420*time.Millisecond))
	for name, st := range got {
		t.Logf("%s: %d requests, %.3f in time", name, st.Requests, st.InTimeShare())
	}
}

// Both short and long prompts are in time more often than with engines chosen at
// random.
func TestPlacementBeatsRandomChoice(t *testing.T) {
	g := NewWithT(t)
	s := fleetmodel.Scenario{Engine: engineSpec, Workloads: []fleetmodel.Workload{question, review, handbook}, Hosts: 6, Engines: 23, Duration: 20 * time.Second, PropagationDelay: 3 * time.Millisecond}
	placed := fleetmodel.Play(s, 2)
	s.RandomPlacement = true
	random := fleetmodel.Play(s, 2)
	for _, name := range []string{"question", "handbook"} {
		t.Logf("%s: %.3f placed, %.3f random", name, placed[name].InTimeShare(), random[name].InTimeShare())
		g.Expect(placed[name].InTimeShare()).To(BeNumerically(">", random[name].InTimeShare()), name)
	}
}

// Hosts that learn of each other's jobs serve more short prompts in time than hosts
// that do not; without any updates more than half are still in time.
func TestPeerJobUpdatesImproveShortPromptLatency(t *testing.T) {
	g := NewWithT(t)
	s := fleetmodel.Scenario{Engine: engineSpec, Workloads: []fleetmodel.Workload{question, review, handbook}, Hosts: 6, Engines: 23, Duration: 20 * time.Second, PropagationDelay: 3 * time.Millisecond}
	with := fleetmodel.Play(s, 3)
	s.PropagationDelay = 0
	without := fleetmodel.Play(s, 3)
	t.Logf("questions in time: %.3f with updates, %.3f without", with["question"].InTimeShare(), without["question"].InTimeShare())
	g.Expect(with["question"].InTimeShare()).To(BeNumerically(">", without["question"].InTimeShare()))
	g.Expect(without["question"].InTimeShare()).To(BeNumerically(">", 0.5))
}

// A burst of long prompts must not starve short prompts: more of these are in time
// than late.
func TestShortPromptsAreNotStarvedByLongPromptBurst(t *testing.T) {
	g := NewWithT(t)
	got := fleetmodel.Play(fleetmodel.Scenario{Engine: engineSpec, Workloads: []fleetmodel.Workload{question.Scaled(0.4), review, handbook.Scaled(2.8)}, Hosts: 6, Engines: 23, Duration: 15 * time.Second, PropagationDelay: 3 * time.Millisecond}, 4)
	for name, st := range got {
		t.Logf("%s: %d requests, %.3f in time", name, st.Requests, st.InTimeShare())
	}
	g.Expect(got["question"].InTimeShare()).To(BeNumerically(">", 0.5))
	g.Expect(got["handbook"].Requests).To(Equal(len(got["handbook"].FirstEventTimes)), "all long prompts are served in the end")
}

// With many hosts and a long propagation delay, hosts must not all send
// simultaneous prompts to the engine that looks best to each of them: in a burst
// whose prefill needs less than a tenth of the engines, 95 in 100 first tokens
// arrive within 0.42 s, the stated objective.
func TestManyHostsAvoidHerding(t *testing.T) {
	g := NewWithT(t)
	burst := question
	burst.PerSecond = 286
	got := fleetmodel.Play(fleetmodel.Scenario{Engine: engineSpec, Workloads: []fleetmodel.Workload{burst}, Hosts: 40, Engines: 78, Duration: 6 * time.Second, PropagationDelay: 30 * time.Millisecond}, 1)
	t.Logf("%.3f in time", got["question"].InTimeShare())
	g.Expect(got["question"].Percentile(0.95)).To(BeNumerically("<=", 420*time.Millisecond))
}

// A burst of short prompts fills the decoding slots while engines still work on a burst
// of long ones. Late prompts must not take the slots of those that can be in time: more
// of the short prompts are in time than not.
func TestShortPromptBurstAfterLongPromptBurst(t *testing.T) {
	g := NewWithT(t)
	const burstStart, end = 10 * time.Second, 18 * time.Second
	shortBurst := question.Scaled(2.2).During(burstStart, end)
	shortBurst.Name = "question in the burst"
	s := fleetmodel.Scenario{Engine: engineSpec,
		Workloads: []fleetmodel.Workload{
			question.Scaled(0.4).During(0, burstStart), handbook.Scaled(2.5).During(2*time.Second, burstStart),
			shortBurst, handbook.Scaled(0.4).During(burstStart, end),
		},
		Hosts: 7, Engines: 18, Duration: end, PropagationDelay: 15 * time.Millisecond, ImpatientCallers: true,
	}
	requests, inTime := 0, 0
	for seed := range uint64(12) {
		got := fleetmodel.Play(s, seed)[shortBurst.Name]
		t.Logf("%d requests, %.3f in time, %d refused, %d left, p95 %s", got.Requests, got.InTimeShare(), got.Refused, got.Left, got.Percentile(0.95))
		requests += got.Requests
		inTime += got.InTime
	}
	g.Expect(float64(inTime) / float64(requests)).To(BeNumerically(">", 0.5))
}

// Engines still work for hosts that have lost power, and no other host knows of that
// work. The prompts that wait there beyond their prediction show it: of the prompts that
// arrive later, no more are late than without these engines.
func TestEnginesWithUnknownWorkAreAvoided(t *testing.T) {
	g := NewWithT(t)
	s := fleetmodel.Scenario{Engine: engineSpec,
		Workloads: []fleetmodel.Workload{question.Scaled(0.8), review, handbook}, Hosts: 7, Engines: 18, Duration: 8 * time.Second,
		PropagationDelay: 15 * time.Millisecond, ImpatientCallers: true,
	}
	requests, inTime, without := 0, 0, 0
	for seed := range uint64(12) {
		s.Engines, s.UnknownPrompts = 18, 4
		got := fleetmodel.Play(s, seed)
		s.Engines, s.UnknownPrompts = 14, 0
		base := fleetmodel.Play(s, seed)
		for name, st := range got {
			requests += st.Requests
			inTime += st.InTime
			without += base[name].InTime
		}
	}
	t.Logf("%d requests, %d in time, %d without these engines", requests, inTime, without)
	g.Expect(inTime).To(BeNumerically(">=", without))
}

// Engines at their rate limit get few requests of their own. What they can still do for
// long prompts of others is worth more to callers than leaving them out.
func TestEnginesAtTheirRateLimitAreWorthUsing(t *testing.T) {
	g := NewWithT(t)
	s := fleetmodel.Scenario{Engine: engineSpec,
		Workloads: []fleetmodel.Workload{question, review, handbook}, Hosts: 6, Duration: 10 * time.Second,
		PropagationDelay: 3 * time.Millisecond, ImpatientCallers: true, LimitPerSecond: 1,
	}
	requests, inTime, without := 0, 0, 0
	for seed := range uint64(8) {
		s.Engines, s.LimitedEngines = 23, 10
		got := fleetmodel.Play(s, seed)
		s.Engines, s.LimitedEngines = 13, 0
		base := fleetmodel.Play(s, seed)
		for name, st := range got {
			t.Logf("seed %d, %s: %d requests, %d in time, %d without these engines", seed, name, st.Requests, st.InTime, base[name].InTime)
			requests += st.Requests
			inTime += st.InTime
			without += base[name].InTime
		}
	}
	t.Logf("%d requests, %d in time, %d without these engines", requests, inTime, without)
	g.Expect(inTime).To(BeNumerically(">", without))
}
