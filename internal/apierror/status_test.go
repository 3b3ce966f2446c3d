package apierror_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
)

// Guards against an error whose status tells the caller that its request was not run, while its body
// tells that this is not known: a client that reads statuses only sends the request anew.
func TestStatusOfAnErrorPromisesOnlyWhatItsOutcomeTells(t *testing.T) {
	for _, kind := range apierror.Kinds() {
		for _, result := range []outcome.Outcome{outcome.Unknown, outcome.NotRun, outcome.Done, outcome.Failed} {
			t.Run(fmt.Sprintf("%s, %s", kind, result), func(t *testing.T) {
				g := gomega.NewWithT(t)
				status := apierror.New(kind, result, "come back later", "no target").HTTPStatus()
				g.Expect(status).To(gomega.BeNumerically(">=", http.StatusBadRequest))
				if result != outcome.NotRun {
					g.Expect(outcome.PromisesNotRun(status)).To(gomega.BeFalse(), "status %d", status)
				}
			})
		}
	}
}
