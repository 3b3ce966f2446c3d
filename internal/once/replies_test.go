package once

import (
	"errors"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/ledger"
	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
)

// Guards against a record of an older host that holds the status of a refusal as the answer of a run.
func TestRecordWithTheStatusOfARefusalIsNoPromise(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, recorded := range []outcome.Outcome{outcome.Done, outcome.Failed} {
			response, err := replay(ledger.Record{Outcome: recorded, Status: status, Body: []byte("because")})
			var e *apierror.Error
			g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%+v", response)
			g.Expect(e.Kind).To(gomega.Equal(apierror.KindTargetOutcomeUnknown))
			g.Expect(e.Outcome).To(gomega.Equal(outcome.Unknown))
		}
	}
}
