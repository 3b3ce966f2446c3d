package outcome_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
)

// Guards against a status that is taken for the word of the target: only what it states tells
// that a call was not run.
func TestOutcomeOfResponse(t *testing.T) {
	for status, want := range map[int]outcome.Outcome{
		http.StatusOK:                  outcome.Done,
		http.StatusNoContent:           outcome.Done,
		http.StatusNotModified:         outcome.Done,
		http.StatusBadRequest:          outcome.Done,
		http.StatusNotFound:            outcome.Done,
		http.StatusConflict:            outcome.Done,
		http.StatusTooEarly:            outcome.Done,
		http.StatusRequestTimeout:      outcome.Unknown,
		http.StatusMisdirectedRequest:  outcome.Unknown,
		http.StatusTooManyRequests:     outcome.Unknown,
		http.StatusServiceUnavailable:  outcome.Unknown,
		http.StatusInternalServerError: outcome.Failed,
		http.StatusBadGateway:          outcome.Failed,
		http.StatusGatewayTimeout:      outcome.Failed,
		599:                            outcome.Failed,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(outcome.OfResponse(status, false)).To(Equal(want))
			g.Expect(outcome.PromisesNotRun(status)).To(Equal(want == outcome.Unknown))
			stated := outcome.NotRun
			if status < http.StatusBadRequest {
				stated = outcome.Unknown // a success that states that it is none
			}
			g.Expect(outcome.OfResponse(status, true)).To(Equal(stated))
		})
	}
}
