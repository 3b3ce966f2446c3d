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

// scenario lists the calls to one engine and the faults injected while they run.
type scenario struct {
	Calls           []callerBehavior
	Tokens          int
	ResponseFaults  []standin.Fault
	EngineFaults    []timedFault
	StallAfterBytes int  // bytes after which the first connection stalls; negative: it does not
	recoverable     bool // only faults from which the client must recover
}

// timedFault is a fault of the whole engine, injected at a given time.
type timedFault struct {
	After time.Duration
	Kind  string
	Value int
}

var responseFaultKinds = []standin.FaultKind{
	standin.FaultNone, standin.FaultDisconnect, standin.FaultTruncate, standin.FaultWrongCount, standin.FaultWrongID,
	standin.FaultDuplicate, standin.FaultSkip, standin.FaultReorder, standin.FaultDelay,
}

func scenarios(recoverable bool) *rapid.Generator[scenario] {
	kinds := []string{"silent", "silent_next", "crash", "crawl", "leave", "speed"}
	maxFaults, maxSteps, maxCalls := 12, 4, 4
	if recoverable {
		kinds, maxFaults, maxSteps, maxCalls = kinds[:2], 2, 1, 1
	}
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{Tokens: rapid.IntRange(1, 40).Draw(t, "tokens"), recoverable: recoverable}
		s.StallAfterBytes = rapid.OneOf(rapid.Just(-1), rapid.IntRange(0, 400)).Draw(t, "silent")
		for range rapid.IntRange(1, maxCalls).Draw(t, "calls") {
			l := callerBehavior{timeLimit: 60 * time.Second}
			if !recoverable {
				l.timeLimit = drawMillis(t, "deadline", 1, 60_000)
				l.disconnectAfter = drawMillis(t, "leaves", 0, 5_000) * time.Duration(rapid.IntRange(0, 1).Draw(t, "leave"))
				l.sinkDelay = drawMillis(t, "slow", 0, 200)
			}
			s.Calls = append(s.Calls, l)
		}
		for range rapid.IntRange(0, maxFaults).Draw(t, "faults") {
			s.ResponseFaults = append(s.ResponseFaults, standin.Fault{
				Kind: rapid.SampledFrom(responseFaultKinds).Draw(t, "answer"), At: rapid.IntRange(0, s.Tokens).Draw(t, "at"),
				DelayMS: int64(rapid.IntRange(0, 20_000).Draw(t, "delay")),
			})
		}
		for range rapid.IntRange(0, maxSteps).Draw(t, "steps") {
			s.EngineFaults = append(s.EngineFaults, timedFault{
				After: drawMillis(t, "after", 0, 1000), Kind: rapid.SampledFrom(kinds).Draw(t, "fault"),
				Value: rapid.IntRange(0, 4000).Draw(t, "value"),
			})
		}
		return s
	})
}

func drawMillis(t *rapid.T, label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
}

func (f timedFault) inject(e *standin.Engine) {
	bytes, slowSpeed, fullSpeed, leave := int64(f.Value), 0.05, 1.0, true
	switch f.Kind {
	case "silent":
		e.Control(standin.Control{SilentAfter: &bytes})
	case "silent_next":
		e.Control(standin.Control{SilentNextAt: &bytes})
	case "crash":
		e.Control(standin.Control{Crash: &standin.Crash{RestartMS: bytes}})
	case "crawl":
		e.Control(standin.Control{Speed: &slowSpeed})
	case "speed":
		e.Control(standin.Control{Speed: &fullSpeed})
	case "leave":
		e.Control(standin.Control{Leave: &leave})
	}
}

// runScenario runs the scenario in a synctest bubble and returns a description of the
// first violation, or an empty string.
func runScenario(s scenario) string {
	settings := fastSettings()
	settings.Model.DecodeInterval = 20 * time.Millisecond
	settings.Model.PrefillRate = 1000
	r := newHarness(settings)
	defer r.close()
	r.engine.Control(standin.Control{ResponseFaults: s.ResponseFaults})
	if s.StallAfterBytes >= 0 {
		timedFault{Kind: "silent_next", Value: s.StallAfterBytes}.inject(r.engine)
	}
	calls := make([]*call, len(s.Calls))
	var running sync.WaitGroup
	for i, l := range s.Calls {
		running.Go(func() {
			prompt := strings.Repeat(fmt.Sprint("prompt ", i), 100*i+1)
			calls[i] = r.generate(fmt.Sprint("r", i), prompt, s.Tokens, l)
		})
	}
	for _, f := range s.EngineFaults {
		time.Sleep(f.After)
		f.inject(r.engine)
	}
	running.Wait()
	for i, c := range calls {
		if failure := c.verify(r.engine.Counts().Submitted[c.req.ID]); failure != "" {
			return failure
		}
		if overrun := c.elapsed - s.Calls[i].timeLimit - s.Calls[i].sinkDelay; overrun > time.Millisecond {
			return fmt.Sprintf("%s: ended %v after its deadline", c.req.ID, overrun)
		}
		if s.recoverable && c.err != nil {
			return fmt.Sprintf("%s: %v", c.req.ID, c.err)
		}
	}
	return r.awaitMemoryRelease()
}

