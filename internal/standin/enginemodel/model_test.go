package enginemodel_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func smallConfig() enginemodel.Config {
	return enginemodel.Config{
		MemoryTokens: 1000, PrefillRate: 100, DecodeInterval: 100 * time.Millisecond, MaxBatch: 3,
		CacheTokens: 200, ReportLag: time.Second, Grace: time.Second, TokenEvents: true,
	}
}

// engineHarness drives an engine with random operations and tracks the state that
// its events must agree with.
type engineHarness struct {
	engine      *enginemodel.Engine
	now         time.Time
	submitted   int
	jobs        map[string]enginemodel.Job // admitted and not yet ended
	generated   map[string]int             // tokens generated so far
	pinned      map[string]int
	lastEventAt time.Time
}

func (h *engineHarness) expectedReserved() int {
	sum := 0
	for _, j := range h.jobs {
		sum += j.PromptTokens + j.MaxTokens
	}
	for _, tokens := range h.pinned {
		sum += tokens
	}
	return sum
}

func (h *engineHarness) submit(t *rapid.T) {
	h.checkEvents(t)
	h.submitted++
	job := enginemodel.Job{
		ID: fmt.Sprint("s", h.submitted), Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
		PromptTokens: rapid.IntRange(1, 600).Draw(t, "prompt"), MaxTokens: rapid.IntRange(1, 60).Draw(t, "max"),
		Deadline:     h.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "limit")) * time.Second),
		PrefixHashes: []uint64{uint64(rapid.IntRange(1, 5).Draw(t, "prefix"))}, BlockTokens: 50,
	}
	fits := h.expectedReserved()+job.PromptTokens+job.MaxTokens <= smallConfig().MemoryTokens
	err := h.engine.Submit(h.now, job)
	if errors.Is(err, enginemodel.ErrNoMemory) == fits {
		t.Fatalf("job fits: %v, but Submit returned %v", fits, err)
	}
	if err == nil {
		h.jobs[job.ID] = job
	}
}

func (h *engineHarness) advance(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
	h.checkEvents(t)
}

// checkEvents advances the engine and checks each event against the submitted
// jobs.
func (h *engineHarness) checkEvents(t *rapid.T) {
	for _, ev := range h.engine.Advance(h.now) {
		job, ok := h.jobs[ev.ID]
		if !ok {
			t.Fatalf("%v event for unknown stream %s", ev.Kind, ev.ID)
		}
		if ev.At.Before(h.lastEventAt) || ev.At.After(h.now) {
			t.Fatalf("event at %v is out of order (last %v, now %v)", ev.At, h.lastEventAt, h.now)
		}
		h.lastEventAt = ev.At
		switch ev.Kind {
		case enginemodel.FirstToken:
			h.checkFirstToken(t, job)
		case enginemodel.Token:
			h.generated[ev.ID] += ev.Tokens
		case enginemodel.Finished:
			if h.generated[ev.ID] != job.MaxTokens || ev.Tokens != job.MaxTokens || ev.At.After(job.Deadline.Add(smallConfig().Grace)) {
				t.Fatalf("finished with %d of %d tokens at %v", h.generated[ev.ID], job.MaxTokens, ev.At)
			}
			delete(h.jobs, ev.ID)
		case enginemodel.Dropped:
			if !ev.At.Equal(job.Deadline.Add(smallConfig().Grace)) || ev.Tokens != h.generated[ev.ID] {
				t.Fatalf("dropped %+v; deadline %v, %d tokens generated", ev, job.Deadline, h.generated[ev.ID])
			}
			delete(h.jobs, ev.ID)
		}
	}
}

// checkFirstToken checks that no prompt with a lower priority value is still
// waiting. Jobs are only submitted right after a call of checkEvents, so all of
// them competed for the prefill.
func (h *engineHarness) checkFirstToken(t *rapid.T, job enginemodel.Job) {
	if h.generated[job.ID] != 0 {
		t.Fatalf("duplicate FirstToken event of %s", job.ID)
	}
	h.generated[job.ID] = 1
	for id, other := range h.jobs {
		if h.generated[id] == 0 && other.Priority < job.Priority {
			t.Fatalf("%s with priority %d ran before %s with %d", job.ID, job.Priority, id, other.Priority)
		}
	}
}

func (h *engineHarness) cancel(t *rapid.T) {
	h.checkEvents(t)
	id := fmt.Sprint("s", rapid.IntRange(1, h.submitted+1).Draw(t, "id"))
	_, running := h.jobs[id]
	if h.engine.Cancel(h.now, id) != running {
		t.Fatalf("Cancel(%s) does not report whether the stream runs (running: %v)", id, running)
	}
	delete(h.jobs, id)
}

func (h *engineHarness) pin(t *rapid.T) {
	h.checkEvents(t)
	id, tokens := fmt.Sprint("k", h.submitted), rapid.IntRange(1, 300).Draw(t, "tokens")
	if h.engine.Pin(h.now, id, "h@1", h.now, tokens) == nil {
		h.pinned[id] = tokens
	}
}

// release frees the first pinned block.
func (h *engineHarness) release(t *rapid.T) {
	h.checkEvents(t)
	ids := slices.Sorted(maps.Keys(h.pinned))
	if len(ids) == 0 {
		return
	}
	if !h.engine.Release(h.now, ids[0]) {
		t.Fatalf("Release(%s) did not find the pinned block", ids[0])
	}
	delete(h.pinned, ids[0])
}

