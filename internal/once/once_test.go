package once_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/once"
	standin "github.com/plantainrun/plantainrun/internal/standin/service"
)

// withCluster runs the test in virtual time on a cluster of two hosts and one
// target.
func withCluster(t *testing.T, test func(g *gomega.WithT, w *cluster, h *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(2, 1)
		defer w.stop()
		test(gomega.NewWithT(t), w, w.hosts[0])
	})
}

func order(ticket, body string) once.Call {
	return once.Call{ID: "r", Organisation: "school", Service: "enrolment", Method: "POST", Path: "/deposits", Ticket: ticket, Body: []byte(body)}
}

// asAPIError checks that err is an *apierror.Error with a remedy and returns it.
func asAPIError(g *gomega.WithT, err error) *apierror.Error {
	var e *apierror.Error
	g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%v", err)
	g.Expect(e.Remedy).NotTo(gomega.BeEmpty())
	return e
}

func TestTicketLifecycle(t *testing.T) {
	withCluster(t, func(g *gomega.WithT, w *cluster, h *host) {
		ctx := context.Background()
		_, err := h.router.Execute(ctx, order("", "one"))
		e := asAPIError(g, err)
		g.Expect(e.Kind).To(gomega.Equal(apierror.KindTicketRequired))
		g.Expect(e.Outcome).To(gomega.Equal(outcome.NotRun))
		ticket := e.Ticket

		first, err := h.router.Execute(ctx, order(ticket, "one"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		again, err := w.hosts[1].router.Execute(ctx, order(ticket, "one"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again.Replayed).To(gomega.BeTrue())
		g.Expect(again.Body).To(gomega.Equal(first.Body))
		g.Expect(again.Status).To(gomega.Equal(201))
		g.Expect(again.Header.Get("Content-Type")).To(gomega.Equal("application/json"))

		other := order(ticket, "one")
		other.Organisation = "another school"
		_, err = h.router.Execute(ctx, other)
		g.Expect(asAPIError(g, err).Kind).To(gomega.Equal(apierror.KindTicketMismatch))
		_, err = h.router.Execute(ctx, order("garbage", "one"))
		e = asAPIError(g, err)
		g.Expect(e.Kind).To(gomega.Equal(apierror.KindTicketInvalid))
		g.Expect(e.Ticket).NotTo(gomega.BeEmpty())
		g.Expect(w.runCount(ticket)).To(gomega.Equal(1))
	})
}

func TestExpiredTicketNeverRuns(t *testing.T) {
	withCluster(t, func(g *gomega.WithT, w *cluster, h *host) {
		ticket, err := h.owner.NewTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(ticketLifetime)
		_, err = h.router.Execute(context.Background(), order(ticket, "one"))
		e := asAPIError(g, err)
		g.Expect(e.Kind).To(gomega.Equal(apierror.KindTicketInvalid))
		g.Expect(e.Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(w.runCount(ticket)).To(gomega.BeZero())
	})
}

func TestFullLedgerRefusesNewTicketsOnly(t *testing.T) {
	withCluster(t, func(g *gomega.WithT, _ *cluster, h *host) {
		oldest, err := h.owner.NewTicket()
		for err == nil {
			_, err = h.owner.NewTicket()
		}
		e := asAPIError(g, err)
		g.Expect(e.Kind).To(gomega.Equal(apierror.KindLedgerFull))
		g.Expect(e.RetryAfter).To(gomega.BeNumerically(">", 0))
		_, err = h.router.Execute(context.Background(), order(oldest, "one"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

func TestOversizedResponseIsRecordedWithoutItsBody(t *testing.T) {
	withCluster(t, func(g *gomega.WithT, w *cluster, h *host) {
		w.targets[0].svc.SetFault(standin.Control{Fault: standin.FaultLongBody})
		ticket, err := h.owner.NewTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		first, err := h.router.Execute(context.Background(), order(ticket, "one"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(first.Body).To(gomega.HaveLen(standin.LongBodyBytes))
		_, err = h.router.Execute(context.Background(), order(ticket, "one"))
		e := asAPIError(g, err)
		g.Expect(e.Kind).To(gomega.Equal(apierror.KindIncomplete))
		g.Expect(e.Outcome).To(gomega.Equal(outcome.Done))
	})
}

// An attempt with an unknown outcome is retried with the same ticket if the
// service deduplicates. A later refusal must not turn the outcome into not run.
func TestUnknownOutcomeIsRetriedIfServiceDeduplicates(t *testing.T) {
	withCluster(t, func(g *gomega.WithT, w *cluster, h *host) {
		w.targets = append(w.targets, newTarget("b", 2000))
		w.targets[0].svc.SetFault(standin.Control{Fault: standin.FaultDisconnect})
		w.targets[1].svc.SetFault(standin.Control{Fault: standin.FaultDisconnect, Times: 1})
		ticket, err := h.owner.NewTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		call := order(ticket, "one")
		call.Dedupes = true
		_, err = h.router.Execute(context.Background(), call)
		g.Expect(asAPIError(g, err).Kind).To(gomega.Equal(apierror.KindTargetOutcomeUnknown))
		g.Expect(w.runCount(ticket)).To(gomega.Equal(2))

		// The second target refuses the call, but the first may have run it.
		w.targets[1].svc.SetFault(standin.Control{Fault: standin.FaultRefuse})
		w.picks.Store(1)
		call.Ticket, err = h.owner.NewTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = h.router.Execute(context.Background(), call)
		g.Expect(asAPIError(g, err).Outcome).To(gomega.Equal(outcome.Unknown))
	})
}

func TestDrainedOwnerReplaysRecordsAndRejectsUnusedTickets(t *testing.T) {
	withCluster(t, func(g *gomega.WithT, w *cluster, h *host) {
		ctx := context.Background()
		used, err := h.owner.NewTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		unused, err := h.owner.NewTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = h.router.Execute(ctx, order(used, "one"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(w.hosts[1].store.Add(h.owner.Drain(ctx))).To(gomega.Succeed())
		_, err = h.owner.NewTicket()
		g.Expect(asAPIError(g, err).Kind).To(gomega.Equal(apierror.KindDraining))
		for _, at := range w.hosts {
			_, err = at.router.Execute(ctx, order(unused, "two"))
			g.Expect(asAPIError(g, err).Kind).To(gomega.Equal(apierror.KindDraining))
			g.Expect(asAPIError(g, err).Outcome).To(gomega.Equal(outcome.NotRun))
			again, err := at.router.Execute(ctx, order(used, "one"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(again.Replayed).To(gomega.BeTrue())
		}
	})
}

// Guards against telling a caller by the status of a service that its call was not run, in the first
// answer or in a repeated one, from the owner or from a closed ledger: it would take a new ticket.
func TestStatusOfAServiceAloneIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			withCluster(t, func(g *gomega.WithT, w *cluster, h *host) {
				ctx := context.Background()
				w.targets[0].svc.SetFault(standin.Control{Fault: standin.FaultServerError, Status: status})
				ticket, err := h.owner.NewTicket()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				expectUnknown := func(at *host) {
					response, err := at.router.Execute(ctx, order(ticket, "one"))
					g.Expect(response.Status).To(gomega.BeZero())
					e := asAPIError(g, err)
					g.Expect(e.Kind).To(gomega.Equal(apierror.KindTargetOutcomeUnknown))
					g.Expect(e.Outcome).To(gomega.Equal(outcome.Unknown))
					g.Expect(e.RetryAfter).To(gomega.BeZero())
				}
				expectUnknown(h)
				expectUnknown(w.hosts[1])
				g.Expect(w.hosts[1].store.Add(h.owner.Drain(ctx))).To(gomega.Succeed())
				expectUnknown(w.hosts[1])
				g.Expect(w.runCount(ticket)).To(gomega.Equal(1))
			})
		})
	}
}

// A service that deduplicates may be sent the call again after a status that tells nothing.
func TestCallIsRetriedAfterAStatusThatTellsNothingIfServiceDeduplicates(t *testing.T) {
	withCluster(t, func(g *gomega.WithT, w *cluster, h *host) {
		w.targets = append(w.targets, newTarget("b", 2000))
		for _, target := range w.targets {
			target.svc.SetFault(standin.Control{Fault: standin.FaultServerError, Status: http.StatusTooManyRequests, Times: 1})
		}
		w.targets = append(w.targets, newTarget("c", 3000))
		ticket, err := h.owner.NewTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		call := order(ticket, "one")
		call.Dedupes = true
		response, err := h.router.Execute(context.Background(), call)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Status).To(gomega.Equal(http.StatusCreated))
	})
}
