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

// step is one thing that happens to the fleet.
type step struct {
	Kind         string
	Host, Engine int
	Size         int
	Limit, After time.Duration
}

func steps() *rapid.Generator[[]step] {
	kinds := []string{"submit", "submit", "submit", "pin", "cancel", "release", "crash", "restart", "lossy", "heal"}
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			Host: rapid.IntRange(0, 2).Draw(t, "host"), Engine: rapid.IntRange(0, 1).Draw(t, "engine"),
			Size:  rapid.IntRange(1, 60_000).Draw(t, "size"),
			Limit: time.Duration(rapid.IntRange(1, 120).Draw(t, "limit")) * time.Second,
			After: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "after")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 30)
}

// do lets s happen; the last live host is left alone.
func (f *fleet) do(s step) {
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
		f.take(h, s)
	case s.Kind == "cancel":
		h.canceller.Cancel(t, fmt.Sprint("r", f.seq), time.Now().Add(s.Limit), false)
	case s.Kind == "release":
		_, _ = f.ReleaseKV(context.Background(), t, fmt.Sprint("r", f.seq))
	case s.Kind == "crash" && f.live() > 1:
		f.crash(h, min(s.Limit, lag))
	}
}

func (f *fleet) live() int {
	n := 0
	for _, h := range f.hosts {
		if h.alive {
			n++
		}
	}
	return n
}

func (f *fleet) take(h *host, s step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	id, deadline, e := fmt.Sprint("r", f.seq), time.Now().Add(s.Limit), f.engines[s.Engine]
	if s.Kind == "pin" {
		_ = e.Pin(time.Now(), id, h.self.String(), deadline, s.Size)
	} else {
		_ = e.Submit(time.Now(), enginemodel.Job{ID: id, Owner: h.self.String(), Deadline: deadline, PromptTokens: s.Size, MaxTokens: 1})
	}
	if deadline.After(f.latest) {
		f.latest = deadline
	}
}

// run plays the steps and returns what went wrong.
func run(all []step) string {
	f := newFleet(2, 3, 1)
	defer f.stop()
	for _, s := range all {
		f.do(s)
		time.Sleep(s.After)
	}
	f.do(step{Kind: "heal"})
	time.Sleep(lag + mostBehind) // all know who lives
	if rest := time.Until(f.latest.Add(grace)); rest > 0 {
		time.Sleep(rest)
	}
	time.Sleep(interval + time.Millisecond)
	if used := f.used(); used != 0 {
		return fmt.Sprintf("%d tokens are still held one interval after the last deadline plus grace", used)
	}
	if len(f.wrong) > 0 {
		return f.wrong[0]
	}
	return ""
}

// Whatever is cancelled, crashes or is lost, each engine has all of its memory
// back within deadline, grace and one interval, and nothing goes too early.
func TestMemoryComesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := steps().Draw(rt, "steps")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = run(all) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// What a host that is gone held comes back long before its deadline.
func TestOrphansGoBeforeTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(2, 3, 1)
		defer f.stop()
		for i := range 4 {
			f.do(step{Kind: "pin", Host: i % 2, Engine: i % 2, Size: 1000, Limit: time.Hour})
		}
		f.crash(f.hosts[0], time.Second)
		time.Sleep(lag)
		g.Expect(f.used()).To(gomega.Equal(4000))
		time.Sleep(time.Second + interval + time.Millisecond)
		g.Expect(f.used()).To(gomega.Equal(2000))
		g.Expect(f.wrong).To(gomega.BeEmpty())
	})
}
