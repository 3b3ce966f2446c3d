package caller

import (
	"errors"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/apierror"
)

// Any body either parses to a request with a model and a prompt, or is rejected as
// a client error that was not run and has a remedy.
func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p"}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}],"stop":["a","b"]}`,
		`{"model":"m","prompt":"p","max_tokens":-1}`, `{"model":"m","prompt":1e999}`, `{"model":"m"`, `null`, `[]`, "\xff", ``,
		`{"model":"m","messages":[{"content":null}],"n":2}`, `{"stop":{}}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		g := gomega.NewWithT(t)
		parsed, err := parseRequest(body, chat)
		if err == nil {
			g.Expect(parsed.Model).NotTo(gomega.BeEmpty())
			g.Expect(chat || parsed.Prompt != "").To(gomega.BeTrue())
			return
		}
		var e *apierror.Error
		g.Expect(errors.As(err, &e)).To(gomega.BeTrue())
		g.Expect(e.Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(e.HTTPStatus()).To(gomega.Equal(http.StatusBadRequest))
		g.Expect(e.Remedy).NotTo(gomega.BeEmpty())
	})
}
