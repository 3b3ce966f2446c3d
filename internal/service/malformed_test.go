package service_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/httpwire"
	"github.com/plantainrun/plantainrun/internal/service"
	"github.com/plantainrun/plantainrun/internal/standin/malformed"
)

// Guards against passing on a malformed answer of a service, or believing it as a refusal.
func TestMalformedAnswerOfAServiceIsNoAnswer(t *testing.T) {
	for name, answer := range malformed.Answers {
		for _, refuses := range []string{"", engineapi.HeaderNotRun + ": 1\r\n"} {
			for _, idempotent := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					g := gomega.NewWithT(t)
					addr, stop, err := malformed.Listen(answer, engineapi.HeaderRequestID+": 1\r\n"+refuses)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					defer stop()
					client := service.New(service.DefaultConfig())
					defer client.Close()
					result := client.Do(t.Context(), addr, service.Call{ID: "1", Method: http.MethodPost, Path: "/order", Body: []byte("seat"), Idempotent: idempotent})
					g.Expect(result.Outcome).To(gomega.Equal(outcome.Unknown), "%+v", result)
					g.Expect(result.Reason).To(gomega.Equal(service.ReasonIncomplete))
				})
			}
		}
	}
}

// Guards against losing the reason for which an answer is none.
func TestReasonOfAMalformedAnswerIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, stop, err := malformed.Listen(malformed.Answers["status 000"], "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer stop()
	result := service.New(service.DefaultConfig()).Do(t.Context(), addr, service.Call{ID: "1", Method: http.MethodGet, Path: "/order"})
	var malformedHead *httpwire.Error
	g.Expect(errors.As(result.Err, &malformedHead)).To(gomega.BeTrue(), "%v", result.Err)
	g.Expect(malformedHead.Reason).To(gomega.Equal(httpwire.ReasonStatus))
}