// awaitMemoryRelease waits until all cancellations are acknowledged and checks that the
// engine then holds no memory, before any deadline releases it.
func (r *harness) awaitMemoryRelease() string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	if err := r.client.Canceller().Drain(ctx); err != nil {
		return err.Error()
	}
	if used := r.engine.ReservedTokens(); used != 0 {
		return fmt.Sprintf("engine holds %d tokens after all cancellations were acknowledged", used)
	}
	return ""
}

func checkGenerate(t *testing.T, recoverable bool) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenarios(recoverable).Draw(rt, "scenario")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runScenario(s) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Under any combination of faults, a success means the complete response, tokens arrive
// exactly once and in order, a not-run outcome is accurate, the time limit holds and
// engine memory is released.
func TestGenerateUnderFaults(t *testing.T) { checkGenerate(t, false) }

// The client recovers from two stalled connections and two invalid responses without an
// error.
func TestGenerateRecoversFromTwoFaults(t *testing.T) { checkGenerate(t, true) }

// A connection that stalls at any byte delays the response by at most one timeout.
func TestStallAtAnyByteCostsAtMostOneTimeout(t *testing.T) {
	const tokens, deadline, requestBytes = 10, 40 * time.Second, 1 << 10
	run := func(stallAt int64) (*call, engine.Stats) {
		r := newHarness(fastSettings())
		defer r.close()
		if stallAt >= 0 {
			r.engine.Control(standin.Control{SilentNextAt: &stallAt})
		}
		c := r.generate("r", "prompt", tokens, callerBehavior{timeLimit: deadline})
		return c, r.client.Stats()
	}
	timeout := engine.DefaultTimeouts().FirstByte(deadline, requestBytes)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		baseline, _ := run(-1)
		for at := int64(0); at < 1000; at += 7 {
			c, stats := run(at)
			g.Expect(c.err).NotTo(gomega.HaveOccurred(), "stalled at byte %d", at)
			g.Expect(c.verify(1)).To(gomega.BeEmpty())
			g.Expect(c.elapsed).To(gomega.BeNumerically("<=", baseline.elapsed+timeout), "stalled at byte %d, %+v", at, stats)
		}
	})
}

// When one connection stalls, the idle connections of the same age are closed too, so
// that later calls do not each wait for a timeout.
func TestStallClosesIdleConnectionsOfSameAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newHarness(fastSettings())
		defer r.close()
		var running sync.WaitGroup
		for i := range 5 {
			running.Go(func() { r.generate(fmt.Sprint("first-", i), "prompt", 20, callerBehavior{timeLimit: time.Minute}) })
		}
		running.Wait()
		time.Sleep(time.Second)
		now := int64(0)
		r.engine.Control(standin.Control{SilentAfter: &now})
		for i := range 5 {
			c := r.generate(fmt.Sprint("second-", i), "prompt", 20, callerBehavior{timeLimit: time.Minute})
			g.Expect(c.err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(r.client.Stats().StalledConnections).To(gomega.Equal(uint64(1)))
	})
}

// When one connection stalls, running calls on connections of the same age are resumed
// on new connections as well.
func TestStallClosesActiveConnectionsOfSameAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		settings := fastSettings()
		settings.Model.DecodeInterval = 100 * time.Millisecond
		r := newHarness(settings)
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
				calls[i] = r.generate(fmt.Sprint("r", i), "prompt", 40, callerBehavior{timeLimit: deadline})
			})
		}
		running.Wait()
		for _, c := range calls {
			g.Expect(c.err).NotTo(gomega.HaveOccurred())
			g.Expect(c.verify(1)).To(gomega.BeEmpty())
		}
		g.Expect(r.client.Stats().StalledConnections).To(gomega.Equal(uint64(1)))
		g.Expect(r.client.Stats().PreemptiveCloses).To(gomega.Equal(uint64(4)))
	})
}
