package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/quarantine"
)

const (
	fuzzEngines     = 12
	fuzzDuration    = 40 * time.Second
	fuzzTick        = 20 * time.Millisecond
	clearingTime    = 150 * time.Millisecond // from the start of a prompt until its answer clears its parts
	fuzzAnswerTime  = time.Second
	fuzzRestartTime = 3 * time.Second
	fuzzPart        = "bad"
	// countedCrashes, crashGrace and maxLaterPrompts are the users' bound: the number of
	// crashes after which prompts with the part count, the time until they do, and how
	// many may be sent then.
	countedCrashes  = 5
	crashGrace      = 3 * time.Second
	maxLaterPrompts = 3
	// minSoundPrompts is the number of sound prompts from which the users judge how many
	// are served.
	minSoundPrompts = 20
)

// fuzzPrompt is a prompt in progress.
type fuzzPrompt struct {
	id      uint64
	engine  int
	parts   []string
	start   time.Time
	cleared bool
}

// fuzzFleet is one host before a few engines. Its oracle knows which part crashes them.
type fuzzFleet struct {
	tracker   *quarantine.Tracker
	random    *rand.Rand
	lossRatio float64 // of answers that break off without a crash
	running   []*fuzzPrompt
	downUntil [fuzzEngines]time.Time
	restarts  [fuzzEngines]int
	crashes   []time.Time
	later     int // prompts with the part that were sent when none should be
	sound     int
	refused   int // of the sound prompts, since the part counts
	lastID    uint64
}

func (f *fuzzFleet) counts(now time.Time) bool {
	return len(f.crashes) >= countedCrashes && now.Sub(f.crashes[countedCrashes-1]) > crashGrace
}

// send starts a prompt at an engine that is up, unless it is refused.
func (f *fuzzFleet) send(parts []string) {
	now := time.Now()
	bad := slices.Contains(parts, fuzzPart)
	_, refused := f.tracker.Quarantined(parts)
	if !bad && f.counts(now) {
		f.sound++
	}
	switch {
	case refused && !bad && f.counts(now):
		f.refused++
	case refused:
	default:
		f.start(parts, now, bad)
	}
}

func (f *fuzzFleet) start(parts []string, now time.Time, bad bool) {
	engine := f.random.IntN(fuzzEngines)
	if now.Before(f.downUntil[engine]) {
		return
	}
	if bad && f.counts(now) {
		f.later++
	}
	f.lastID++
	f.running = append(f.running, &fuzzPrompt{id: f.lastID, engine: engine, parts: parts, start: now})
}

// advance lets engines crash, answers clear their parts, end or get lost.
func (f *fuzzFleet) advance() {
	now := time.Now()
	for _, p := range f.running {
		if slices.Contains(p.parts, fuzzPart) && now.Sub(p.start) >= clearingTime/2 && !now.Before(f.downUntil[p.engine]) {
			f.downUntil[p.engine] = now.Add(fuzzRestartTime)
			f.crashes = append(f.crashes, now)
		}
	}
	f.running = slices.DeleteFunc(f.running, func(p *fuzzPrompt) bool {
		switch {
		case now.Before(f.downUntil[p.engine]), !p.cleared && f.random.Float64() < f.lossRatio*float64(fuzzTick)/float64(clearingTime):
			f.breakOff(p)
			return true
		case !p.cleared && now.Sub(p.start) >= clearingTime:
			p.cleared = true
			f.tracker.RecordAnswer(p.parts)
		}
		return now.Sub(p.start) >= fuzzAnswerTime
	})
	for i, until := range f.downUntil {
		if !until.IsZero() && !now.Before(until) {
			f.downUntil[i] = time.Time{}
			f.restarts[i]++
		}
	}
}

func (f *fuzzFleet) breakOff(p *fuzzPrompt) {
	c := crashAt(p.engine+fuzzEngines*f.restarts[p.engine], p.id)
	if !p.cleared {
		c.Parts = p.parts
	}
	f.tracker.RecordCrash(c)
}

// Whatever the traffic, a part that crashes engines is quarantined in time, and hardly
// any sound prompt is refused, although answers also break off for other reasons.
func TestFuzzOnlyPromptsThatCrashEnginesAreRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 60).Draw(rt, "perSecond")
		badRatio := rapid.Float64Range(0.02, 0.5).Draw(rt, "badRatio")
		badFrom := time.Duration(rapid.IntRange(0, 10).Draw(rt, "badFrom")) * time.Second
		kinds := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 3).Draw(rt, "kinds") // of each part
		position := rapid.IntRange(0, len(kinds)).Draw(rt, "position")
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.Float64Range(0, 0.3).Draw(rt, "loss")
		var f *fuzzFleet
		synctest.Test(t, func(*testing.T) {
			tracker, _ := newTracker()
			f = &fuzzFleet{tracker: tracker, random: rand.New(rand.NewPCG(seed, 1)), lossRatio: loss}
			begin := time.Now()
			for time.Since(begin) < fuzzDuration {
				for f.random.Float64() < perSecond*fuzzTick.Seconds()/(1+perSecond*fuzzTick.Seconds()) {
					var parts []string
					for i, n := range kinds {
						parts = append(parts, fmt.Sprint("part-", i, "-", f.random.IntN(n)))
					}
					if time.Since(begin) >= badFrom && f.random.Float64() < badRatio {
						parts = slices.Insert(parts, position, fuzzPart)
					}
					f.send(parts)
				}
				time.Sleep(fuzzTick)
				f.advance()
			}
		})
		if f.later > maxLaterPrompts {
			rt.Fatalf("%d prompts with the part were sent after %d crashes; %d allowed", f.later, len(f.crashes), maxLaterPrompts)
		}
		if f.sound >= minSoundPrompts && 2*f.refused > f.sound {
			rt.Fatalf("%d of %d sound prompts were refused", f.refused, f.sound)
		}
	})
}
