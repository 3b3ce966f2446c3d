package losses

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/plantainrun/plantainrun/internal/explain"
)

// Collector gathers requests from logs. It is not safe for concurrent use.
type Collector struct {
	// Only limits it to one request, if it is set.
	Only string

	requests map[requestKey]*record
	domains  map[string]string // of hosts
	names    map[string]string // one copy of each name
}

// requestKey identifies a request at one host.
type requestKey struct{ host, id string }

// record is a request that is being collected.
type record struct {
	Request
	served    bool // for another host
	late      *lateAnswer
	sends     int
	hasEvents bool
	shortage  Cause // if admission refused it
}

// NewCollector returns a Collector without requests.
func NewCollector() *Collector {
	return &Collector{requests: make(map[requestKey]*record), domains: make(map[string]string), names: make(map[string]string)}
}

// logLine holds the members of the log lines that matter here. Durations are in milliseconds.
type logLine struct {
	Time          time.Time `json:"ts"`
	Message       string    `json:"msg"`
	Request       string    `json:"request"`
	Route         string    `json:"route"`
	Organisation  string    `json:"organisation"`
	Reason        string    `json:"reason"`
	Outcome       string    `json:"outcome"`
	Domain        string    `json:"domain"`
	PromptTokens  int       `json:"prompt_tokens"`
	Sends         int       `json:"sends"`
	FirstEvent    float64   `json:"first_event"`
	Objective     float64   `json:"objective"`
	LongestPause  float64   `json:"longest_pause"`
	MaxPause      float64   `json:"max_pause"`
	SentAfter     float64   `json:"sent_after"`
	PredictedWait float64   `json:"predicted_wait"`
	MemoryWait    bool      `json:"waited_for_memory"`
	ShortOf       string    `json:"short_of"`
	CallerKey     string    `json:"caller_key"`
	Subject       string    `json:"subject"`
}

// The messages of the log lines that are read.
const (
	msgStarted      = "started"
	msgForeign      = "request of another host"
	msgAttempt      = "attempt"
	msgFirstEvent   = "first event"
	msgAttemptEnded = "attempt ended"
	msgAnswerLate   = "answer late"
	msgRefused      = "request refused"
	msgLeft         = "caller left"
	msgAborted      = "stream aborted"
	msgFailureRelay = "relaying failed response"
	msgNotAdmitted  = "placement rejected, engines would begin too late"
	outcomeDone     = "done"
)

var messages = []string{
	msgStarted, msgForeign, msgAttempt, msgFirstEvent, msgAttemptEnded, msgAnswerLate, msgRefused, msgLeft, msgAborted, msgFailureRelay, msgNotAdmitted,
}

// Read adds the lines of a log. source is the host of lines that have no prefix.
func (c *Collector) Read(r io.Reader, source string) error {
	return explain.Objects(r, source, func(object []byte, host string) {
		if !relevant(object) || (c.Only != "" && !bytes.Contains(object, []byte(c.Only))) {
			return
		}
		var l logLine
		if json.Unmarshal(object, &l) != nil {
			return // not a structured log line
		}
		c.add(c.name(host), &l)
	})
}

// relevant reports whether a line has one of the messages that are read, without parsing it.
func relevant(text []byte) bool {
	_, rest, found := bytes.Cut(text, []byte(`"msg":"`))
	end := bytes.IndexByte(rest, '"')
	return found && end >= 0 && slices.Contains(messages, string(rest[:end]))
}

// name returns the one copy of a name, so that a long log does not keep many.
func (c *Collector) name(s string) string {
	if known, ok := c.names[s]; ok {
		return known
	}
	c.names[s] = s
	return s
}

func (c *Collector) add(host string, l *logLine) {
	if l.Message == msgStarted {
		c.domains[host] = c.name(l.Domain)
		return
	}
	if l.Request == "" {
		return
	}
	r := c.record(host, l)
	switch l.Message {
	case msgForeign:
		r.served = true
	case msgFirstEvent:
		r.hasEvents = true
	case msgAttempt:
		r.sends = l.Sends
	case msgAnswerLate:
		r.late = &lateAnswer{
			firstEvent: milliseconds(l.FirstEvent), objective: milliseconds(l.Objective), longestPause: milliseconds(l.LongestPause), maxPause: milliseconds(l.MaxPause),
			sentAfter: milliseconds(l.SentAfter), predictedWait: milliseconds(l.PredictedWait), sends: l.Sends, waitedForMemory: l.MemoryWait,
		}
	case msgAttemptEnded:
		if l.Outcome == outcomeDone {
			r.finishServed()
		}
	case msgNotAdmitted:
		r.shortage = shortages[l.ShortOf]
	case msgRefused:
		r.finishRefused(l.Reason)
	case msgLeft:
		r.finishLeft()
	case msgAborted:
		r.Fate, r.Cause = Broken, CauseLink
	case msgFailureRelay:
		r.Fate, r.Cause = Broken, CauseTarget
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// record returns the record of a line's request with what the line tells of the request.
func (c *Collector) record(host string, l *logLine) *record {
	key := requestKey{host, l.Request}
	r := c.requests[key]
	if r == nil {
		r = &record{Request: Request{ID: l.Request, Host: host, Start: l.Time}}
		c.requests[key] = r
	}
	r.Start = earliest(r.Start, l.Time)
	if l.Route != "" {
		r.Route = c.name(l.Route)
	}
	if l.Organisation != "" {
		r.Organisation = c.name(l.Organisation)
	}
	if l.PromptTokens > 0 {
		r.PromptTokens = l.PromptTokens
	}
	if l.CallerKey != "" {
		r.CallerKey = l.CallerKey
	}
	if l.Subject != "" {
		r.Subject = c.name(l.Subject)
	}
	return r
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (r *record) finishServed() {
	r.Fate = InTime
	if r.late != nil {
		r.Fate, r.Cause = r.late.classify()
	}
}

func (r *record) finishRefused(reason string) {
	switch {
	case slices.Contains(deniedReasons, reason):
		r.Fate = Denied
	case reason == "timeout" || reason == "lost":
		r.Fate, r.Cause = Broken, CauseLink
	default:
		r.Fate, r.Cause = Refused, cmp.Or(r.shortage, Cause(reason))
	}
	if r.Cause == "" && r.Fate == Refused {
		r.Cause = CauseUnknown
	}
}

func (r *record) finishLeft() {
	r.Fate, r.Cause = Left, CauseLeftBefore
	switch {
	case r.sends > 1:
		r.Cause = CauseRetry
	case r.hasEvents:
		r.Cause = CauseLeftDuring
	}
}

// Requests returns the requests that callers sent, in the order of their start.
func (c *Collector) Requests() []Request {
	out := make([]Request, 0, len(c.requests))
	for _, r := range c.requests {
		if r.served {
			continue
		}
		r.Domain = c.domains[r.Host]
		out = append(out, r.Request)
	}
	slices.SortFunc(out, func(a, b Request) int { return a.Start.Compare(b.Start) })
	return out
}
