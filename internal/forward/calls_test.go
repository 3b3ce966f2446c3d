package forward

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/forward/forwardpb"
	"github.com/plantainrun/plantainrun/internal/once"
)

// Guards against passing on what the owner of a ticket, maybe of an older version, took for an
// answer: the call may have run there.
func TestMalformedAnswerOfAnOwnerIsNoAnswer(t *testing.T) {
	for name, reply := range map[string]*forwardpb.ServiceAnswer{
		"empty":                  {},
		"status 20":              {Status: 20},
		"interim status":         {Status: http.StatusEarlyHints},
		"another protocol":       {Status: http.StatusSwitchingProtocols},
		"status 600":             {Status: 600},
		"blank in a name":        {Status: http.StatusOK, Header: []*forwardpb.Header{{Name: "X Note", Values: []string{"a"}}}},
		"control byte in a name": {Status: http.StatusOK, Header: []*forwardpb.Header{{Name: "X-\x01Note", Values: []string{"a"}}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			response, err := decodeResponse(reply)
			var unavailable *once.OwnerUnavailableError
			g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%+v, %v", response, err)
			g.Expect(unavailable.MaybeSent).To(BeTrue())
		})
	}
}

// Guards against passing on what the owner of a ticket, maybe of an older version, took for the
// answer of a run: its status would tell the caller that the call was not run.
func TestAnswerOfAnOwnerWithTheStatusOfARefusalIsNoPromise(t *testing.T) {
	for _, status := range []int32{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := NewWithT(t)
			response, err := decodeResponse(&forwardpb.ServiceAnswer{Status: status})
			var e *apierror.Error
			g.Expect(errors.As(err, &e)).To(BeTrue(), "%+v, %v", response, err)
			g.Expect(e.Kind).To(Equal(apierror.KindTargetOutcomeUnknown))
			g.Expect(e.Outcome).To(Equal(outcome.Unknown))
		})
	}
}
