package engine_test

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	standin "github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
	"github.com/plantainrun/plantainrun/internal/topology"
)

const model = "assistant"

func fastSettings() standin.Settings {
	return standin.Settings{
		ID: "e1", State: engineapi.State{Model: model, Serving: true},
		Model: enginemodel.Config{
			MemoryTokens: 100_000, PrefillRate: 1e6, DecodeInterval: time.Millisecond, CacheTokens: 10_000, Grace: time.Second,
		},
	}
}

// startEngine starts a stand-in engine on a loopback address.
func startEngine(t *testing.T, settings standin.Settings) (*standin.Engine, topology.Target) {
	t.Helper()
	e := standin.New(settings)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, topology.Target{ID: settings.ID, Kind: topology.KindEngine, Addr: netip.MustParseAddrPort(e.Addr().String())}
}

func newClient(t *testing.T) *engine.Client {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	c := engine.New(engine.Options{})
	t.Cleanup(c.Close)
	return c
}

func request(id, prompt string, tokens int) engineapi.GenerateRequest {
	return engineapi.GenerateRequest{
		ID: id, Owner: "host@1", Model: model, Prompt: prompt, MaxTokens: tokens,
		DeadlineMS: time.Now().Add(time.Minute).UnixMilli(),
	}
}

// collect runs one attempt and returns the text that the sink received.
func collect(c *engine.Client, target topology.Target, req engineapi.GenerateRequest) (string, engine.Result, error) {
	var text strings.Builder
	result, err := c.Generate(context.Background(), target, req, func(chunk engineapi.Chunk) error {
		text.WriteString(chunk.Token)
		return nil
	})
	return text.String(), result, err
}

func TestCompleteResponseOverLoopback(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClient(t)
	_, target := startEngine(t, fastSettings())
	prompt := "Which glue for oak? \"quoted\"\n\tand \\ and \x01 and æøå 北海道" + strings.Repeat("x", 10_000)
	text, result, err := collect(c, target, request("r1", prompt, 20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.Equal(standin.ResponseText(prompt, 20)))
	g.Expect(result.Outcome).To(gomega.Equal(outcome.Done))
	g.Expect(result.Usage.OutputTokens).To(gomega.Equal(20))
}

// The client recovers from each kind of invalid response on a new connection, and the
// sink receives each token exactly once.
func TestGenerateRecoversFromInvalidResponses(t *testing.T) {
	c := newClient(t)
	e, target := startEngine(t, fastSettings())
	kinds := []standin.FaultKind{
		standin.FaultDisconnect, standin.FaultTruncate, standin.FaultWrongCount, standin.FaultWrongID,
		standin.FaultDuplicate, standin.FaultSkip, standin.FaultReorder,
	}
	for _, kind := range kinds {
		t.Run(string(kind), func(t *testing.T) {
			g := gomega.NewWithT(t)
			e.Control(standin.Control{ResponseFaults: []standin.Fault{{Kind: kind, At: 3}, {Kind: kind, At: 5}}})
			text, result, err := collect(c, target, request("spoilt-"+string(kind), "prompt", 20))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(text).To(gomega.Equal(standin.ResponseText("prompt", 20)))
			g.Expect(result.Resumes).To(gomega.BeNumerically(">=", 1))
		})
	}
}

// A response that stays invalid on every connection is an error, never a truncated
// success.
func TestRepeatedInvalidResponsesAreIncomplete(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClient(t)
	e, target := startEngine(t, fastSettings())
	var faults []standin.Fault
	for range 20 {
		faults = append(faults, standin.Fault{Kind: standin.FaultWrongCount})
	}
	e.Control(standin.Control{ResponseFaults: faults})
	_, result, err := collect(c, target, request("r1", "prompt", 5))
	g.Expect(err).To(gomega.MatchError(&engine.Error{Kind: engine.KindIncomplete}))
	g.Expect(result.Outcome).To(gomega.Equal(outcome.Unknown))
}

func TestRefusalsAreNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClient(t)
	e, target := startEngine(t, fastSettings())
	refusal := func(req engineapi.GenerateRequest) string {
		_, result, err := collect(c, target, req)
		var engineErr *engine.Error
		g.Expect(err).To(gomega.BeAssignableToTypeOf(engineErr))
		g.Expect(result.Outcome).To(gomega.Equal(outcome.NotRun))
		return err.(*engine.Error).Reason //nolint:errorlint // checked above
	}
	g.Expect(refusal(request("big", "prompt", 200_000))).To(gomega.Equal(engineapi.ReasonNoMemory))
	wrong := request("wrong", "prompt", 1)
	wrong.Model = "other"
	g.Expect(refusal(wrong)).To(gomega.Equal(engineapi.ReasonWrongModel))
	leave := true
	e.Control(standin.Control{Leave: &leave})
	g.Expect(refusal(request("late", "prompt", 1))).To(gomega.Equal(engineapi.ReasonLeaving))
	unreachable := topology.Target{ID: "nobody", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	_, result, err := collect(c, unreachable, request("r", "prompt", 1))
	g.Expect(err).To(gomega.MatchError(&engine.Error{Kind: engine.KindUnreachable}))
	g.Expect(result.Outcome).To(gomega.Equal(outcome.NotRun))
	g.Expect(e.Counts().Submitted).To(gomega.BeEmpty())
}

// An error from the sink cancels the stream, so that the engine releases its memory.
func TestSinkErrorCancelsStream(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClient(t)
	e, target := startEngine(t, fastSettings())
	_, err := c.Generate(t.Context(), target, request("r1", "prompt", 50_000), func(engineapi.Chunk) error { return context.Canceled })
	g.Expect(err).To(gomega.MatchError(&engine.Error{Kind: engine.KindSink}))
	g.Expect(c.Canceller().Drain(t.Context())).To(gomega.Succeed())
	g.Expect(e.ReservedTokens()).To(gomega.BeZero())
	g.Expect(c.Stats().Cancels.Acknowledged).To(gomega.Equal(uint64(1)))
}

// The exit of the engine's process is distinguished from a stalled connection.
func TestProcessExitIsDistinguishedFromStall(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClient(t)
	e, target := startEngine(t, fastSettings())
	crashDuring := func(id string, restart time.Duration) *engine.Error {
		_, err := c.Generate(t.Context(), target, request(id, "prompt", 50_000), func(chunk engineapi.Chunk) error {
			if chunk.Offset == 3 {
				go e.Control(standin.Control{Crash: &standin.Crash{RestartMS: restart.Milliseconds()}})
			}
			return nil
		})
		var failed *engine.Error
		g.Expect(errors.As(err, &failed)).To(gomega.BeTrue())
		g.Expect(failed.Kind).To(gomega.Equal(engine.KindLost))
		g.Expect(failed.Outcome).To(gomega.Equal(outcome.Unknown))
		return failed
	}
	g.Expect(crashDuring("forgotten", 0).ProcessExited).To(gomega.BeTrue())
	g.Expect(crashDuring("refused", time.Hour).ProcessExited).To(gomega.BeTrue())
}
