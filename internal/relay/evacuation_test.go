package relay_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/relay"
)

// evacuatedSource is a source in which the given failure domains are evacuated.
type evacuatedSource struct {
	*fakeSource
	domains []string
}

func (s *evacuatedSource) List(ctx context.Context) (follow.Response, error) {
	resp, err := s.fakeSource.List(ctx)
	for _, d := range s.domains {
		resp.Changes = append(resp.Changes, follow.Change{Revision: 1, Evacuation: &follow.Evacuation{Domain: d}})
	}
	return resp, err
}

// spreadTargets puts the targets of a source into two failure domains by turns.
func spreadTargets(s *fakeSource) *fakeSource {
	for i := range s.targets {
		s.targets[i].Domain = []string{"north", "south"}[i/2%2]
	}
	return s
}

func TestRequestsAreRefusedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	for _, uri := range []string{"/order/1", "/status/1", "/chat/1"} {
		t.Run(uri, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := newHarness(always(success))
				w.views.set(viewOf(&evacuatedSource{spreadTargets(newFakeSource()), []string{"north", "south"}}))
				start := time.Now()
				r := w.serve(context.Background(), relay.Request{ID: "r", URI: uri, PromptTokens: 500})
				g.Expect(r.refusal).NotTo(BeNil())
				g.Expect(r.refusal.Reason).To(Equal(relay.ReasonEvacuated))
				g.Expect(r.refusal.Status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(r.refusal.RetryAfter).To(BeNumerically(">", 0))
				g.Expect(time.Since(start)).To(BeZero())
				g.Expect(w.transport.sends).To(BeZero())
			})
		})
	}
}

// A domain is evacuated while the memory of a prompt that spans engines is being reserved:
// the memory is given back, and the prompt runs on the engines that are left.
func TestEvacuationDuringReservationPlacesThePromptAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(always(behaviour{status: http.StatusOK, events: 3}))
		source := spreadTargets(newFakeSource())
		w.views.set(viewOf(&evacuatedSource{fakeSource: source}))
		evacuate := func() { w.views.set(viewOf(&evacuatedSource{source, []string{"north"}})) }
		w.transport.noMemory = func(string) bool { evacuate(); return false }
		r := w.serve(context.Background(), relay.Request{ID: "r", URI: "/patient/1", PromptTokens: 200_000, MaxOutputTokens: 100})
		g.Expect(r.refusal).To(BeNil())
		g.Expect(r.body.String()).To(ContainSubstring("piece 3"))
		for _, target := range w.transport.targets {
			g.Expect(domainOf(source, target)).To(Equal("south"))
		}
		time.Sleep(time.Minute)
		g.Expect(w.transport.reservationCount()).To(BeZero())
	})
}

func viewOf(s follow.Source) *follow.View {
	return newStaticViewOf(s).View()
}

func domainOf(s *fakeSource, id string) string {
	for _, t := range s.targets {
		if t.TargetKey == (catalog.TargetKey{ID: id, StartUnixMilli: 1}) {
			return t.Domain
		}
	}
	return ""
}
