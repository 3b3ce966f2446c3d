package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// promisingStatuses tell a caller that its request was not run.
var promisingStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// failedBodies are bodies of failures, by their size.
var failedBodies = map[string]string{"empty": "", "small": "failed after the run", "large": strings.Repeat("x", 2<<20)}

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

// answerVia returns a harness whose requests get the answers in order, from targets or through
// another host.
func answerVia(t *testing.T, forwards bool, answers ...behaviour) *harness {
	next := inSequence(answers...)
	if !forwards {
		return newHarness(next)
	}
	return forwardHarness(t, &fakeForwarder{outcome: func(relay.ForwardCall) (*relay.Forwarded, error) {
		a := next(relay.Call{})
		return &relay.Forwarded{Host: "helper", Response: &relay.Response{
			Status: a.status, Header: http.Header{"Retry-After": {"7"}}, Authentic: true, Body: io.NopCloser(strings.NewReader(a.body)),
		}}, nil
	}})
}

// Guards against telling a caller that its request was not run, by the status of a target that
// ran it and does not state the contrary: the caller would send the request again.
func TestStatusOfATargetAloneNeverTellsThatARequestWasNotRun(t *testing.T) {
	for _, status := range promisingStatuses {
		for size, body := range failedBodies {
			for _, path := range []string{"/order/1", "/once/1"} {
				for _, forwards := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d, %s, %s, forwards %t", status, size, path, forwards), func(t *testing.T) {
						inVirtualTime(t, func(g *WithT, ctx context.Context) {
							w := answerVia(t, forwards, behaviour{status: status, body: body})
							sends := w.transport.sends
							r := w.serve(ctx, relay.Request{URI: path})
							g.Expect(r.status).To(BeZero(), "nothing of the target's answer is passed on")
							g.Expect(r.refusal.Status).To(Equal(http.StatusBadGateway))
							g.Expect(r.refusal.RetryAfter).To(BeZero(), "it is not known when to come back")
							if !forwards {
								g.Expect(w.transport.sends - sends).To(Equal(1))
							}
						})
					})
				}
			}
		}
	}
}

// The same where the host has no memory left for the body of the answer.
func TestStatusOfATargetAloneTellsNothingWhereMemoryIsExhausted(t *testing.T) {
	for _, status := range promisingStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inVirtualTime(t, func(g *WithT, ctx context.Context) {
				w := newHarness(always(behaviour{status: status, body: failedBodies["small"]}))
				w.memory = membudget.New(1)
				w.start(w.transport, nil, nil)
				r := w.serve(ctx, relay.Request{URI: "/order/1"})
				g.Expect(r.status).To(BeZero())
				g.Expect(r.refusal.Status).To(Equal(http.StatusBadGateway))
			})
		})
	}
}

// Guards against treating the statement of a target, or a status that promises nothing, like a
// status that stands alone.
func TestRefusalsAndFailuresOfTargetsStayWhatTheyAre(t *testing.T) {
	for _, status := range append(promisingStatuses, http.StatusBadRequest) {
		t.Run(fmt.Sprint("refusal with ", status), func(t *testing.T) {
			inVirtualTime(t, func(g *WithT, ctx context.Context) {
				w := newHarness(inSequence(behaviour{status: status, refused: true}, success))
				g.Expect(w.serve(ctx, relay.Request{URI: "/order/1"}).status).To(Equal(http.StatusOK))
				w = newHarness(always(behaviour{status: status, refused: true}))
				r := w.serve(ctx, relay.Request{URI: "/order/1"})
				g.Expect(r.refusal.Status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(r.refusal.RetryAfter).To(BeNumerically(">", 0))
			})
		})
	}
	t.Run("another process at the address", func(t *testing.T) {
		inVirtualTime(t, func(g *WithT, ctx context.Context) {
			w := newHarness(inSequence(behaviour{status: http.StatusMisdirectedRequest, unsigned: true}, success))
			g.Expect(w.serve(ctx, relay.Request{URI: "/order/1"}).status).To(Equal(http.StatusOK), "421 states as much, unless the target signs it")
		})
	})
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusTooEarly, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		for _, forwards := range []bool{false, true} {
			t.Run(fmt.Sprintf("failure with %d, forwards %t", status, forwards), func(t *testing.T) {
				inVirtualTime(t, func(g *WithT, ctx context.Context) {
					r := answerVia(t, forwards, behaviour{status: status, body: "because"}).serve(ctx, relay.Request{URI: "/order/1"})
					g.Expect(outcome.PromisesNotRun(r.status)).To(BeFalse())
					g.Expect(r.status).To(Equal(status))
					g.Expect(r.body.String()).To(Equal("because"))
				})
			})
		}
	}
}

