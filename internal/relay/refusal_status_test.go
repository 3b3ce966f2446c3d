package relay_test

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/plantainrun/plantainrun/internal/relay"
)

// Guards against log lines in which the refusal of a target looks like a failure that has the
// status of one.
func TestLogTellsARefusalFromAFailureWithItsStatus(t *testing.T) {
	for name, answer := range map[string]behaviour{
		"refusal":                     {status: http.StatusTooManyRequests, refused: true},
		"failure":                     {status: http.StatusTooManyRequests},
		"failure of 5xx":              {status: http.StatusServiceUnavailable},
		"failure, not signed":         {status: http.StatusTooManyRequests, unsigned: true},
		"failure of a resumed stream": {status: http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(g *WithT, ctx context.Context) {
				first, request := answer, relay.Request{URI: "/order/1"}
				if name == "failure of a resumed stream" {
					first, request = behaviour{status: http.StatusOK, events: 8, breakAfter: 2}, relay.Request{URI: "/chat/1"}
				}
				core, logs := observer.New(zap.InfoLevel)
				w := newHarness(inSequence(first, answer, success))
				w.log = zap.New(core)
				w.start(w.transport, nil, nil)
				w.serve(ctx, request)
				var found []map[string]any
				for _, line := range logs.FilterMessage("attempt ended").All() {
					if line.ContextMap()["status"] == int64(answer.status) {
						found = append(found, line.ContextMap())
					}
				}
				g.Expect(found).NotTo(BeEmpty())
				g.Expect(found[0]).To(HaveKeyWithValue("states_not_run", answer.refused))
				g.Expect(found[0]).To(HaveKeyWithValue("signed", !answer.unsigned))
			})
		})
	}
}
