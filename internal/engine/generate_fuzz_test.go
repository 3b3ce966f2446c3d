package engine_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/engine"
	standin "github.com/plantainrun/plantainrun/internal/standin/engine"
)

// scenario is what goes wrong while some calls run on one engine.
type scenario struct {
	Calls   []limits
	Tokens  int
	Answers []standin.Fault
	Steps   []timedFault
	Silent  int  // bytes until the first connection goes silent; negative: it does not
	mild    bool // nothing that a client cannot mend
}

// timedFault is a fault of the engine as a whole.
type timedFault struct {
	After time.Duration
	Kind  string
	Value int
}

var answerKinds = []standin.FaultKind{
	standin.FaultNone, standin.FaultCut, standin.FaultShort, standin.FaultWrongCount, standin.FaultCrossed,
	standin.FaultDuplicate, standin.FaultSkip, standin.FaultLate, standin.FaultDelay,
}

func scenarios(mild bool) *rapid.Generator[scenario] {
	kinds := []string{"silent", "silent_next", "crash", "crawl", "leave", "speed"}
	maxFaults, maxSteps, maxCalls := 12, 4, 4
	if mild {
		kinds, maxFaults, maxSteps, maxCalls = kinds[:2], 2, 1, 1
	}
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{Tokens: rapid.IntRange(1, 40).Draw(t, "tokens"), mild: mild}
		s.Silent = rapid.OneOf(rapid.Just(-1), rapid.IntRange(0, 400)).Draw(t, "silent")
		for range rapid.IntRange(1, maxCalls).Draw(t, "calls") {
			l := limits{deadline: 60 * time.Second}
			if !mild {
				l.deadline = millis(t, "deadline", 1, 60_000)
				l.leaves = millis(t, "leaves", 0, 5_000) * time.Duration(rapid.IntRange(0, 1).Draw(t, "leave"))
				l.slow = millis(t, "slow", 0, 200)
			}
			s.Calls = append(s.Calls, l)
		}
		for range rapid.IntRange(0, maxFaults).Draw(t, "faults") {
			s.Answers = append(s.Answers, standin.Fault{
				Kind: rapid.SampledFrom(answerKinds).Draw(t, "answer"), At: rapid.IntRange(0, s.Tokens).Draw(t, "at"),
				DelayMS: int64(rapid.IntRange(0, 20_000).Draw(t, "delay")),
			})
		}
		for range rapid.IntRange(0, maxSteps).Draw(t, "steps") {
			s.Steps = append(s.Steps, timedFault{
				After: millis(t, "after", 0, 1000), Kind: rapid.SampledFrom(kinds).Draw(t, "fault"),
				Value: rapid.IntRange(0, 4000).Draw(t, "value"),
			})
		}
		return s
	})
}

func millis(t *rapid.T, label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
}

func (f timedFault) inject(e *standin.Engine) {
	bytes, crawl, full, leave := int64(f.Value), 0.05, 1.0, true
	switch f.Kind {
	case "silent":
		e.Control(standin.Control{SilentAfter: &bytes})
	case "silent_next":
		e.Control(standin.Control{SilentNextAt: &bytes})
	case "crash":
		e.Control(standin.Control{Crash: &standin.Crash{RestartMS: bytes}})
	case "crawl":
		e.Control(standin.Control{Speed: &crawl})
	case "speed":
		e.Control(standin.Control{Speed: &full})
	case "leave":
		e.Control(standin.Control{Leave: &leave})
	}
}

// play runs the scenario in the bubble and returns what went wrong.
func play(s scenario) string {
	settings := quickSettings()
	settings.Model.DecodeInterval = 20 * time.Millisecond
	settings.Model.PrefillRate = 1000
	r := newRig(settings)
	defer r.close()
	r.engine.Control(standin.Control{Answers: s.Answers})
	if s.Silent >= 0 {
		timedFault{Kind: "silent_next", Value: s.Silent}.inject(r.engine)
	}
	calls := make([]*call, len(s.Calls))
	var running sync.WaitGroup
	for i, l := range s.Calls {
		running.Go(func() {
			prompt := strings.Repeat(fmt.Sprint("prompt ", i), 100*i+1)
			calls[i] = r.generate(fmt.Sprint("r", i), prompt, s.Tokens, l)
		})
	}
	for _, f := range s.Steps {
		time.Sleep(f.After)
		f.inject(r.engine)
	}
	running.Wait()
	for i, c := range calls {
		if wrong := c.check(r.engine.Counts().Submitted[c.req.ID]); wrong != "" {
			return wrong
		}
		if late := c.took - s.Calls[i].deadline - s.Calls[i].slow; late > time.Millisecond {
			return fmt.Sprintf("%s: ended %v after its deadline", c.req.ID, late)
		}
		if s.mild && c.err != nil {
			return fmt.Sprintf("%s: %v", c.req.ID, c.err)
		}
	}
	return r.memoryBack()
}

