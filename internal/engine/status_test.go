package engine_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// Guards against taking the status of an engine for its word: a prompt that was not run as the
// engine states, or may not have run, goes to another engine, and one that failed does not.
func TestOutcomeOfEachRefusal(t *testing.T) {
	for _, c := range []struct {
		status int
		stated bool
		want   outcome.Outcome
	}{
		{http.StatusRequestTimeout, false, outcome.Unknown},
		{http.StatusMisdirectedRequest, false, outcome.Unknown},
		{http.StatusTooManyRequests, false, outcome.Unknown},
		{http.StatusServiceUnavailable, false, outcome.Unknown},
		{http.StatusInternalServerError, false, outcome.Unknown}, // maybe of an intermediary
		{http.StatusBadRequest, false, outcome.Failed},
		{http.StatusConflict, false, outcome.Failed},
		{http.StatusFound, true, outcome.Unknown},
		{http.StatusBadRequest, true, outcome.NotRun},
		{http.StatusTooManyRequests, true, outcome.NotRun},
		{http.StatusServiceUnavailable, true, outcome.NotRun},
	} {
		t.Run(fmt.Sprintf("%d, stated %t", c.status, c.stated), func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
				if c.stated {
					w.Header().Set(engineapi.HeaderNotRun, "1")
				}
				w.WriteHeader(c.status)
				fmt.Fprint(w, `{"reason":"busy"}`)
			}))
			defer server.Close()
			client := engine.New(engine.Options{})
			defer client.Close()
			target := topology.Target{ID: "engine", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
			req := request("r", "prompt", 1)
			req.DeadlineMS = time.Now().Add(5 * time.Second).UnixMilli()
			result, err := client.Generate(t.Context(), target, req, func(engineapi.Chunk) error { return nil })
			var failure *engine.Error
			g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
			g.Expect(failure.Kind).To(gomega.Equal(engine.KindRefused))
			g.Expect(failure.Outcome).To(gomega.Equal(c.want))
			g.Expect(result.Outcome).To(gomega.Equal(c.want))
		})
	}
}
