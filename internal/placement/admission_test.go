package placement_test

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

// contentionSeeds is the number of seeds over which results are added up.
const contentionSeeds = 16

// playLoad plays a load over several seeds.
func playLoad(s fleetmodel.Scenario) []fleetmodel.Result {
	out := make([]fleetmodel.Result, contentionSeeds)
	var wg sync.WaitGroup
	for seed := range out {
		wg.Go(func() { out[seed] = fleetmodel.Play(s, uint64(seed)) })
	}
	wg.Wait()
	return out
}

func mean(results []fleetmodel.Result, value func(fleetmodel.Result) float64) float64 {
	sum := 0.0
	for _, r := range results {
		sum += value(r)
	}
	return sum / float64(len(results))
}

// Kinds of request swap their shares, so that long prompts at times ask for more prefill
// than all engines have. With admission callers get more: short prompts are in time more
// often, long ones too, and the largest tenth of these and the fifth below it are served, in
// time or late, about as often as the whole kind.
func TestAdmissionUnderContentionServesCallersBetter(t *testing.T) {
	const (
		tolerance     = 0.02 // spread of the mean over the seeds
		sizeTolerance = 0.1
	)
	for name, load := range fleetmodel.Loads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			without := playLoad(load)
			load.Contention = true
			with := playLoad(load)
			worth := func(r fleetmodel.Result) float64 { return r.Worth() }
			t.Logf("worth %.3f without, %.3f with", mean(without, worth), mean(with, worth))
			g.Expect(mean(with, worth)).To(BeNumerically(">", mean(without, worth)+0.03))
			for _, kind := range []string{"short", "medium", "long"} {
				inTime := func(r fleetmodel.Result) float64 { return r[kind].InTimeShare() }
				t.Logf("%s: %.3f in time without, %.3f with", kind, mean(without, inTime), mean(with, inTime))
				g.Expect(mean(with, inTime)).To(BeNumerically(">", mean(without, inTime)-tolerance), kind)
			}
			served := mean(with, func(r fleetmodel.Result) float64 { return r["long"].ServedShare() })
			largest := mean(with, func(r fleetmodel.Result) float64 { c, _, _ := r["long"].BySize(); return c.Served })
			large := mean(with, func(r fleetmodel.Result) float64 { _, c, _ := r["long"].BySize(); return c.Served })
			t.Logf("long prompts served: %.3f of all, %.3f of the largest tenth, %.3f of the fifth below", served, largest, large)
			g.Expect(largest).To(BeNumerically(">=", served-sizeTolerance))
			g.Expect(large).To(BeNumerically(">=", served-sizeTolerance))
		})
	}
}

// A slightly different objective of a kind changes what callers get only slightly, and
// admission helps with short objectives too. It was once tied to objectives from four seconds
// on.
func TestAdmissionIsSmoothInTheObjective(t *testing.T) {
	const step = 0.05 // largest difference of worth between neighbours
	g := NewWithT(t)
	load := fleetmodel.Loads()["short-then-long"]
	withObjective := func(objective time.Duration) fleetmodel.Scenario {
		s := load
		s.Workloads = slices.Clone(load.Workloads)
		for i := range s.Workloads {
			if s.Workloads[i].Name == "long" {
				s.Workloads[i].Objective = objective
			}
		}
		return s
	}
	worth := func(r fleetmodel.Result) float64 { return r.Worth() }
	last := 0.0
	for _, objective := range []time.Duration{4100, 3900, 3500, 3000} {
		s := withObjective(objective * time.Millisecond)
		without := mean(playLoad(s), worth)
		s.Contention = true
		with := mean(playLoad(s), worth)
		t.Logf("objective %d ms: %.3f without, %.3f with", objective, without, with)
		g.Expect(with).To(BeNumerically(">", without+0.03), "%d ms", objective)
		if last > 0 {
			g.Expect(with).To(BeNumerically("~", last, step), "%d ms", objective)
		}
		last = with
	}
}

// Hosts that are cut off from each other know only their own prompts, so each believes that
// engines have less work than they have. Callers must not get less for it than without
// admission.
func TestAdmissionDoesNoHarmAmongHostsThatDoNotHearEachOther(t *testing.T) {
	g := NewWithT(t)
	load := fleetmodel.Loads()["long-then-short"]
	load.PropagationDelay = 0
	without := playLoad(load)
	load.Contention = true
	with := playLoad(load)
	worth := func(r fleetmodel.Result) float64 { return r.Worth() }
	t.Logf("worth %.3f without, %.3f with", mean(without, worth), mean(with, worth))
	g.Expect(mean(with, worth)).To(BeNumerically(">=", mean(without, worth)-0.01))
}

