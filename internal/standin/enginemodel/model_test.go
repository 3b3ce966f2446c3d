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

func small() enginemodel.Config {
	return enginemodel.Config{
		MemoryTokens: 1000, PrefillRate: 100, DecodeInterval: 100 * time.Millisecond, MaxBatch: 3,
		CacheTokens: 200, ReportLag: time.Second, Grace: time.Second, TokenEvents: true,
	}
}

// fuzz drives an engine and keeps what its events must agree with.
type fuzz struct {
	e      *enginemodel.Engine
	now    time.Time
	next   int
	jobs   map[string]enginemodel.Job // admitted and not yet ended
	came   map[string]int             // tokens of the answer so far
	pinned map[string]int
	last   time.Time
}

func (f *fuzz) reserved() int {
	sum := 0
	for _, j := range f.jobs {
		sum += j.PromptTokens + j.MaxTokens
	}
	for _, tokens := range f.pinned {
		sum += tokens
	}
	return sum
}

func (f *fuzz) submit(t *rapid.T) {
	f.take(t)
	f.next++
	job := enginemodel.Job{
		ID: fmt.Sprint("s", f.next), Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
		PromptTokens: rapid.IntRange(1, 600).Draw(t, "prompt"), MaxTokens: rapid.IntRange(1, 60).Draw(t, "max"),
		Deadline: f.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "limit")) * time.Second),
		Prefixes: []uint64{uint64(rapid.IntRange(1, 5).Draw(t, "prefix"))}, BlockTokens: 50,
	}
	fits := f.reserved()+job.PromptTokens+job.MaxTokens <= small().MemoryTokens
	err := f.e.Submit(f.now, job)
	if errors.Is(err, enginemodel.ErrNoMemory) == fits {
		t.Fatalf("job fits: %v, but Submit returned %v", fits, err)
	}
	if err == nil {
		f.jobs[job.ID] = job
	}
}

func (f *fuzz) advance(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
	f.take(t)
}

// take checks each event against the jobs that the engine was given.
func (f *fuzz) take(t *rapid.T) {
	for _, ev := range f.e.Advance(f.now) {
		job, ok := f.jobs[ev.ID]
		if !ok {
			t.Fatalf("%v of %s, which does not run", ev.Kind, ev.ID)
		}
		if ev.At.Before(f.last) || ev.At.After(f.now) {
			t.Fatalf("event at %v is out of order (last %v, now %v)", ev.At, f.last, f.now)
		}
		f.last = ev.At
		switch ev.Kind {
		case enginemodel.FirstToken:
			f.first(t, job)
		case enginemodel.Token:
			f.came[ev.ID] += ev.Tokens
		case enginemodel.Finished:
			if f.came[ev.ID] != job.MaxTokens || ev.Tokens != job.MaxTokens || ev.At.After(job.Deadline.Add(small().Grace)) {
				t.Fatalf("finished with %d of %d tokens at %v", f.came[ev.ID], job.MaxTokens, ev.At)
			}
			delete(f.jobs, ev.ID)
		case enginemodel.Dropped:
			if !ev.At.Equal(job.Deadline.Add(small().Grace)) || ev.Tokens != f.came[ev.ID] {
				t.Fatalf("dropped %+v, deadline %v, %d tokens came", ev, job.Deadline, f.came[ev.ID])
			}
			delete(f.jobs, ev.ID)
		}
	}
}

// first checks that no prompt of a lower priority value was left waiting: jobs
// are only given between calls to take, so all of them competed.
func (f *fuzz) first(t *rapid.T, job enginemodel.Job) {
	if f.came[job.ID] != 0 {
		t.Fatalf("second first token of %s", job.ID)
	}
	f.came[job.ID] = 1
	for id, other := range f.jobs {
		if f.came[id] == 0 && other.Priority < job.Priority {
			t.Fatalf("%s with priority %d ran before %s with %d", job.ID, job.Priority, id, other.Priority)
		}
	}
}

func (f *fuzz) cancel(t *rapid.T) {
	f.take(t)
	id := fmt.Sprint("s", rapid.IntRange(1, f.next+1).Draw(t, "id"))
	_, running := f.jobs[id]
	if f.e.Cancel(f.now, id) != running {
		t.Fatalf("cancel of %s: running %v", id, running)
	}
	delete(f.jobs, id)
}

