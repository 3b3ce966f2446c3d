package service_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/service"
	standin "github.com/plantainrun/plantainrun/internal/standin/service"
)

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

func start(t *testing.T) (*standin.Service, netip.AddrPort) {
	t.Helper()
	s, addr, stop, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return s, addr
}

func deposit(id string) service.Call {
	return service.Call{ID: id, Method: "POST", Path: "/deposits", Body: []byte("100 yen")}
}

func TestOutcomeOfEachFault(t *testing.T) {
	cases := []struct {
		fault  standin.Fault
		want   outcome.Outcome
		reason service.Reason
		runs   int
	}{
		{standin.FaultNone, outcome.Done, service.ReasonNone, 1},
		{standin.FaultRefuse, outcome.NotRun, service.ReasonRefused, 0},
		{standin.FaultLeaving, outcome.NotRun, service.ReasonRefused, 0},
		{standin.FaultDisconnect, outcome.Unknown, service.ReasonIncomplete, 1},
		{standin.FaultWrongID, outcome.Unknown, service.ReasonIDMismatch, 1},
		{standin.FaultTruncate, outcome.Unknown, service.ReasonIncomplete, 1},
		{standin.FaultUnframed, outcome.Unknown, service.ReasonIncomplete, 1},
		{standin.FaultLongBody, outcome.Unknown, service.ReasonTooLarge, 1},
		{standin.FaultHang, outcome.Unknown, service.ReasonDeadline, 0},
		{standin.FaultServerError, outcome.Failed, service.ReasonNone, 1},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, addr := start(t)
			s.SetFault(standin.Control{Fault: c.fault})
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			cfg := service.DefaultConfig()
			cfg.MaxResponseBytes = standin.LongBodyBytes - 1
			r := service.New(cfg).Do(ctx, addr, deposit("r1"))
			g.Expect(r.Outcome).To(gomega.Equal(c.want), "%v", r.Err)
			g.Expect(r.Reason).To(gomega.Equal(c.reason), "%v", r.Err)
			g.Expect(r.Leaving).To(gomega.Equal(c.fault == standin.FaultLeaving))
			g.Expect(s.PathRuns("/deposits")).To(gomega.Equal(c.runs))
		})
	}
}

func TestDialFailureIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	_, addr, stop, err := standin.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop()
	r := service.New(service.DefaultConfig()).Do(context.Background(), addr, deposit("r1"))
	g.Expect(r.Outcome).To(gomega.Equal(outcome.NotRun))
	g.Expect(r.Reason).To(gomega.Equal(service.ReasonDial))
}

func TestHookAndDeadlinePreventFirstWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	s, addr := start(t)
	client := service.New(service.DefaultConfig())

	refusedByHook := deposit("r1")
	refusedByHook.BeforeWrite = func() error { return errors.New("no") }
	r := client.Do(context.Background(), addr, refusedByHook)
	g.Expect(r.Outcome).To(gomega.Equal(outcome.NotRun))
	g.Expect(r.Reason).To(gomega.Equal(service.ReasonHookRefused))

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	late := deposit("r3")
	late.SendBy = time.Now()
	r = client.Do(context.Background(), addr, late)
	g.Expect(r.Outcome).To(gomega.Equal(outcome.NotRun))
	g.Expect(r.Reason).To(gomega.Equal(service.ReasonDeadline))

	paused := deposit("r2")
	paused.BeforeWrite = func() error { <-ctx.Done(); return nil }
	r = client.Do(ctx, addr, paused)
	g.Expect(r.Outcome).To(gomega.Equal(outcome.NotRun))
	g.Expect(r.Reason).To(gomega.Equal(service.ReasonDeadline))
	g.Consistently(func() int { return s.PathRuns("/deposits") }, "100ms").Should(gomega.BeZero())
}

func TestPooledCallsShareAConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	_, addr := start(t)
	client := service.New(service.DefaultConfig())
	defer client.Close()
	for range 3 {
		r := client.Do(context.Background(), addr, service.Call{ID: "g", Method: "GET", Path: "/datasheets/7", Idempotent: true})
		g.Expect(r.Outcome).To(gomega.Equal(outcome.Done), "%v", r.Err)
		g.Expect(r.Status).To(gomega.Equal(200))
	}
}
