package idempotent_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/retry"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/idempotent"
	"github.com/plantainrun/plantainrun/internal/once"
	"github.com/plantainrun/plantainrun/internal/service"
	standin "github.com/plantainrun/plantainrun/internal/standin/service"
	"github.com/plantainrun/plantainrun/internal/topology"
)

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

// datasheetCall returns an idempotent call.
func datasheetCall(i int) once.Call {
	return once.Call{ID: fmt.Sprint(i), Organisation: "org", Service: "enrolment", Method: "GET", Path: "/datasheets/7"}
}

// roundRobinPicker picks the targets of first attempts in round-robin order.
type roundRobinPicker struct {
	targets []topology.Target
	next    int
	picks   int
}

func (p *roundRobinPicker) Pick(_ context.Context, _ string, exclude []string) (topology.Target, error) {
	if len(exclude) == 0 {
		p.next++
	}
	for i := range p.targets {
		t := p.targets[(p.next+i)%len(p.targets)]
		if !slices.Contains(exclude, t.ID) {
			p.picks++
			return t, nil
		}
	}
	return topology.Target{}, apierror.NotRun(apierror.KindNoTarget, "come back later", "no target is left")
}

func (p *roundRobinPicker) MarkLeaving(topology.Target) {}

// Half of the targets refuse connections. Retries must stay within the burst plus
// the ratio times the calls, and the runs that the stand-ins counted must equal the calls
// that succeeded.
func TestRetriesUnderDeadTargetsStayWithinTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const calls = 400
	p := &roundRobinPicker{}
	var live []*standin.Service
	for i := range 6 {
		s, addr, stop, err := standin.Listen()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		p.targets = append(p.targets, topology.Target{ID: fmt.Sprint(i), Addr: addr})
		if i%2 == 0 {
			stop()
			continue
		}
		t.Cleanup(stop)
		live = append(live, s)
	}
	cfg := retry.Config{Ratio: 0.2, Burst: 5, MaxKeys: 64, Shards: 1}
	budget, err := retry.New(cfg)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client := service.New(service.DefaultConfig())
	defer client.Close()
	executor := idempotent.New(p, client, budget)

	succeeded := 0
	for i := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, err := executor.Execute(ctx, datasheetCall(i))
		cancel()
		if err == nil {
			succeeded++
		}
	}
	retries := p.picks - calls
	bound := float64(cfg.Burst) + cfg.Ratio*calls
	t.Logf("%d calls, %d succeeded, %d retries, bound %.0f", calls, succeeded, retries, bound)
	g.Expect(float64(retries)).To(gomega.BeNumerically("<=", bound))
	ran := 0
	for _, s := range live {
		ran += s.PathRuns("/datasheets/7")
	}
	g.Expect(ran).To(gomega.Equal(succeeded))
	g.Expect(succeeded).To(gomega.BeNumerically(">=", calls/2), "half of the targets are up")
}

// A target that never responds must leave time to retry on another target.
func TestSilentTargetLeavesTimeForRetry(t *testing.T) {
	g := gomega.NewWithT(t)
	silent, addr, stop, err := standin.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(stop)
	silent.SetFault(standin.Control{Fault: standin.FaultHang})
	_, other, stop, err := standin.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(stop)
	p := &roundRobinPicker{next: 1, targets: []topology.Target{{ID: "silent", Addr: addr}, {ID: "live", Addr: other}}}
	cfg := retry.DefaultConfig()
	cfg.FillTime = 0 // as after a while
	budget, err := retry.New(cfg)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	executor := idempotent.New(p, service.New(service.DefaultConfig()), budget)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	response, err := executor.Execute(ctx, datasheetCall(1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Status).To(gomega.Equal(200))
	g.Expect(p.picks).To(gomega.Equal(2))
}

// Guards against giving a call up, or telling that it was not run, after a status that tells nothing.
func TestCallGoesOnAfterAStatusThatTellsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &roundRobinPicker{next: 1}
	for i := range 2 {
		s, addr, stop, err := standin.Listen()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(stop)
		s.SetFault(standin.Control{Fault: standin.FaultServerError, Status: http.StatusTooManyRequests, Times: 1 + i})
		p.targets = append(p.targets, topology.Target{ID: fmt.Sprint(i), Addr: addr})
	}
	cfg := retry.DefaultConfig()
	cfg.FillTime = 0 // as after a while
	budget, err := retry.New(cfg)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	executor := idempotent.New(p, service.New(service.DefaultConfig()), budget)
	_, err = executor.Execute(t.Context(), datasheetCall(1))
	var e *apierror.Error
	g.Expect(errors.As(err, &e)).To(gomega.BeTrue())
	g.Expect(e.Outcome).To(gomega.Equal(outcome.Unknown))
	g.Expect(outcome.PromisesNotRun(e.HTTPStatus())).To(gomega.BeFalse())
	response, err := executor.Execute(t.Context(), datasheetCall(2))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Status).To(gomega.Equal(http.StatusOK))
}
