package relay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// bubble runs a test in virtual time.
func bubble(t *testing.T, test func(g *WithT, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) { test(NewWithT(t), t.Context()) })
}

func pieces(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(piece(i))
	}
	return b.String()
}

func TestAnAnswerIsHandedOnUnchanged(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(ok))
		r := w.serve(ctx, relay.Request{URI: "/order/1"})
		g.Expect(r.status).To(Equal(http.StatusOK))
		g.Expect(r.body.String()).To(Equal("done"))
		g.Expect(w.transport.sends).To(Equal(1))
	})
}

func TestAnOrderThatMayHaveRunIsNeverSentAgain(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		for _, s := range []script{{lost: true}, {status: 200, unsigned: true}} {
			w := newWorld(always(s))
			r := w.serve(ctx, relay.Request{URI: "/order/1"})
			g.Expect(w.transport.sends).To(Equal(1))
			g.Expect(r.refusal.Status).To(Equal(http.StatusBadGateway), "503 would promise that it did not run")
		}
	})
}

func TestAnOrderThatDidNotRunIsSentElsewhere(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(inTurn(script{notSent: true}, script{shed: true, status: 503}, ok))
		r := w.serve(ctx, relay.Request{URI: "/order/1"})
		g.Expect(r.status).To(Equal(http.StatusOK))
		g.Expect(w.transport.runs).To(Equal(1))
		g.Expect(w.transport.targets[0]).NotTo(Equal(w.transport.targets[1]))
	})
}

func TestAnOrderThatRanAndFailedIsNotCalledUnavailable(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{status: http.StatusServiceUnavailable, body: "x"}))
		r := w.serve(ctx, relay.Request{URI: "/order/1"})
		g.Expect(r.refusal.Status).To(Equal(http.StatusBadGateway))
	})
}

func TestAFailedLookupIsRepeatedAndItsFailureHandedOn(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		failure := script{status: http.StatusInternalServerError, body: "broken"}
		w := newWorld(inTurn(failure, ok))
		g.Expect(w.serve(ctx, relay.Request{URI: "/status/1"}).status).To(Equal(http.StatusOK))
		w = newWorld(always(failure))
		r := w.serve(ctx, relay.Request{URI: "/status/1"})
		g.Expect(r.status).To(Equal(http.StatusInternalServerError))
		g.Expect(r.body.String()).To(Equal("broken"))
		g.Expect(w.transport.runs).To(Equal(2), "the route allows two")
	})
}

func TestWithoutBudgetNothingIsRepeated(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{shed: true, status: 503}))
		w.budget.left = 0
		r := w.serve(ctx, relay.Request{URI: "/status/1"})
		g.Expect(w.transport.sends).To(Equal(1))
		g.Expect(r.refusal.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(r.refusal.RetryAfter).To(BeNumerically(">", 0))
	})
}

func TestAStreamGoesOnAtAnotherTarget(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(inTurn(script{status: 200, events: 9, breakAfter: 4, torn: true}, script{status: 200, events: 9}))
		r := w.serve(ctx, relay.Request{URI: "/chat/1", PromptTokens: 500})
		g.Expect(r.body.String()).To(Equal(pieces(1, 9)))
		g.Expect(r.header.Get("X-From")).To(Equal(w.transport.targets[0]), "the first target's headers stay")
		g.Expect(r.aborted).To(BeFalse())
	})
}

func TestACallersOwnResumptionBeginsAfterItsLastEvent(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{status: 200, events: 9}))
		r := w.serve(ctx, relay.Request{URI: "/chat/1", PromptTokens: 500, LastEventID: "5"})
		g.Expect(r.body.String()).To(Equal(pieces(6, 9)))
	})
}

func TestABrokenStreamThatMayNotBeResumedNeverLooksWhole(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{status: 200, events: 9, breakAfter: 4, torn: true}))
		r := w.serve(ctx, relay.Request{URI: "/once/1", PromptTokens: 500})
		g.Expect(r.body.String()).To(Equal(pieces(1, 4)), "no part of a torn event")
		g.Expect(r.aborted).To(BeTrue())
		g.Expect(w.transport.runs).To(Equal(1))
	})
}

func TestAGapInAStreamIsABreak(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(inTurn(script{status: 200, raw: piece(1) + piece(3)}, script{status: 200, events: 4}))
		r := w.serve(ctx, relay.Request{URI: "/chat/1", PromptTokens: 500})
		g.Expect(r.body.String()).To(Equal(pieces(1, 4)))
		g.Expect(w.transport.sends).To(Equal(2))
	})
}

func TestASilentTargetEndsWithTheRoutesTimeout(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{silent: true}))
		began := time.Now()
		r := w.serve(ctx, relay.Request{URI: "/order/1", Timeout: time.Minute})
		g.Expect(r.refusal.Status).To(Equal(http.StatusGatewayTimeout))
		g.Expect(time.Since(began)).To(Equal(timeout))
	})
}

func TestACallerThatLeavesEndsItsAttempt(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{silent: true}))
		left, leave := context.WithCancel(ctx)
		time.AfterFunc(100*time.Millisecond, leave)
		r := w.serve(left, relay.Request{URI: "/chat/1", PromptTokens: 500})
		g.Expect(w.transport.sends).To(Equal(1))
		g.Expect(r.ended).To(BeFalse())
	})
}

