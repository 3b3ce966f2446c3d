package service_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/service"
)

// Guards against taking the status of a service for its word: one that promises that a call did
// not run proves nothing unless the service states it, and neither does a statement that the status
// contradicts.
func TestStatusOfAServiceAloneTellsNothing(t *testing.T) {
	for _, c := range []struct {
		status int
		stated bool
		want   outcome.Outcome
		reason service.Reason
	}{
		{http.StatusRequestTimeout, false, outcome.Unknown, service.ReasonUnstated},
		{http.StatusMisdirectedRequest, false, outcome.Unknown, service.ReasonUnstated},
		{http.StatusTooManyRequests, false, outcome.Unknown, service.ReasonUnstated},
		{http.StatusServiceUnavailable, false, outcome.Unknown, service.ReasonUnstated},
		{http.StatusCreated, true, outcome.Unknown, service.ReasonUnstated},
		{http.StatusRequestTimeout, true, outcome.NotRun, service.ReasonRefused},
		{http.StatusTooManyRequests, true, outcome.NotRun, service.ReasonRefused},
		{http.StatusServiceUnavailable, true, outcome.NotRun, service.ReasonRefused},
		{http.StatusTooEarly, false, outcome.Done, service.ReasonNone},
		{http.StatusConflict, false, outcome.Done, service.ReasonNone},
		{http.StatusInternalServerError, false, outcome.Failed, service.ReasonNone},
		{http.StatusGatewayTimeout, false, outcome.Failed, service.ReasonNone},
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, stated %t, idempotent %t", c.status, c.stated, idempotent), func(t *testing.T) {
				g := gomega.NewWithT(t)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
					if c.stated {
						w.Header().Set(engineapi.HeaderNotRun, "1")
					}
					w.WriteHeader(c.status)
					fmt.Fprint(w, "because")
				}))
				defer server.Close()
				client := service.New(service.DefaultConfig())
				defer client.Close()
				call := deposit("r1")
				call.Idempotent = idempotent
				r := client.Do(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), call)
				g.Expect(r.Outcome).To(gomega.Equal(c.want), "%v", r.Err)
				g.Expect(r.Reason).To(gomega.Equal(c.reason))
				g.Expect(r.Err != nil).To(gomega.Equal(c.reason != service.ReasonNone))
			})
		}
	}
}
