package engine_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/standin/malformed"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Guards against believing a malformed answer of an engine: as a refusal, a cancel that was
// acknowledged, or a report.
func TestMalformedAnswerOfAnEngineIsNoAnswer(t *testing.T) {
	const timeLimit = 300 * time.Millisecond
	for name, answer := range malformed.Answers {
		for _, fields := range []string{"", engineapi.HeaderNotRun + ": 1\r\n"} {
			t.Run(name+" "+fields, func(t *testing.T) {
				g := gomega.NewWithT(t)
				addr, stop, err := malformed.Listen(answer, engineapi.HeaderRequestID+": r\r\n"+fields)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer stop()
				client := engine.New(engine.Options{})
				defer client.Close()
				target := topology.Target{ID: "engine", Addr: addr}

				req := request("r", "prompt", 1)
				req.DeadlineMS = time.Now().Add(timeLimit).UnixMilli()
				result, err := client.Generate(t.Context(), target, req, func(engineapi.Chunk) error { return nil })
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(result.Outcome).To(gomega.Equal(outcome.Unknown), "prompt: %v", err)

				_, err = client.CancelStream(t.Context(), target, "r")
				g.Expect(engine.OutcomeOf(err)).To(gomega.Equal(outcome.Unknown), "cancel: %v", err)
				_, err = client.Load(t.Context(), target)
				g.Expect(engine.OutcomeOf(err)).To(gomega.Equal(outcome.Unknown), "report: %v", err)
			})
		}
	}
}