// Guards against giving a caller of a request that may be repeated up where another target
// serves it, and against a promise that is not known to be true where none does.
func TestRepeatableRequestGoesOnAfterAStatusThatProvesNothing(t *testing.T) {
	for _, status := range promisingStatuses {
		for path, served := range map[string]behaviour{"/status/1": success, "/chat/1": {status: http.StatusOK, events: 4}} {
			for _, forwards := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d, %s, forwards %t", status, path, forwards), func(t *testing.T) {
					inVirtualTime(t, func(g *WithT, ctx context.Context) {
						failed := behaviour{status: status, body: failedBodies["small"]}
						if !forwards {
							w := newHarness(inSequence(failed, served))
							g.Expect(w.serve(ctx, relay.Request{URI: path}).status).To(Equal(http.StatusOK))
							g.Expect(w.budget.left).To(Equal(99), "a retry is paid for")
						}
						r := answerVia(t, forwards, failed).serve(ctx, relay.Request{URI: path})
						g.Expect(r.status).To(BeZero())
						g.Expect(r.refusal.Status).To(Equal(http.StatusBadGateway))
					})
				})
			}
		}
	}
}

// Guards against a stream that ends with a status in the place of its next event.
func TestStreamGoesOnAfterAStatusThatProvesNothing(t *testing.T) {
	for _, status := range promisingStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inVirtualTime(t, func(g *WithT, ctx context.Context) {
				broken, failed, rest := behaviour{status: http.StatusOK, events: 6, breakAfter: 2}, behaviour{status: status}, behaviour{status: http.StatusOK, events: 6}
				r := newHarness(inSequence(broken, failed, rest)).serve(ctx, relay.Request{URI: "/chat/1"})
				g.Expect(r.body.String()).To(Equal(events(1, 6)))
				g.Expect(r.aborted).To(BeFalse())
				r = newHarness(inSequence(broken, failed)).serve(ctx, relay.Request{URI: "/chat/1"})
				g.Expect(r.body.String()).To(Equal(events(1, 2)))
				g.Expect(r.aborted).To(BeTrue())
			})
		})
	}
}

// Guards against believing a target that states that it did not run a request and answers it with
// a success: the order would run at the next target as well.
func TestSuccessThatStatesThatItDidNotRunIsNoRefusal(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1"} {
		for _, status := range []int{http.StatusOK, http.StatusCreated, http.StatusNoContent, http.StatusFound} {
			t.Run(fmt.Sprintf("%s, %d", path, status), func(t *testing.T) {
				inVirtualTime(t, func(g *WithT, ctx context.Context) {
					w := newHarness(inSequence(behaviour{status: status, refused: true, body: "done"}, success))
					r := w.serve(ctx, relay.Request{URI: path})
					g.Expect(w.transport.sends).To(Equal(1))
					g.Expect(r.refusal.Status).To(Equal(http.StatusBadGateway))
				})
			})
		}
	}
}

// restingTransport is a transport whose targets ask in each answer for a time without requests, and
// name a rate limit.
type restingTransport struct{ *fakeTransport }

func (tr restingTransport) Send(ctx context.Context, call relay.Call) (*relay.Response, error) {
	resp, err := tr.fakeTransport.Send(ctx, call)
	if err == nil {
		resp.RetryAfter, resp.RateLimit = time.Minute, placement.RateLimit{PerSecond: 3, Named: true}
	}
	return resp, err
}

// Guards against leaving a target out for a minute because it limits one caller, and against
// ignoring what it says of itself: a time without requests belongs to a refusal, a rate limit to any
// answer.
func TestAnswerThatIsRejectedAsksForNoRest(t *testing.T) {
	for _, status := range promisingStatuses {
		for _, stated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, stated %t", status, stated), func(t *testing.T) {
				inVirtualTime(t, func(g *WithT, ctx context.Context) {
					tr := restingTransport{&fakeTransport{behaviourOf: always(behaviour{status: status, refused: stated})}}
					w := newHarnessWithTransport(tr)
					w.serve(ctx, relay.Request{URI: "/order/1"})
					for _, target := range w.views.View().Targets("orders") {
						if !slices.Contains(tr.targets, target.ID) {
							continue
						}
						g.Expect(w.placer.Declines(target)).To(Equal(stated && status != http.StatusMisdirectedRequest))
						named := slices.ContainsFunc(w.placer.RateLimits(), func(l placement.TargetRateLimit) bool { return l.Target == target.TargetKey })
						g.Expect(named).To(Equal(status != http.StatusMisdirectedRequest), "421 may come from another process")
					}
				})
			})
		}
	}
}
