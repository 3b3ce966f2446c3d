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

// pausedLinks stands for a process that is paused after it asked and reads the
// answer, of the moment of the question, only when it wakes.
type pausedLinks struct{ pause time.Duration }

func (l pausedLinks) Peers() []string { return []string{"b"} }

func (l pausedLinks) Exchange(context.Context, string, *knowledgepb.Digest) (*knowledgepb.Values, error) {
	time.Sleep(l.pause)
	return &knowledgepb.Values{Digest: confirming()}, nil
}

func (l pausedLinks) Push(context.Context, string, *knowledgepb.Values) error { return nil }

// confirming is the digest of a peer for which the service confirmed a moment
// ago that no plan is published; it also has a key that is unknown here.
func confirming() *knowledgepb.Digest {
	return &knowledgepb.Digest{Host: "b", Entries: []*knowledgepb.Entry{
		{Key: confservice.KeyPlan, ConfirmedMs: 1, HeardMs: 1},
		{Key: "rules/unknown", ConfirmedMs: 1, HeardMs: 1},
	}}
}

// What was true before a pause must not count as confirmed after it.
func TestAnswersReadAfterAPauseConfirmNothingRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		service := standin.New()
		service.SetFaults(standin.Faults{Down: true})
		k, err := knowledge.New(knowledge.Config{
			Host: "a", Domain: "sapporo", Partners: []string{"kushiro"}, Source: service, Transport: pausedLinks{pause: time.Hour},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		for range 36 {
			time.Sleep(10 * time.Minute)
			g.Expect(k.ConfirmedWithin(confservice.KeyPlan, time.Minute)).To(gomega.BeFalse())
		}
		_, err = k.HandleExchange(ctx, "b", confirming()) // may have waited as well
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(k.ConfirmedWithin(confservice.KeyPlan, time.Minute)).To(gomega.BeFalse())
		g.Expect(k.ConfirmedWithin(confservice.KeyPlan, 3*time.Hour)).To(gomega.BeTrue())
		cancel()
		<-done
	})
}
