package cli

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/standin/fleetmodel"
)

// ablate prints what callers get of one load with each mechanism of placement switched off.
func (c *experimentCommand) ablate(out io.Writer, name string, load fleetmodel.Scenario) error {
	load.Contention = true
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "%s\tPAYOFF\tDIFFERENCE\tSPREAD OF IT\tIN TIME BY KIND\tSERVED OF THE LARGEST TENTH BY KIND\n", strings.ToUpper(name))
	all := c.playSeeds(load)
	printAblation(tw, "all mechanisms", all, all)
	for _, m := range placement.Mechanisms() {
		policy := placement.DefaultPolicy()
		*m.Field(&policy) = false
		load.Policy = &policy
		printAblation(tw, "without "+m.Name, c.playSeeds(load), all)
	}
	fmt.Fprintln(tw)
	return tw.Flush()
}

// playSeeds plays a load with all seeds, several at a time.
func (c *experimentCommand) playSeeds(load fleetmodel.Scenario) []fleetmodel.Result {
	results := make([]fleetmodel.Result, c.Seeds)
	var wg sync.WaitGroup
	for seed := range results {
		wg.Go(func() { results[seed] = fleetmodel.Play(load, uint64(seed)) })
	}
	wg.Wait()
	return results
}

// printAblation prints the results of a policy beside those of another one, seed by seed.
func printAblation(out io.Writer, name string, results, reference []fleetmodel.Result) {
	payoff, difference, squares := 0.0, 0.0, 0.0
	n := float64(len(results))
	for i := range results {
		d := results[i].Worth() - reference[i].Worth()
		payoff += results[i].Worth() / n
		difference += d / n
		squares += d * d / n
	}
	spread := math.Sqrt(max(squares-difference*difference, 0))
	var inTime, largest []string
	for _, kind := range slices.Sorted(maps.Keys(results[0])) {
		inTimeShare, servedShare := 0.0, 0.0
		for _, r := range results {
			tenth, _, _ := r[kind].BySize()
			inTimeShare += r[kind].InTimeShare() / n
			servedShare += tenth.Served / n
		}
		inTime = append(inTime, fmt.Sprintf("%s %.3f", kind, inTimeShare))
		largest = append(largest, fmt.Sprintf("%s %.3f", kind, servedShare))
	}
	fmt.Fprintf(out, "%s\t%.3f\t%+.3f\t%.3f\t%s\t%s\n", name, payoff, difference, spread, strings.Join(inTime, ", "), strings.Join(largest, ", "))
}
