package clock_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/clock"
)

func TestSteadyFollowsElapsedTime(t *testing.T) {
	g := gomega.NewWithT(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	steady := clock.NewSteady(manual)
	manual.Advance(time.Minute)
	g.Expect(steady.Now()).To(gomega.Equal(time.Unix(1060, 0)))
}

// Results must not carry a monotonic reading, so that they are compared by their wall time, which
// follows elapsed time.
func TestSteadyHasNoMonotonicReading(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.NewSteady(clock.System{}).Now()
	g.Expect(now).To(gomega.Equal(now.Round(0)))
}
