package knowledge_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge"
	"github.com/plantainrun/plantainrun/internal/knowledge/knowledgepb"
	standin "github.com/plantainrun/plantainrun/internal/standin/platform"
)

// pausedTransport simulates a process that is paused between sending a request and reading
// the response, whose contents date from the time of the request.
type pausedTransport struct{ pause time.Duration }

func (l pausedTransport) Peers() []string { return []string{"b"} }

func (l pausedTransport) Exchange(context.Context, string, *knowledgepb.Digest) (*knowledgepb.Values, error) {
	time.Sleep(l.pause)
	return &knowledgepb.Values{Digest: confirmingDigest()}, nil
}

func (l pausedTransport) Push(context.Context, string, *knowledgepb.Values) error { return nil }

// confirmingDigest returns the digest of a peer to which the service has just confirmed that
// no plan is published. It also has a key that is unknown to the receiver.
func confirmingDigest() *knowledgepb.Digest {
	return &knowledgepb.Digest{Host: "b", Entries: []*knowledgepb.Entry{
		{Key: confservice.KeyPlan, ConfirmedMs: 1, HeardMs: 1},
		{Key: "rules/unknown", ConfirmedMs: 1, HeardMs: 1},
	}}
}

// A response that was received before a pause of the process and read after it must not count
// as a recent confirmation.
func TestResponseReadAfterPauseIsNoRecentConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		service := standin.New()
		service.SetFaults(standin.Faults{Down: true})
		replica, err := knowledge.New(knowledge.Config{
			Host: "a", Domain: "sapporo", Partners: []string{"kushiro"}, Source: service, Transport: pausedTransport{pause: time.Hour},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- replica.Run(ctx) }()
		for range 36 {
			time.Sleep(10 * time.Minute)
			g.Expect(replica.ConfirmedWithin(confservice.KeyPlan, time.Minute)).To(gomega.BeFalse())
		}
		_, err = replica.HandleExchange(ctx, "b", confirmingDigest()) // this message may have been delayed as well
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(replica.ConfirmedWithin(confservice.KeyPlan, time.Minute)).To(gomega.BeFalse())
		g.Expect(replica.ConfirmedWithin(confservice.KeyPlan, 3*time.Hour)).To(gomega.BeTrue())
		cancel()
		<-done
	})
}
