package server

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/config"
)

// The default rate of reads lets a reader keep its watches and read what changes.
func TestReadsCoverAReadersWatches(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(enoughReads(config.Default().Platform)).To(gomega.Succeed())
	few := config.Default().Platform
	few.ReadsPerSecond = 2
	g.Expect(enoughReads(few)).To(gomega.MatchError(gomega.ContainSubstring("give 5 or more")))
}
