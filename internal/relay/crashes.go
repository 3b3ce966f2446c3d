package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/quarantine"
)

const (
	// crashesBeforeQuarantine is the number of distinct targets at which a
	// request has to have crashed before it is refused.
	crashesBeforeQuarantine = 3
	// crashRecordTTL is how long a record counts after its latest crash.
	crashRecordTTL = 60 * time.Second
	// maxCrashRecords is the largest number of requests that are tracked.
	maxCrashRecords = 4096
	// maxReportedRequests is the largest number of requests whose crashes a host that joins
	// is told.
	maxReportedRequests = 128
)

// fingerprint identifies repetitions of the same request.
type fingerprint uint64

// fingerprint hashes the virtual host, the URI, the caller's key and the body.
func (j *job) fingerprint() fingerprint {
	d := xxhash.New()
	for _, part := range []string{j.req.Host, j.req.URI, j.req.Key} {
		_, _ = d.WriteString(part) // writing to the hash never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.req.Body)
	return fingerprint(d.Sum64())
}

// crashTracker records which requests crashed at which targets, so that a request
// that crashes its targets is not retried across all of them. An attempt counts as
// a crash if the request may have reached the target and its response is missing,
// invalid or incomplete, unless the caller disconnected or the deadline passed. It
// is safe for concurrent use.
type crashTracker struct {
	now func() time.Time

	mu      sync.Mutex
	records map[fingerprint]*crashRecord
}

type crashRecord struct {
	targets   map[catalog.TargetKey]struct{}
	lastCrash time.Time
}

func newCrashTracker(now func() time.Time) *crashTracker {
	return &crashTracker{now: now, records: make(map[fingerprint]*crashRecord)}
}

// record adds a target at which the request crashed some time ago.
func (c *crashTracker) record(fp fingerprint, target catalog.TargetKey, age time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[fp]
	if r == nil {
		c.evict(now)
		r = &crashRecord{targets: make(map[catalog.TargetKey]struct{})}
		c.records[fp] = r
	}
	r.targets[target] = struct{}{}
	if at := now.Add(-age); at.After(r.lastCrash) {
		r.lastCrash = at
	}
}

// recentCrashes returns the crashes of requests that count, those of the requests with most of
// them first, of maxReportedRequests at most.
func (c *crashTracker) recentCrashes() []quarantine.Crash {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var recent []fingerprint
	for fp, r := range c.records {
		if now.Sub(r.lastCrash) <= crashRecordTTL {
			recent = append(recent, fp)
		}
	}
	slices.SortFunc(recent, func(a, b fingerprint) int {
		return cmp.Compare(len(c.records[b].targets), len(c.records[a].targets))
	})
	var out []quarantine.Crash
	for _, fp := range recent[:min(len(recent), maxReportedRequests)] {
		r := c.records[fp]
		for target := range r.targets {
			out = append(out, quarantine.Crash{Request: uint64(fp), Target: target, Age: now.Sub(r.lastCrash)})
		}
	}
	return out
}

// evict makes room for a new record when the limit is reached: it deletes expired
// records, and all records if none has expired.
func (c *crashTracker) evict(now time.Time) {
	if len(c.records) < maxCrashRecords {
		return
	}
	for fp, r := range c.records {
		if now.Sub(r.lastCrash) > crashRecordTTL {
			delete(c.records, fp)
		}
	}
	if len(c.records) >= maxCrashRecords {
		clear(c.records)
	}
}

// RecordPeerCrash records a crash that another host has reported.
func (r *Relay) RecordPeerCrash(c quarantine.Crash) { r.recordCrash(c) }

func (r *Relay) recordCrash(c quarantine.Crash) {
	r.crashes.record(fingerprint(c.Request), c.Target, c.Age)
	r.parts.RecordCrash(c)
}

// RecordPeerAnswers records answers that another host reports to clear a part of prompts.
func (r *Relay) RecordPeerAnswers(host string, a quarantine.Answers) {
	r.parts.RecordPeerAnswers(host, a)
}

// RecentCrashes returns the crashes of requests that are in quarantine or on their way there.
func (r *Relay) RecentCrashes() []quarantine.Crash { return r.crashes.recentCrashes() }

// QuarantinedParts returns the quarantined parts of prompts.
func (r *Relay) QuarantinedParts() []quarantine.Entry { return r.parts.Entries() }

// QuarantinePart quarantines a part of prompts that another host has quarantined.
func (r *Relay) QuarantinePart(e quarantine.Entry) { r.parts.Merge(e) }

// clearingEvents is the number of events from which an answer clears the parts of its
// prompt: a prompt that crashes engines does so as its answer begins.
const clearingEvents = 3

// recordCrash records that this request crashed at a target and reports it to the
// other hosts.
func (j *job) recordCrash(target catalog.TargetKey) {
	c := quarantine.Crash{Request: uint64(j.fingerprint()), Target: target}
	if j.attemptEvents < clearingEvents {
		c.Parts = j.req.SharedParts
	}
	j.relay.recordCrash(c)
	j.relay.cfg.Peers.Crashed(c)
}

// recordAnswer records that the request's prompt has been answered. The host that made
// the attempt counts the answer.
func (j *job) recordAnswer(dest destination) {
	if _, ok := dest.target(); ok {
		j.relay.parts.RecordAnswer(j.req.SharedParts)
	}
}

// quarantined reports whether the request, or a part of its prompt, has crashed too many
// targets.
func (j *job) quarantined() bool {
	if j.relay.crashes.quarantined(j.fingerprint()) {
		return true
	}
	part, found := j.relay.parts.Quarantined(j.req.SharedParts)
	if found {
		j.log("prompt has a quarantined part", zap.String("part", part))
	}
	return found
}

// quarantined reports whether a request has recently crashed at too many targets.
func (c *crashTracker) quarantined(fp fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[fp]
	return r != nil && r.quarantined(c.now())
}

func (r *crashRecord) quarantined(now time.Time) bool {
	return len(r.targets) >= crashesBeforeQuarantine && now.Sub(r.lastCrash) <= crashRecordTTL
}