func TestKeysAndRoutesAreDeniedOnlyOnTheWordOfACurrentConfiguration(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(ok))
		g.Expect(w.serve(ctx, relay.Request{URI: "/order/1", Key: "stranger"}).refusal.Status).To(Equal(http.StatusUnauthorized))
		g.Expect(w.serve(ctx, relay.Request{URI: "/nowhere/"}).refusal.Status).To(Equal(http.StatusNotFound))
		w.knowledge.setAge(time.Minute)
		for _, uri := range []string{"/order/1", "/nowhere/"} {
			g.Expect(w.serve(ctx, relay.Request{URI: uri, Key: "stranger"}).refusal.Status).To(Equal(http.StatusServiceUnavailable))
		}
		g.Expect(w.serve(ctx, relay.Request{URI: "/order/1"}).refusal.Reason).To(Equal(relay.ReasonConfigUnconfirmed), "the key may be gone")
		g.Expect(w.serve(ctx, relay.Request{URI: "/open/1"}).status).To(Equal(http.StatusOK), "public routes need no key")
		g.Expect(w.transport.sends).To(Equal(1))
	})
}

func TestAKeyIsCheckedAgainBeforeEachAttempt(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(nil)
		w.transport.next = func(relay.Call) script {
			w.knowledge.setAge(time.Minute)
			return script{notSent: true}
		}
		r := w.serve(ctx, relay.Request{URI: "/order/1"})
		g.Expect(r.refusal.Reason).To(Equal(relay.ReasonConfigUnconfirmed))
		g.Expect(w.transport.sends).To(Equal(1))
	})
}

func TestARequestThatBreaksItsTargetsIsRefused(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{lost: true}))
		for range 4 {
			w.serve(ctx, relay.Request{URI: "/status/evil", Body: []byte("x")})
		}
		g.Expect(w.transport.sends).To(BeNumerically("<=", 4), "two attempts each until three targets broke")
		g.Expect(w.serve(ctx, relay.Request{URI: "/status/evil", Body: []byte("x")}).refusal.Reason).To(Equal(relay.ReasonQuarantined))
		w.transport.next = always(ok)
		g.Expect(w.serve(ctx, relay.Request{URI: "/status/evil", Body: []byte("y")}).status).To(Equal(http.StatusOK), "others are served")
	})
}

func TestAHugePromptReservesMemoryAllOrNothing(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		huge := relay.Request{URI: "/chat/1", PromptTokens: 300000}
		w := newWorld(nil)
		w.transport.next = func(call relay.Call) script {
			g.Expect(len(w.transport.reserved)).To(Equal(len(call.Helpers)))
			return script{status: 200, events: 3}
		}
		g.Expect(w.serve(ctx, huge).body.String()).To(Equal(pieces(1, 3)))
		w.relay.WaitForReleases(ctx)
		g.Expect(w.transport.held()).To(BeZero(), "all is released at the end")

		w = newWorld(always(ok))
		w.transport.noMemory = func(string) bool { return true }
		r := w.serve(ctx, huge)
		g.Expect(r.refusal.Reason).To(Equal(relay.ReasonNoMemory))
		g.Expect(w.transport.sends).To(BeZero())
		w.relay.WaitForReleases(ctx)
		g.Expect(w.transport.held()).To(BeZero())
	})
}

func TestAPromptLargerThanTheFleetIsRefusedAtOnce(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(ok))
		began := time.Now()
		r := w.serve(ctx, relay.Request{URI: "/chat/1", PromptTokens: 5_000_000})
		g.Expect(r.refusal.Reason).To(Equal(relay.ReasonInfeasible))
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// Every engine has a minute to read: the caller would leave first, so it is
// told at once when to come back.
func TestAPromptThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{status: 200, events: 3}))
		for i, target := range w.knowledge.View().Targets("llm") {
			w.board.RemoteStarted("peer", placement.Job{
				ID: placement.JobID(i), Service: "llm", Weight: 1, Objective: time.Second,
				Shares: []placement.Share{{Target: target.TargetKey, PrefillTime: time.Minute, Decodes: true}},
			})
		}
		began := time.Now()
		r := w.serve(ctx, relay.Request{URI: "/chat/1", PromptTokens: 500})
		g.Expect(r.refusal.Reason).To(Equal(relay.ReasonInfeasible))
		g.Expect(r.refusal.RetryAfter).To(BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(w.transport.sends).To(BeZero())
	})
}

// idleMemory is the users' bound for memory that is reserved and that no request uses.
const idleMemory = 9 * time.Second

// The target says nothing, so whether it reads the prompt is not known.
func TestMemoryOfASilentAttemptIsGivenBackInTime(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context) {
		w := newWorld(always(script{silent: true}))
		go w.serve(ctx, relay.Request{URI: "/patient/1", PromptTokens: 300000})
		time.Sleep(time.Second)
		g.Expect(w.transport.held()).To(BeNumerically(">", 0))
		first := w.transport.names()
		time.Sleep(idleMemory)
		g.Expect(w.transport.names()).NotTo(ContainElement(BeElementOf(first)))
	})
}
