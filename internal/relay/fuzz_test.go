package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/relay"
)

func piece(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

const streamEvents = 6

// drawScript draws what a target does.
func drawScript(t *rapid.T) script {
	scripts := []script{
		ok, {notSent: true}, {shed: true, status: 503}, {lost: true}, {unsigned: true, status: 200},
		{status: 500, body: "failed"}, {status: 503, body: "ran"}, {silent: true},
	}
	return rapid.SampledFrom(scripts).Draw(t, "script")
}

func drawStream(t *rapid.T) script {
	s := script{status: 200, events: streamEvents, breakAfter: rapid.IntRange(0, streamEvents).Draw(t, "breakAfter"), torn: rapid.Bool().Draw(t, "torn")}
	if rapid.IntRange(0, 3).Draw(t, "other") == 0 {
		return drawScript(t)
	}
	return s
}

// Whatever targets do, a request that may not be repeated runs at most once,
// and an answer that promises "not run" is true.
func TestFuzzOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scripts := rapid.SliceOfN(rapid.Custom(drawScript), 1, 6).Draw(rt, "scripts")
		retries := rapid.IntRange(0, 4).Draw(rt, "retries")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(inTurn(scripts...))
			w.budget.left = retries
			r := w.serve(t.Context(), relay.Request{URI: "/order/1"})
			if w.transport.runs > 1 {
				rt.Fatalf("ran %d times", w.transport.runs)
			}
			if !r.ended {
				rt.Fatalf("no final answer")
			}
			status := r.status
			if r.refusal != nil {
				status = r.refusal.Status
			}
			promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
			if promised && w.transport.runs > 0 {
				rt.Fatalf("answered %d after it ran", status)
			}
			if status == http.StatusOK && r.body.String() != "done" {
				rt.Fatalf("another body: %q", r.body.String())
			}
		})
	})
}

// Whatever targets do, a caller gets a prefix of the stream in order, without
// gap or repetition, and a stream that ends without an abort is whole.
func TestFuzzStreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scripts := rapid.SliceOfN(rapid.Custom(drawStream), 1, 6).Draw(rt, "scripts")
		uri := rapid.SampledFrom([]string{"/chat/1", "/once/1"}).Draw(rt, "uri")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(inTurn(scripts...))
			r := w.serve(context.WithoutCancel(t.Context()), relay.Request{URI: uri, PromptTokens: 400})
			whole := pieces(1, streamEvents)
			body := r.body.String()
			if body != "done" && body != "failed" && !strings.HasPrefix(whole, body) {
				rt.Fatalf("not a prefix of the stream: %q", body)
			}
			if strings.HasPrefix(body, "id:") && !r.aborted && body != whole {
				rt.Fatalf("ends as if whole after %q", body)
			}
			if uri == "/once/1" && w.transport.runs > 1 {
				rt.Fatalf("ran %d times", w.transport.runs)
			}
			if w.transport.runs > 3 {
				rt.Fatalf("ran %d times, the route allows 3", w.transport.runs)
			}
		})
	})
}
