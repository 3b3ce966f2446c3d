package server

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/config"
)

// The default read rate suffices for a reader's watches and for reading changed values.
func TestCheckReadRate(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(checkReadRate(config.Default().Platform)).To(gomega.Succeed())
	tooLow := config.Default().Platform
	tooLow.ReadsPerSecond = 2
	g.Expect(checkReadRate(tooLow)).To(gomega.MatchError(gomega.ContainSubstring("give 5 or more")))
}