// A refused caller who comes back when told is served more often than one who does not come
// back, and few of those who come back are refused again.
func TestRefusedCallersWhoComeBackFindRoom(t *testing.T) {
	g := NewWithT(t)
	load := fleetmodel.Loads()["long-then-short"]
	load.Contention = true
	returning := playLoad(load)
	for i := range load.Workloads {
		load.Workloads[i].Timeout = 0 // callers do not come back
	}
	leaving := playLoad(load)
	served := func(r fleetmodel.Result) float64 { return r["long"].ServedShare() }
	t.Logf("long prompts served: %.3f if callers come back, %.3f if not", mean(returning, served), mean(leaving, served))
	g.Expect(mean(returning, served)).To(BeNumerically(">", mean(leaving, served)))
}

// At an ordinary load nothing is refused, so admission changes no decision.
func TestAdmissionChangesNothingAtAnOrdinaryLoad(t *testing.T) {
	g := NewWithT(t)
	s := fleetmodel.Scenario{
		Engine: engineSpec, Workloads: []fleetmodel.Workload{question, review, handbook.Scaled(0.3)}, Hosts: 6, Engines: 23,
		Duration: 15 * time.Second, PropagationDelay: 3 * time.Millisecond, ImpatientCallers: true,
	}
	without := fleetmodel.Play(s, 4)
	s.Contention = true
	with := fleetmodel.Play(s, 4)
	g.Expect(reflect.DeepEqual(with, without)).To(BeTrue())
}

// The bound on the backlog is a fraction of the objective, whatever the caller has waited. The time to come back grows with the backlog, within bounds.
func TestLongPromptIsRefusedWhileEnginesWouldBeginTooLate(t *testing.T) {
	const objective = 4 * time.Second
	place := func(placer *placement.Placer, waited time.Duration) error {
		_, err := placer.Place(placement.Request{
			Service: "llm", Engine: &engineSpec, PromptTokens: 60_000, OutputTokens: 200, Objective: objective, Waited: waited, Contended: true,
		}, engineTargets(2))
		return err
	}
	for _, c := range []struct {
		backlog, waited time.Duration
		refused         bool
	}{
		{backlog: 0}, {backlog: 600 * time.Millisecond}, {backlog: 2 * time.Second, refused: true}, {backlog: 6 * time.Second, refused: true},
		{backlog: 0, waited: 5 * time.Second}, {backlog: 600 * time.Millisecond, waited: 3 * time.Second},
	} {
		t.Run(fmt.Sprint(c.backlog, " after ", c.waited), func(t *testing.T) {
			g := NewWithT(t)
			clock := newManualClock()
			placer := placement.NewPlacer(clock.Now, 1)
			for i, target := range engineTargets(2) {
				placer.RemoteStarted("peer", placement.Job{ID: placement.JobID(i), Service: "llm", Weight: 1, Objective: objective,
					Shares: []placement.Share{{Target: target.TargetKey, PrefillTime: c.backlog, Decodes: true}}})
			}
			err := place(placer, c.waited)
			var backlogged *placement.BacklogError
			g.Expect(errors.As(err, &backlogged)).To(Equal(c.refused), fmt.Sprint(err))
			if c.refused {
				g.Expect(backlogged.Backlog).To(BeNumerically(">", backlogged.Limit))
				g.Expect(backlogged.RetryAfter).To(And(BeNumerically(">=", objective/10), BeNumerically("<=", objective*6/10)))
			}
		})
	}
}

// Refused callers come back at times that are spread.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	placer := placement.NewPlacer(newManualClock().Now, 1)
	for i, target := range engineTargets(2) {
		placer.RemoteStarted("peer", placement.Job{ID: placement.JobID(i), Service: "llm", Weight: 1, Objective: time.Second,
			Shares: []placement.Share{{Target: target.TargetKey, PrefillTime: 3 * time.Second, Decodes: true}}})
	}
	seen := make(map[time.Duration]bool)
	for range 50 {
		_, err := placer.Place(placement.Request{Service: "llm", Engine: &engineSpec, PromptTokens: 60_000, Objective: 4 * time.Second, Contended: true}, engineTargets(2))
		var backlogged *placement.BacklogError
		g.Expect(errors.As(err, &backlogged)).To(BeTrue())
		seen[backlogged.RetryAfter.Round(50*time.Millisecond)] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">=", 10))
}