func (h *engineHarness) crash(t *rapid.T) {
	h.checkEvents(t)
	before := h.engine.Incarnation()
	if lost := h.engine.Crash(h.now); len(lost) != len(h.jobs) {
		t.Fatalf("crash lost %d of %d streams", len(lost), len(h.jobs))
	}
	if !errors.Is(h.engine.Submit(h.now, enginemodel.Job{ID: "down"}), enginemodel.ErrDown) {
		t.Fatal("Submit does not return ErrDown on an engine that is down")
	}
	h.engine.Restart(h.now)
	if h.engine.Incarnation() == before {
		t.Fatal("restart kept the incarnation")
	}
	clear(h.jobs)
	clear(h.pinned)
}

func (h *engineHarness) setSpeed(t *rapid.T) {
	h.checkEvents(t)
	h.engine.SetSpeed(rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "factor"))
}

func (h *engineHarness) checkMemory(t *rapid.T) {
	h.checkEvents(t)
	if reserved := h.engine.ReservedTokens(); reserved != h.expectedReserved() || reserved > smallConfig().MemoryTokens {
		t.Fatalf("%d tokens reserved; the jobs and pinned blocks add up to %d", reserved, h.expectedReserved())
	}
	sum := 0
	for _, allocation := range h.engine.Allocations() {
		sum += allocation.Tokens
	}
	if sum != h.engine.ReservedTokens() {
		t.Fatalf("the allocations sum to %d tokens; the engine reports %d reserved", sum, h.engine.ReservedTokens())
	}
}

// TestEngineInvariants guards against overcommitted or leaked memory, events
// that are out of order or disagree with the submitted jobs, and priority
// inversion, under random submissions, cancellations, pins, crashes and changes
// of speed.
func TestEngineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &engineHarness{
			engine: enginemodel.New(smallConfig(), epoch, 1), now: epoch, lastEventAt: epoch, jobs: make(map[string]enginemodel.Job),
			generated: make(map[string]int), pinned: make(map[string]int),
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": h.submit, "advance": h.advance, "cancel": h.cancel, "pin": h.pin,
			"release": h.release, "crash": h.crash, "speed": h.setSpeed, "": h.checkMemory,
		})
		for len(h.pinned) > 0 {
			h.release(t)
		}
		h.now = h.now.Add(time.Minute)
		h.checkMemory(t)
		if h.engine.ReservedTokens() != 0 {
			t.Fatalf("%d tokens are still reserved after the end of all streams", h.engine.ReservedTokens())
		}
	})
}

func TestPrefillRunsByPriorityBesideDecode(t *testing.T) {
	g := gomega.NewWithT(t)
	e := enginemodel.New(smallConfig(), epoch, 1)
	g.Expect(e.Submit(epoch, enginemodel.Job{ID: "long", PromptTokens: 500, MaxTokens: 1, Priority: 5})).To(gomega.Succeed())
	at := epoch.Add(time.Second)
	g.Expect(e.Submit(at, enginemodel.Job{ID: "short", PromptTokens: 100, MaxTokens: 21, Priority: 1})).To(gomega.Succeed())
	ends := make(map[string]time.Duration)
	for _, ev := range e.Advance(epoch.Add(time.Minute)) {
		if ev.Kind == enginemodel.Finished {
			ends[ev.ID] = ev.At.Sub(epoch)
		}
	}
	g.Expect(ends).To(gomega.Equal(map[string]time.Duration{"short": 4 * time.Second, "long": 6 * time.Second}))
}

func TestCachedPrefixShortensPrefill(t *testing.T) {
	g := gomega.NewWithT(t)
	e := enginemodel.New(smallConfig(), epoch, 1)
	first := func(id string, at time.Time) time.Duration {
		job := enginemodel.Job{ID: id, PromptTokens: 150, MaxTokens: 1, PrefixHashes: []uint64{1, 2}, BlockTokens: 50}
		g.Expect(e.Submit(at, job)).To(gomega.Succeed())
		return e.Advance(at.Add(time.Minute))[0].At.Sub(at)
	}
	g.Expect(first("a", epoch)).To(gomega.Equal(1500 * time.Millisecond))
	g.Expect(first("b", epoch.Add(time.Hour))).To(gomega.Equal(500 * time.Millisecond))
}

func TestLoadReportLag(t *testing.T) {
	g := gomega.NewWithT(t)
	e := enginemodel.New(smallConfig(), epoch, 1)
	g.Expect(e.Submit(epoch.Add(time.Second), enginemodel.Job{ID: "a", PromptTokens: 500, MaxTokens: 1})).To(gomega.Succeed())
	g.Expect(e.Load(epoch.Add(1500 * time.Millisecond)).Running).To(gomega.BeZero())
	report := e.Load(epoch.Add(3 * time.Second))
	g.Expect(report.Running).To(gomega.Equal(1))
	g.Expect(report.PrefillTokens).To(gomega.Equal(400))
	g.Expect(report.ObservedMS).To(gomega.Equal(epoch.Add(2 * time.Second).UnixMilli()))
}
