// Package retrylog counts from the structured logs of hosts how often requests arrived at
// targets more than once, summed over all hosts, beside what is allowed. The counters of a
// host end with its process; its logs do not.
package retrylog

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/plantainrun/plantainrun/internal/explain"
)

// Limits are the bounds on retries to a service: in any window at most Ratio times the requests
// plus Burst.
type Limits struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// Collector gathers attempts from logs. It is not safe for concurrent use.
type Collector struct {
	attempts []attempt
	unsent   map[attemptKey]bool
	starts   []time.Time // of processes
}

type attempt struct {
	attemptKey
	at time.Time
}

// attemptKey identifies an attempt.
type attemptKey struct {
	host, service, request, target string
	sends                          int
}

// logLine holds the members of the log lines that matter here.
type logLine struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	Service string    `json:"service"`
	Request string    `json:"request"`
	Target  string    `json:"target"`
	Outcome string    `json:"outcome"`
	Sends   int       `json:"sends"`
}

// The messages and the outcome that are read.
const (
	msgStarted      = "started"
	msgAttempt      = "attempt"
	msgAttemptEnded = "attempt ended"
	outcomeUnsent   = "not_sent"
)

// NewCollector returns an empty Collector.
func NewCollector() *Collector { return &Collector{unsent: make(map[attemptKey]bool)} }

// Read adds the lines of a log. source is the host of lines that have no prefix.
func (c *Collector) Read(r io.Reader, source string) error {
	return explain.Objects(r, source, func(object []byte, host string) {
		var l logLine
		if json.Unmarshal(object, &l) != nil {
			return // not a structured log line
		}
		c.add(host, &l)
	})
}

func (c *Collector) add(host string, l *logLine) {
	key := attemptKey{host: host, service: l.Service, request: l.Request, target: l.Target, sends: l.Sends}
	switch {
	case l.Message == msgStarted:
		c.starts = append(c.starts, l.Time)
	case l.Request == "":
	case l.Message == msgAttempt:
		c.attempts = append(c.attempts, attempt{attemptKey: key, at: l.Time})
	case l.Message == msgAttemptEnded && l.Outcome == outcomeUnsent:
		c.unsent[key] = true
	}
}

// Report is the window of a service that comes nearest to its bound, or exceeds it most.
type Report struct {
	Service  string
	Requests int // in all windows
	Retries  int // in all windows

	WindowStart   time.Time
	WindowRetries int
	Allowed       float64 // retries in the window
	Starts        int     // of processes in the window
}

// Reports returns a report for each service, by name. A request counts from its first
// attempt; requests that were refused before it are not in the logs' attempts, so Allowed is a
// lower bound.
func (c *Collector) Reports(limits Limits) []Report {
	first, retries := c.arrivals()
	var out []Report
	for _, service := range slices.Sorted(maps.Keys(first)) {
		r := worstWindow(first[service], retries[service], limits)
		r.Service = service
		r.Starts = count(c.sortedStarts(), r.WindowStart, limits.Window)
		out = append(out, r)
	}
	return out
}

// arrivals returns by service, in order, when requests may have arrived at a target for the
// first time, and when they may have arrived once more.
func (c *Collector) arrivals() (first, retries map[string][]time.Time) {
	type requestKey struct{ service, request string }
	first, retries = make(map[string][]time.Time), make(map[string][]time.Time)
	seen := make(map[requestKey]bool)
	slices.SortStableFunc(c.attempts, func(a, b attempt) int { return a.at.Compare(b.at) })
	for _, a := range c.attempts {
		if c.unsent[a.attemptKey] {
			continue
		}
		key := requestKey{a.service, a.request}
		if seen[key] {
			retries[a.service] = append(retries[a.service], a.at)
			continue
		}
		seen[key] = true
		first[a.service] = append(first[a.service], a.at)
	}
	return first, retries
}

func (c *Collector) sortedStarts() []time.Time {
	return slices.SortedFunc(slices.Values(c.starts), time.Time.Compare)
}

func worstWindow(first, retries []time.Time, limits Limits) Report {
	worst := Report{Requests: len(first), Retries: len(retries)}
	used := -1.0
	for _, start := range retries {
		n := count(retries, start, limits.Window)
		allowed := limits.Ratio*float64(count(first, start, limits.Window)) + limits.Burst
		if fraction := float64(n) / max(allowed, 1); fraction > used {
			used = fraction
			worst.WindowStart, worst.WindowRetries, worst.Allowed = start, n, allowed
		}
	}
	return worst
}

// count returns how many of the sorted times lie in a window.
func count(times []time.Time, start time.Time, window time.Duration) int {
	end := start.Add(window)
	from := sort.Search(len(times), func(i int) bool { return !times[i].Before(start) })
	to := sort.Search(len(times), func(i int) bool { return times[i].After(end) })
	return to - from
}

// Write prints reports, a line each.
func Write(w io.Writer, reports []Report) error {
	for _, r := range reports {
		_, err := fmt.Fprintf(w, "%s: %d requests, %d retries; nearest window from %s: %d of %.0f allowed, %d processes started in it\n",
			r.Service, r.Requests, r.Retries, r.WindowStart.Format(time.RFC3339Nano), r.WindowRetries, r.Allowed, r.Starts)
		if err != nil {
			return err
		}
	}
	return nil
}
