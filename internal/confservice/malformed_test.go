package confservice_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/standin/malformed"
)

// Guards against believing a malformed answer of the configuration service.
func TestMalformedAnswerOfTheServiceIsNoAnswer(t *testing.T) {
	for name, answer := range malformed.Answers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr, stop, err := malformed.Listen(answer, "")
			g.Expect(err).NotTo(HaveOccurred())
			defer stop()
			client := confservice.NewClient(confservice.Config{Address: "http://" + addr.String()})
			_, err = client.Read(t.Context(), "")
			var unavailable *confservice.UnavailableError
			g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%v", err)
		})
	}
}
