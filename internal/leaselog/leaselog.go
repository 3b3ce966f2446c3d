// Package leaselog tells from the structured logs of hosts how long engine memory stayed
// reserved after the end of its use, as far as the hosts know.
package leaselog

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/explain"
)

// End is the end of a reservation that an attempt has used.
type End struct {
	Host        string
	Target      string
	Reservation string
	Released    bool          // a release was answered; otherwise the lease has expired
	FreeAfter   time.Duration // from the end of the attempt until the memory was free at the latest
}

// Collector gathers reservations from logs. It is not safe for concurrent use.
type Collector struct {
	attempts   int // with reserved memory
	unused     int // reservations without an attempt
	unanswered int // renewals without a response
	swept      int // reservations that a host released for another
	ends       []End
}

// logLine holds the members of the log lines that matter here. Durations are in milliseconds.
type logLine struct {
	Message            string  `json:"msg"`
	Target             string  `json:"target"`
	Reservation        string  `json:"reservation"`
	Used               bool    `json:"used"`
	FreeAfter          float64 `json:"free_after"`
	UnansweredRenewals int     `json:"unanswered_renewals"`
}

// The messages that are read.
const (
	msgReserved = "memory reserved"
	msgReleased = "reservation released"
	msgExpired  = "reservation not released, its lease has expired"
	msgSwept    = "reservation released whose use has ended"
)

// NewCollector returns an empty Collector.
func NewCollector() *Collector { return &Collector{} }

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
	switch l.Message {
	case msgReserved:
		c.attempts++
	case msgSwept:
		c.swept++
	case msgReleased, msgExpired:
		c.addEnd(host, l)
	}
}

func (c *Collector) addEnd(host string, l *logLine) {
	if !l.Used {
		c.unused++
		return
	}
	c.unanswered += l.UnansweredRenewals
	c.ends = append(c.ends, End{
		Host: host, Target: l.Target, Reservation: l.Reservation, Released: l.Message == msgReleased,
		FreeAfter: time.Duration(l.FreeAfter * float64(time.Millisecond)),
	})
}

// Report sums up the reservations of all hosts.
type Report struct {
	Attempts           int // with reserved memory
	Unused             int // reservations without an attempt
	UnansweredRenewals int
	Released, Expired  int
	Swept              int   // released by any host, after reports that their use has ended
	Longest            []End // by FreeAfter, the longest first
}

// Report returns the report, with at most the given number of ends.
func (c *Collector) Report(most int) Report {
	r := Report{Attempts: c.attempts, Unused: c.unused, UnansweredRenewals: c.unanswered, Swept: c.swept}
	for _, e := range c.ends {
		if e.Released {
			r.Released++
		}
	}
	r.Expired = len(c.ends) - r.Released
	longest := slices.Clone(c.ends)
	slices.SortStableFunc(longest, func(a, b End) int { return int(b.FreeAfter - a.FreeAfter) })
	r.Longest = longest[:min(most, len(longest))]
	return r
}

// Write prints the report, beside the time for which memory may stay reserved.
func (r Report) Write(w io.Writer, bound time.Duration) error {
	_, err := fmt.Fprintf(w, "%d attempts with reserved memory; %d reservations released, %d expired, %d never used; %d renewals without an answer; %d swept\n",
		r.Attempts, r.Released, r.Expired, r.Unused, r.UnansweredRenewals, r.Swept)
	if err != nil {
		return err
	}
	for _, e := range r.Longest {
		how := "expired at the latest"
		if e.Released {
			how = "released"
		}
		if _, err := fmt.Fprintf(w, "%s: %s at %s %s %s after its use, %s allowed\n", e.Host, e.Reservation, e.Target, how, e.FreeAfter, bound); err != nil {
			return err
		}
	}
	return nil
}
