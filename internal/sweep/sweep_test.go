package sweep_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
)

// step is one event in the simulation.
type step struct {
	Kind         string
	Host, Engine int
	Size         int           // tokens
	Limit, After time.Duration // Limit: time until the deadline; After: delay before the next step
}

func stepSequences() *rapid.Generator[[]step] {
	kinds := []string{"submit", "submit", "submit", "pin", "cancel", "release", "crash", "restart", "lossy", "heal"}
	single := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			Host: rapid.IntRange(0, 2).Draw(t, "host"), Engine: rapid.IntRange(0, 1).Draw(t, "engine"),
			Size:  rapid.IntRange(1, 60_000).Draw(t, "size"),
			Limit: time.Duration(rapid.IntRange(1, 120).Draw(t, "limit")) * time.Second,
			After: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "after")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(single, 1, 30)
}

// apply performs the step. The last live host is never crashed.
func (f *fleet) apply(s step) {
	h, t := f.hosts[s.Host], f.target(s.Engine)
	switch {
	case s.Kind == "lossy" || s.Kind == "heal":
		f.mu.Lock()
		f.lossy = s.Kind == "lossy"
		f.mu.Unlock()
	case s.Kind == "restart" && !h.alive:
		f.mu.Lock()
		f.gone[h.self] = time.Now()
		f.mu.Unlock()
		f.start(h)
	case !h.alive:
	case s.Kind == "submit" || s.Kind == "pin":
		f.allocate(h, s)
	case s.Kind == "cancel":
		h.canceller.Cancel(t, fmt.Sprint("r", f.seq), time.Now().Add(s.Limit), false)
	case s.Kind == "release":
		_, _ = f.ReleaseKV(context.Background(), t, fmt.Sprint("r", f.seq))
	case s.Kind == "crash" && f.liveCount() > 1:
		f.crash(h, min(s.Limit, orphanDelay))
	}
}

func (f *fleet) liveCount() int {
	n := 0
	for _, h := range f.hosts {
		if h.alive {
			n++
		}
	}
	return n
}

func (f *fleet) allocate(h *host, s step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	id, deadline, e := fmt.Sprint("r", f.seq), time.Now().Add(s.Limit), f.engines[s.Engine]
	if s.Kind == "pin" {
		_ = e.Pin(time.Now(), id, h.self.String(), deadline, s.Size)
	} else {
		_ = e.Submit(time.Now(), enginemodel.Job{ID: id, Owner: h.self.String(), Deadline: deadline, PromptTokens: s.Size, MaxTokens: 1})
	}
	if deadline.After(f.latestDeadline) {
		f.latestDeadline = deadline
	}
}

// runSteps performs the steps and returns the first violation, or an empty string.
func runSteps(steps []step) string {
	f := newFleet(2, 3, 1)
	defer f.stop()
	for _, s := range steps {
		f.apply(s)
		time.Sleep(s.After)
	}
	f.apply(step{Kind: "heal"})
	time.Sleep(orphanDelay + maxViewLag) // until all hosts have the current view
	if rest := time.Until(f.latestDeadline.Add(grace)); rest > 0 {
		time.Sleep(rest)
	}
	time.Sleep(interval + time.Millisecond)
	if leaked := f.used(); leaked != 0 {
		return fmt.Sprintf("%d tokens are still allocated one interval after the last deadline plus grace", leaked)
	}
	if len(f.violations) > 0 {
		return f.violations[0]
	}
	return ""
}

// All memory is released within the deadline plus grace plus one interval, whichever
// streams are cancelled, hosts crash or messages are lost. Nothing of a live owner
// is released before its deadline plus grace.
func TestAllMemoryIsReleased(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := stepSequences().Draw(rt, "steps")
		var violation string
		synctest.Test(t, func(*testing.T) { violation = runSteps(steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// The allocations of a host that is gone are released long before their deadline.
func TestOrphansAreReleasedBeforeTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(2, 3, 1)
		defer f.stop()
		for i := range 4 {
			f.apply(step{Kind: "pin", Host: i % 2, Engine: i % 2, Size: 1000, Limit: time.Hour})
		}
		f.crash(f.hosts[0], time.Second)
		time.Sleep(orphanDelay)
		g.Expect(f.used()).To(gomega.Equal(4000))
		time.Sleep(time.Second + interval + time.Millisecond)
		g.Expect(f.used()).To(gomega.Equal(2000))
		g.Expect(f.violations).To(gomega.BeEmpty())
	})
}
