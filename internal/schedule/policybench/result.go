package policybench

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/plantainrun/plantainrun/internal/rules"
)

// Classes lists the classes of prompt length, shortest first.
func Classes() []rules.Class {
	return []rules.Class{rules.ClassShort, rules.ClassMedium, rules.ClassLong}
}

// Result is what one run measured.
type Result struct {
	Scenario Scenario
	Classes  map[rules.Class]*ClassResult
	// Work is the tokens of finished prompts by organisation, "partner/organisation".
	Work map[string]float64
	// Asked is the tokens of all prompts by organisation.
	Asked map[string]float64
	// Rejected counts requests that an engine refused for lack of memory.
	Rejected int
	// MostPromised is the largest part of an engine's memory that all hosts
	// together had promised.
	MostPromised float64
	// Attempts counts submissions to engines, Offered the requests of the load.
	Attempts int
	Offered  int
	// FirstTokens are the first tokens of short prompts in order of arrival.
	FirstTokens []FirstToken
}

// FirstToken is when a short prompt came and how long its first token took.
type FirstToken struct {
	Arrival time.Duration // since the start
	Wait    time.Duration
}

// ClassResult is the result for one class of prompt length.
type ClassResult struct {
	Offered  int
	Finished int
	Refused  int // told at once or while queued
	Late     int // dropped at the time limit after it was admitted
	Lost     int // the engine died and no retry was left
	// FirstToken is in microseconds, Slowdown in thousandths: the time of the whole request
	// over the time on an idle engine. Stretch is the same for the first token.
	FirstToken *hdrhistogram.Histogram
	Slowdown   *hdrhistogram.Histogram
	Stretch    *hdrhistogram.Histogram
}

const (
	mostMicros   = int64(1_000_000_000)
	mostThousand = int64(100_000_000)
	digits       = 3
)

func newResult(s Scenario) *Result {
	r := &Result{Scenario: s, Classes: map[rules.Class]*ClassResult{}, Work: map[string]float64{}, Asked: map[string]float64{}}
	for _, c := range Classes() {
		r.Classes[c] = &ClassResult{
			FirstToken: hdrhistogram.New(1, mostMicros, digits),
			Slowdown:   hdrhistogram.New(1, mostThousand, digits),
			Stretch:    hdrhistogram.New(1, mostThousand, digits),
		}
	}
	return r
}

func (c *ClassResult) firstToken(wait, ideal time.Duration) {
	_ = c.FirstToken.RecordValue(min(max(wait.Microseconds(), 1), mostMicros))
	_ = c.Stretch.RecordValue(thousandths(wait, ideal))
}

func (c *ClassResult) finished(took, ideal time.Duration) {
	c.Finished++
	_ = c.Slowdown.RecordValue(thousandths(took, ideal))
}

func thousandths(took, ideal time.Duration) int64 {
	return min(max(int64(1000*took.Seconds()/ideal.Seconds()), 1), mostThousand)
}

// FirstTokenAt returns the first token's wait at a quantile, 0 to 100.
func (c *ClassResult) FirstTokenAt(quantile float64) time.Duration {
	return time.Duration(c.FirstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

// SlowdownAt returns the slowdown at a quantile.
func (c *ClassResult) SlowdownAt(quantile float64) float64 {
	return float64(c.Slowdown.ValueAtQuantile(quantile)) / 1000
}

// StretchAt returns the slowdown of the first token at a quantile.
func (c *ClassResult) StretchAt(quantile float64) float64 {
	return float64(c.Stretch.ValueAtQuantile(quantile)) / 1000
}

// LeastShare returns the smallest ratio of finished to asked work among the
// organisations, and the largest.
func (r *Result) LeastShare() (least, most float64) {
	least, most = 1, 0
	for org, asked := range r.Asked {
		served := r.Work[org] / asked
		least, most = min(least, served), max(most, served)
	}
	return least, most
}

// Header is the head of the table that Rows fills, in Markdown.
func Header() string {
	return "| policy | class | first token p50 | p95 | p99 | stretch p95 | slowdown p95 | refused % | late % | lost % |\n" +
		"|---|---|---:|---:|---:|---:|---:|---:|---:|---:|"
}

// Rows formats the result as table rows, one for each class.
func (r *Result) Rows() string {
	var b strings.Builder
	for _, class := range Classes() {
		c := r.Classes[class]
		percent := func(n int) float64 { return 100 * float64(n) / float64(max(c.Offered, 1)) }
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.1f | %.2f | %.2f | %.2f | %.2f |\n",
			r.Scenario.Name, class, seconds(c.FirstTokenAt(50)), seconds(c.FirstTokenAt(95)), seconds(c.FirstTokenAt(99)),
			c.StretchAt(95), c.SlowdownAt(95), percent(c.Refused), percent(c.Late), percent(c.Lost))
	}
	return b.String()
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }
