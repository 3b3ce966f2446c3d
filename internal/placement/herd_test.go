package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

// playDelayed plays a burst of short prompts of which hosts learn late, and returns the fraction
// of them that are not in time.
func playDelayed(delay, assumed time.Duration) float64 {
	load := fleetmodel.ShortPromptBurst(62, 78)
	load.PropagationDelay, load.AssumedDelay = delay, assumed
	return 1 - mean(playLoad(load), func(r fleetmodel.Result) float64 { return r["short"].InTimeShare() })
}

// Hosts that know how late they learn of others' prompts spread theirs over more engines.
func TestHostsThatKnowTheDelayOfUpdatesPlaceSmallerHerds(t *testing.T) {
	const (
		delay   = 300 * time.Millisecond
		assumed = 18 * time.Millisecond
	)
	g := NewWithT(t)
	known, unknown := playDelayed(delay, delay), playDelayed(delay, assumed)
	t.Logf("short prompts that are not in time: %.3f with the delay known, %.3f without", known, unknown)
	g.Expect(known).To(BeNumerically("<=", unknown/2))
}
