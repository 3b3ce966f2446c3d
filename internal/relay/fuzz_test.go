package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/relay"
)

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

const streamEvents = 6

// drawBehaviour draws how a target handles an attempt.
func drawBehaviour(t *rapid.T) behaviour {
	behaviours := []behaviour{
		success, {notSent: true}, {refused: true, status: 503}, {responseLost: true}, {unsigned: true, status: 200},
		{status: 500, body: "failed"}, {status: 503, body: "ran"}, {unresponsive: true},
	}
	if rapid.Bool().Draw(t, "answers") {
		return drawAnswer(t)
	}
	return rapid.SampledFrom(behaviours).Draw(t, "script")
}

// drawAnswer draws an answer of a target that ran an attempt, or states that it did not.
func drawAnswer(t *rapid.T) behaviour {
	s := behaviour{
		status:   rapid.SampledFrom([]int{200, 400, 404, 408, 409, 421, 425, 429, 500, 502, 503, 504}).Draw(t, "status"),
		refused:  rapid.Bool().Draw(t, "states that it did not run"),
		unsigned: rapid.Bool().Draw(t, "unsigned"),
		body:     "failed",
	}
	if s.status == http.StatusOK {
		s.body = success.body
	}
	return s
}

// notRunStatuses tell a caller that its request was not executed.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

func drawStream(t *rapid.T) behaviour {
	s := behaviour{status: 200, events: streamEvents, breakAfter: rapid.IntRange(0, streamEvents).Draw(t, "breakAfter"), truncated: rapid.Bool().Draw(t, "torn")}
	if rapid.IntRange(0, 3).Draw(t, "other") == 0 {
		return drawBehaviour(t)
	}
	return s
}

// For every behaviour of the targets, a non-idempotent request is executed at most
// once, and a status that means "not executed" is returned only if it was not.
func TestFuzzNonIdempotentRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		behaviours := rapid.SliceOfN(rapid.Custom(drawBehaviour), 1, 6).Draw(rt, "scripts")
		retries := rapid.IntRange(0, 4).Draw(rt, "retries")
		synctest.Test(t, func(t *testing.T) {
			w := newHarness(inSequence(behaviours...))
			w.budget.left = retries
			r := w.serve(t.Context(), relay.Request{URI: "/order/1"})
			if w.transport.runs > 1 {
				rt.Fatalf("executed %d times", w.transport.runs)
			}
			if !r.ended {
				rt.Fatalf("no final response")
			}
			status := r.status
			if r.refusal != nil {
				status = r.refusal.Status
			}
			if slices.Contains(notRunStatuses, status) && w.transport.runs > 0 {
				rt.Fatalf("responded with %d after the request was executed", status)
			}
			if status == http.StatusOK && r.body.String() != "done" {
				rt.Fatalf("unexpected body: %q", r.body.String())
			}
		})
	})
}

// For every behaviour of the targets, the caller receives a prefix of the stream in
// order, without gaps or duplicates, and a stream that ends without an abort is
// complete.
func TestFuzzStreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		behaviours := rapid.SliceOfN(rapid.Custom(drawStream), 1, 6).Draw(rt, "scripts")
		uri := rapid.SampledFrom([]string{"/chat/1", "/once/1"}).Draw(rt, "uri")
		synctest.Test(t, func(t *testing.T) {
			w := newHarness(inSequence(behaviours...))
			r := w.serve(context.WithoutCancel(t.Context()), relay.Request{URI: uri, PromptTokens: 400})
			whole := events(1, streamEvents)
			body := r.body.String()
			if body != "done" && body != "failed" && !strings.HasPrefix(whole, body) {
				rt.Fatalf("not a prefix of the stream: %q", body)
			}
			if strings.HasPrefix(body, "id:") && !r.aborted && body != whole {
				rt.Fatalf("incomplete stream ended without an abort after %q", body)
			}
			if uri == "/once/1" && w.transport.runs > 1 {
				rt.Fatalf("executed %d times", w.transport.runs)
			}
			if w.transport.runs > 3 {
				rt.Fatalf("executed %d times, the route allows 3", w.transport.runs)
			}
		})
	})
}