// memoryBack waits for the cancels to be acknowledged, after which no deadline
// is needed to give the memory back.
func (r *rig) memoryBack() string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	if err := r.client.Canceller().Drain(ctx); err != nil {
		return err.Error()
	}
	if used := r.engine.Used(); used != 0 {
		return fmt.Sprintf("%d tokens are held after all cancels were acknowledged", used)
	}
	return ""
}

func fuzzGenerate(t *testing.T, mild bool) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenarios(mild).Draw(rt, "scenario")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = play(s) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// Whatever goes wrong, a success is the whole answer, tokens come once and in
// order, "not run" is true, the time limit holds and memory comes back.
func TestGenerateUnderFaults(t *testing.T) { fuzzGenerate(t, false) }

// Two silent connections and two wrong answers are mended without an error.
func TestGenerateMendsTwoFaults(t *testing.T) { fuzzGenerate(t, true) }

// A connection that goes silent at any byte costs at most the stated bound.
func TestSilenceAtAnyByteCostsOneBound(t *testing.T) {
	const tokens, deadline, requestBytes = 10, 40 * time.Second, 1 << 10
	run := func(silentAt int64) (*call, engine.Stats) {
		r := newRig(quickSettings())
		defer r.close()
		if silentAt >= 0 {
			r.engine.Control(standin.Control{SilentNextAt: &silentAt})
		}
		c := r.generate("r", "prompt", tokens, limits{deadline: deadline})
		return c, r.client.Stats()
	}
	bound := engine.DefaultTimeouts().FirstByte(deadline, requestBytes)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		plain, _ := run(-1)
		for at := int64(0); at < 1000; at += 7 {
			c, stats := run(at)
			g.Expect(c.err).NotTo(gomega.HaveOccurred(), "silent at byte %d", at)
			g.Expect(c.check(1)).To(gomega.BeEmpty())
			g.Expect(c.took).To(gomega.BeNumerically("<=", plain.took+bound), "silent at byte %d, %+v", at, stats)
		}
	})
}

// One silent connection is enough to learn that those opened with it are
// silent too: calls that come later do not wait.
func TestIdleConnectionsOfTheSameAgeAreSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newRig(quickSettings())
		defer r.close()
		var running sync.WaitGroup
		for i := range 5 {
			running.Go(func() { r.generate(fmt.Sprint("first-", i), "prompt", 20, limits{deadline: time.Minute}) })
		}
		running.Wait()
		time.Sleep(time.Second)
		now := int64(0)
		r.engine.Control(standin.Control{SilentAfter: &now})
		for i := range 5 {
			c := r.generate(fmt.Sprint("second-", i), "prompt", 20, limits{deadline: time.Minute})
			g.Expect(c.err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(r.client.Stats().StalledConnections).To(gomega.Equal(uint64(1)))
	})
}

// Running calls on connections of the same age are moved as well.
func TestRunningConnectionsOfTheSameAgeAreSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		settings := quickSettings()
		settings.Model.DecodeInterval = 100 * time.Millisecond
		r := newRig(settings)
		defer r.close()
		time.AfterFunc(time.Second, func() {
			now := int64(0)
			r.engine.Control(standin.Control{SilentAfter: &now})
		})
		var running sync.WaitGroup
		calls := make([]*call, 5)
		for i := range calls {
			running.Go(func() {
				deadline := 8*time.Second + time.Duration(i)*8*time.Second
				calls[i] = r.generate(fmt.Sprint("r", i), "prompt", 40, limits{deadline: deadline})
			})
		}
		running.Wait()
		for _, c := range calls {
			g.Expect(c.err).NotTo(gomega.HaveOccurred())
			g.Expect(c.check(1)).To(gomega.BeEmpty())
		}
		g.Expect(r.client.Stats().StalledConnections).To(gomega.Equal(uint64(1)))
		g.Expect(r.client.Stats().PreemptiveCloses).To(gomega.Equal(uint64(4)))
	})
}