func (f *fuzz) pin(t *rapid.T) {
	f.take(t)
	id, tokens := fmt.Sprint("k", f.next), rapid.IntRange(1, 300).Draw(t, "tokens")
	if f.e.Pin(f.now, id, "h@1", f.now, tokens) == nil {
		f.pinned[id] = tokens
	}
}

// release gives the first pin back.
func (f *fuzz) release(t *rapid.T) {
	f.take(t)
	ids := slices.Sorted(maps.Keys(f.pinned))
	if len(ids) == 0 {
		return
	}
	if !f.e.Release(f.now, ids[0]) {
		t.Fatalf("%s was not held", ids[0])
	}
	delete(f.pinned, ids[0])
}

func (f *fuzz) crash(t *rapid.T) {
	f.take(t)
	before := f.e.Incarnation()
	if lost := f.e.Crash(f.now); len(lost) != len(f.jobs) {
		t.Fatalf("crash lost %d of %d streams", len(lost), len(f.jobs))
	}
	if !errors.Is(f.e.Submit(f.now, enginemodel.Job{ID: "down"}), enginemodel.ErrDown) {
		t.Fatal("an engine that is down takes jobs")
	}
	f.e.Restart(f.now)
	if f.e.Incarnation() == before {
		t.Fatal("restart kept the incarnation")
	}
	clear(f.jobs)
	clear(f.pinned)
}

func (f *fuzz) speed(t *rapid.T) {
	f.take(t)
	f.e.SetSpeed(rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "factor"))
}

func (f *fuzz) check(t *rapid.T) {
	f.take(t)
	if used := f.e.ReservedTokens(); used != f.reserved() || used > small().MemoryTokens {
		t.Fatalf("%d tokens used, %d reserved by the jobs", used, f.reserved())
	}
	held := 0
	for _, h := range f.e.Allocations() {
		held += h.Tokens
	}
	if held != f.e.ReservedTokens() {
		t.Fatalf("the held list sums to %d of %d", held, f.e.ReservedTokens())
	}
}

// Memory is never over, events are in order and agree with what was given, and
// priorities are honoured, whatever happens between.
func TestEngineAgreesWithItsJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fuzz{
			e: enginemodel.New(small(), epoch, 1), now: epoch, last: epoch, jobs: make(map[string]enginemodel.Job),
			came: make(map[string]int), pinned: make(map[string]int),
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": f.submit, "advance": f.advance, "cancel": f.cancel, "pin": f.pin,
			"release": f.release, "crash": f.crash, "speed": f.speed, "": f.check,
		})
		for len(f.pinned) > 0 {
			f.release(t)
		}
		f.now = f.now.Add(time.Minute)
		f.check(t)
		if f.e.ReservedTokens() != 0 {
			t.Fatalf("%d tokens are lost", f.e.ReservedTokens())
		}
	})
}

func TestPrefillIsSharedByPriorityAndDecodeGoesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	e := enginemodel.New(small(), epoch, 1)
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
	e := enginemodel.New(small(), epoch, 1)
	first := func(id string, at time.Time) time.Duration {
		job := enginemodel.Job{ID: id, PromptTokens: 150, MaxTokens: 1, Prefixes: []uint64{1, 2}, BlockTokens: 50}
		g.Expect(e.Submit(at, job)).To(gomega.Succeed())
		return e.Advance(at.Add(time.Minute))[0].At.Sub(at)
	}
	g.Expect(first("a", epoch)).To(gomega.Equal(1500 * time.Millisecond))
	g.Expect(first("b", epoch.Add(time.Hour))).To(gomega.Equal(500 * time.Millisecond))
}

func TestLoadIsReportedLate(t *testing.T) {
	g := gomega.NewWithT(t)
	e := enginemodel.New(small(), epoch, 1)
	g.Expect(e.Submit(epoch.Add(time.Second), enginemodel.Job{ID: "a", PromptTokens: 500, MaxTokens: 1})).To(gomega.Succeed())
	g.Expect(e.Load(epoch.Add(1500 * time.Millisecond)).Running).To(gomega.BeZero())
	report := e.Load(epoch.Add(3 * time.Second))
	g.Expect(report.Running).To(gomega.Equal(1))
	g.Expect(report.PrefillTokens).To(gomega.Equal(400))
	g.Expect(report.ObservedMS).To(gomega.Equal(epoch.Add(2 * time.Second).UnixMilli()))
}
