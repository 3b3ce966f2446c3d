package confservice_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/plantainrun/plantainrun/internal/confservice"
	standin "github.com/plantainrun/plantainrun/internal/standin/platform"
)

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

func newServiceAndClient(t *testing.T, cfg confservice.Config) (*standin.Service, *confservice.Client) {
	service := standin.New()
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	cfg.Address, cfg.Name = server.URL, t.Name()
	return service, confservice.NewClient(cfg)
}

func TestReadAndWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	service, client := newServiceAndClient(t, confservice.Config{})
	ctx := t.Context()

	_, err := client.Read(ctx, confservice.KeyPlan)
	var notFound *confservice.NotFoundError
	g.Expect(errors.As(err, &notFound)).To(gomega.BeTrue())

	revision, err := service.Publish(confservice.RulesKey("kushiro"), []byte("body"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	changes, err := client.Watch(ctx, confservice.WatchRequest{Keys: []string{confservice.KeyPlan, "rules/kushiro"}, Wait: time.Minute})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.Equal([]confservice.Change{{Key: "rules/kushiro", Revision: revision}}))
	v, err := client.Read(ctx, "rules/kushiro")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(v).To(gomega.Equal(confservice.Value{Key: "rules/kushiro", Revision: revision, Body: []byte("body")}))

	changes, err = client.Watch(ctx, confservice.WatchRequest{After: revision, Keys: []string{"rules/kushiro"}, Wait: time.Millisecond})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.BeEmpty())
	g.Expect(service.Stats().Calls()).To(gomega.Equal(uint64(4)))
	stats := client.Stats()
	g.Expect(stats.Reads + stats.Watches).To(gomega.Equal(uint64(4)))
}

func TestStaleRevisionIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	service, client := newServiceAndClient(t, confservice.Config{})
	first, _ := service.Publish(confservice.KeyPlan, []byte("1"))
	_, _ = service.Publish(confservice.KeyPlan, []byte("2"))
	_, err := client.Read(t.Context(), confservice.KeyPlan)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	service.SetFaults(standin.Faults{MaxRevision: first})
	_, err = client.Read(t.Context(), confservice.KeyPlan)
	var stale *confservice.StaleRevisionError
	g.Expect(errors.As(err, &stale)).To(gomega.BeTrue())
	g.Expect(client.Stats().StaleReads).To(gomega.Equal(uint64(1)))
}

func TestUnavailableServiceTripsBreakerAndRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	service, client := newServiceAndClient(t, confservice.Config{ReadsPerSecond: 1000})
	_, _ = service.Publish(confservice.KeyPlan, []byte("1"))
	service.SetFaults(standin.Faults{Down: true})
	for range 50 {
		_, err := client.Read(t.Context(), confservice.KeyPlan)
		var unavailable *confservice.UnavailableError
		g.Expect(errors.As(err, &unavailable)).To(gomega.BeTrue())
	}
	// Calls that the circuit breaker rejects are not sent and not counted as reads.
	stats := client.Stats()
	g.Expect(stats.Reads).To(gomega.Equal(service.Stats().Reads))
	g.Expect(stats.Reads + stats.BreakerRejected).To(gomega.Equal(uint64(50)))

	service.SetFaults(standin.Faults{})
	g.Eventually(func() error {
		_, err := client.Read(t.Context(), confservice.KeyPlan)
		return err
	}, time.Minute, 50*time.Millisecond).Should(gomega.Succeed())
}

func TestReadRateIsLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	service, client := newServiceAndClient(t, confservice.Config{ReadsPerSecond: 0.001, ReadBurst: 3})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 6 {
		_, _ = client.Read(ctx, confservice.KeyPlan)
	}
	g.Expect(service.Stats().Reads).To(gomega.Equal(uint64(3)))
}

func TestBackoffGrowsToMax(t *testing.T) {
	g := gomega.NewWithT(t)
	b := confservice.Backoff{Initial: time.Second, Max: 10 * time.Second}
	var delay time.Duration
	for i := range 100 {
		delay = b.Next()
		ceiling := min(time.Second<<min(i, 4), 10*time.Second)
		g.Expect(delay).To(gomega.And(gomega.BeNumerically(">=", ceiling/2), gomega.BeNumerically("<", ceiling)))
	}
}

func TestParseRulesKey(t *testing.T) {
	g := gomega.NewWithT(t)
	partner, ok := confservice.ParseRulesKey(confservice.RulesKey("aarhus"))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(partner).To(gomega.Equal("aarhus"))
	partner, ok = confservice.ParseRulesKey(confservice.KeyHosts)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(partner).To(gomega.BeEmpty(), "the audit trail treats the value of a key with a partner as rules and records its lines")
}
