package policybench

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// Classes returns the classes of prompt length, shortest first.
func Classes() []rules.Class {
	return []rules.Class{rules.ClassShort, rules.ClassMedium, rules.ClassLong}
}

// Result holds the measurements of one run. Requests that arrive during the
// warm-up count only in Rejected, MaxReservedFraction, Attempts and Offered.
type Result struct {
	Scenario Scenario
	Classes  map[rules.Class]*ClassResult
	// FinishedTokens is the number of prompt tokens of finished requests by
	// organisation. The key is "partner/organisation".
	FinishedTokens map[string]float64
	// OfferedTokens is the number of prompt tokens of all requests by organisation,
	// with the same keys.
	OfferedTokens map[string]float64
	// Rejected counts submissions that an engine rejected for lack of memory.
	Rejected int
	// MaxReservedFraction is the largest fraction of an engine's memory that the
	// hosts of its failure domain had reserved together at any time. More than 1
	// means that memory was reserved twice.
	MaxReservedFraction float64
	// Attempts counts submissions to engines, Offered the requests of the load.
	// Their ratio shows how much load retries add.
	Attempts int
	Offered  int
	// ShortTTFTs holds a sample for each prompt of at most maxShortPrefill, in the
	// order of the first tokens.
	ShortTTFTs []TTFTSample
}

// TTFTSample is the arrival time and the time to first token of a short prompt.
type TTFTSample struct {
	Arrival time.Duration // since the start of the run
	TTFT    time.Duration
}

// ClassResult holds the measurements for one class of prompt length.
type ClassResult struct {
	Offered          int
	Finished         int
	Refused          int // rejected on arrival or while queued, or out of attempts
	DeadlineExceeded int // admitted, but dropped at the deadline
	Lost             int // the engine crashed and no retry was left
	// TTFT is the time to first token in microseconds. Slowdown is the duration of
	// the whole request divided by its duration on an idle engine, in thousandths.
	// TTFTSlowdown is the same ratio for the time to first token.
	TTFT         *hdrhistogram.Histogram
	Slowdown     *hdrhistogram.Histogram
	TTFTSlowdown *hdrhistogram.Histogram
}

// Limits and precision of the histograms. Larger values count as the limit.
const (
	maxMicroseconds   = int64(1_000_000_000)
	maxThousandths    = int64(100_000_000)
	significantDigits = 3
)

func newResult(s Scenario) *Result {
	r := &Result{Scenario: s, Classes: map[rules.Class]*ClassResult{}, FinishedTokens: map[string]float64{}, OfferedTokens: map[string]float64{}}
	for _, c := range Classes() {
		r.Classes[c] = &ClassResult{
			TTFT:         hdrhistogram.New(1, maxMicroseconds, significantDigits),
			Slowdown:     hdrhistogram.New(1, maxThousandths, significantDigits),
			TTFTSlowdown: hdrhistogram.New(1, maxThousandths, significantDigits),
		}
	}
	return r
}

func (c *ClassResult) recordFirstToken(ttft, ideal time.Duration) {
	_ = c.TTFT.RecordValue(min(max(ttft.Microseconds(), 1), maxMicroseconds))
	_ = c.TTFTSlowdown.RecordValue(thousandths(ttft, ideal))
}

func (c *ClassResult) recordFinished(duration, ideal time.Duration) {
	c.Finished++
	_ = c.Slowdown.RecordValue(thousandths(duration, ideal))
}

// thousandths returns the ratio of the two durations in thousandths, within the
// limits of the histograms.
func thousandths(duration, ideal time.Duration) int64 {
	return min(max(int64(1000*duration.Seconds()/ideal.Seconds()), 1), maxThousandths)
}

// TTFTAt returns the time to first token at a percentile from 0 to 100.
func (c *ClassResult) TTFTAt(percentile float64) time.Duration {
	return time.Duration(c.TTFT.ValueAtQuantile(percentile)) * time.Microsecond
}

// SlowdownAt returns the slowdown of whole requests at a percentile from 0 to 100.
func (c *ClassResult) SlowdownAt(percentile float64) float64 {
	return float64(c.Slowdown.ValueAtQuantile(percentile)) / 1000
}

// TTFTSlowdownAt returns the slowdown of the time to first token at a percentile
// from 0 to 100.
func (c *ClassResult) TTFTSlowdownAt(percentile float64) float64 {
	return float64(c.TTFTSlowdown.ValueAtQuantile(percentile)) / 1000
}

// ServedShareRange returns the smallest and the largest ratio of finished to
// offered prompt tokens among the organisations.
func (r *Result) ServedShareRange() (least, most float64) {
	least, most = 1, 0
	for org, offered := range r.OfferedTokens {
		served := r.FinishedTokens[org] / offered
		least, most = min(least, served), max(most, served)
	}
	return least, most
}

// TableHeader returns the Markdown header of the table that Rows fills. The
// column "stretch" shows the slowdown of the time to first token.
func TableHeader() string {
	return "| policy | class | first token p50 | p95 | p99 | stretch p95 | slowdown p95 | refused % | late % | lost % |\n" +
		"|---|---|---:|---:|---:|---:|---:|---:|---:|---:|"
}

// Rows formats the result as Markdown table rows, one for each class.
func (r *Result) Rows() string {
	var b strings.Builder
	for _, class := range Classes() {
		c := r.Classes[class]
		percent := func(n int) float64 { return 100 * float64(n) / float64(max(c.Offered, 1)) }
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.1f | %.2f | %.2f | %.2f | %.2f |\n",
			r.Scenario.Name, class, seconds(c.TTFTAt(50)), seconds(c.TTFTAt(95)), seconds(c.TTFTAt(99)),
			c.TTFTSlowdownAt(95), c.SlowdownAt(95), percent(c.Refused), percent(c.DeadlineExceeded), percent(c.Lost))
	}
	return b.String()
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }
