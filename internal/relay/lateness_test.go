package relay_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/logging"
	"github.com/plantainrun/plantainrun/internal/losses"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// logBuffer is a log in memory.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// requests returns what the log tells of requests.
func (b *logBuffer) requests(g Gomega) map[string]losses.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	collector := losses.NewCollector()
	g.Expect(collector.Read(bytes.NewReader(b.text.Bytes()), "host")).To(Succeed())
	out := make(map[string]losses.Request)
	for _, r := range collector.Requests() {
		out[r.ID] = r
	}
	return out
}

// The log lines of a host tell what became of each request and why: the collector of losses
// reads what the relay writes.
func TestLogsTellWhyRequestsAreLost(t *testing.T) {
	g := NewWithT(t)
	const objective = 5 * time.Millisecond
	source, log := newFakeSource(), &logBuffer{}
	for _, path := range []string{"/patient/1", "/status/1"} {
		route, _ := source.config.Route("shop", path)
		route.Objective = objective
	}
	behaviours := map[string]behaviour{
		"slow": {status: http.StatusOK, events: 3}, "failed": {status: http.StatusInternalServerError}, "plain": {status: http.StatusOK, body: "ok"},
	}
	w := &harness{views: newStaticView(source), log: logging.NewNonBlocking(log)}
	w.transport = &fakeTransport{behaviourOf: func(call relay.Call) behaviour {
		time.Sleep(2 * objective)
		return behaviours[call.Request.ID]
	}}
	w.start(w.transport, nil, nil)
	w.serve(context.Background(), relay.Request{ID: "slow", URI: "/patient/1", PromptTokens: 900})
	w.serve(context.Background(), relay.Request{ID: "plain", URI: "/status/1"})
	w.serve(context.Background(), relay.Request{ID: "failed", URI: "/order/1"})
	w.serve(context.Background(), relay.Request{ID: "denied", URI: "/nowhere"})
	w.serve(context.Background(), relay.Request{ID: "huge", URI: "/chat/1", PromptTokens: 5_000_000})
	g.Eventually(func(g Gomega) {
		got := log.requests(g)
		g.Expect(got).To(HaveLen(5))
		g.Expect(got["slow"].Fate).To(Equal(losses.LateFirstEvent))
		g.Expect(got["slow"].Cause).To(BeElementOf(losses.CauseBacklog, losses.CauseSlower), "by the predicted wait")
		g.Expect(got["slow"].PromptTokens).To(Equal(900))
		g.Expect(got["plain"].Fate).To(Equal(losses.LateFirstEvent))
		g.Expect(got["plain"].Cause).To(Equal(losses.CauseSlower))
		g.Expect(got["failed"].Cause).To(Equal(losses.CauseTarget))
		g.Expect(got["denied"].Fate).To(Equal(losses.Denied))
		g.Expect(got["huge"].Cause).To(Equal(losses.Cause(relay.ReasonInfeasible)))
		g.Expect(got["huge"].Route).To(Equal("chat"))
	}, 5*time.Second).Should(Succeed())
}
