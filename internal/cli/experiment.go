package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

type experimentCommand struct {
	Loads    []string `long:"load" description:"load to play; all if left out"`
	Seeds    uint64   `long:"seeds" default:"3" description:"number of seeds over which figures are averaged"`
	Ablation bool     `long:"ablation" description:"play each load with each mechanism of placement switched off"`
	streams  Streams
}

// Execute plays heavy loads in the model and prints what callers get: with and without
// admission under contention, beside what no scheduler could exceed, or with each mechanism of
// placement switched off.
func (c *experimentCommand) Execute([]string) error {
	loads := fleetmodel.Loads()
	names := c.Loads
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(loads))
	}
	if c.Seeds == 0 {
		return &usageError{fmt.Errorf("seeds is 0, set a number above 0")}
	}
	for _, name := range names {
		load, known := loads[name]
		if !known {
			return &usageError{fmt.Errorf("load %q is not known, choose among %s", name, strings.Join(slices.Sorted(maps.Keys(loads)), ", "))}
		}
		play := c.play
		if c.Ablation {
			play = c.ablate
		}
		if err := play(c.streams.Out, name, load); err != nil {
			return err
		}
	}
	return nil
}

// play prints the results of one load.
func (c *experimentCommand) play(out io.Writer, name string, load fleetmodel.Scenario) error {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "%s\tREQUESTS\tIN TIME\tLATE, FIRST EVENT\tLATE, EVENT GAP\tREFUSED\tLEFT\tLARGEST TENTH\tFIFTH BELOW\tPAYOFF\n", strings.ToUpper(name))
	for _, load.Contention = range []bool{false, true} {
		total := 0.0
		kinds := make(map[string]*kindFigures)
		for seed := range c.Seeds {
			result := fleetmodel.Play(load, seed)
			total += result.Worth()
			for kind, stats := range result {
				if kinds[kind] == nil {
					kinds[kind] = &kindFigures{}
				}
				kinds[kind].add(stats)
			}
		}
		fmt.Fprintf(tw, "admission: %s\t\t\t\t\t\t\t\t\t%.3f\n", onOff(load.Contention), total/float64(c.Seeds))
		for _, kind := range slices.Sorted(maps.Keys(kinds)) {
			kinds[kind].print(tw, kind)
		}
	}
	bound := 0.0
	for seed := range c.Seeds {
		bound += fleetmodel.UpperBound(load, seed).Worth / float64(c.Seeds)
	}
	fmt.Fprintf(tw, "no scheduler exceeds\t\t\t\t\t\t\t\t\t%.3f\n\n", bound)
	return tw.Flush()
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// kindFigures adds up the results of one kind of request.
type kindFigures struct {
	requests, inTime, lateFirst, lateGap, refused, left int
	largest, large, payoff                              float64
	seeds                                               float64
}

func (k *kindFigures) add(s *fleetmodel.Stats) {
	first, gap := s.Late()
	largest, large, _ := s.BySize()
	k.requests += s.Requests
	k.inTime += s.InTime
	k.lateFirst += first
	k.lateGap += gap
	k.refused += s.Refused
	k.left += s.Left
	k.largest += largest.Served
	k.large += large.Served
	k.payoff += s.Worth()
	k.seeds++
}

func (k *kindFigures) print(out io.Writer, kind string) {
	share := func(n int) float64 { return float64(n) / float64(max(k.requests, 1)) }
	fmt.Fprintf(out, "  %s\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", kind, float64(k.requests)/k.seeds,
		share(k.inTime), share(k.lateFirst), share(k.lateGap), share(k.refused), share(k.left), k.largest/k.seeds, k.large/k.seeds, k.payoff/k.seeds)
}
