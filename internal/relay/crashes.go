package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// crashesBeforeQuarantine is how many targets a request may break before
	// it is refused.
	crashesBeforeQuarantine = 3
	// crashRecordTTL is how long a broken attempt counts.
	crashRecordTTL = 60 * time.Second
	// maxCrashRecords bounds the requests that are remembered.
	maxCrashRecords = 4096
)

// fingerprint recognises a request that comes again.
type fingerprint uint64

// fingerprint covers the path, the caller and the body.
func (j *job) fingerprint() fingerprint {
	d := xxhash.New()
	for _, part := range []string{j.req.Host, j.req.URI, j.req.Key} {
		_, _ = d.WriteString(part) // hashing cannot fail
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.req.Body)
	return fingerprint(d.Sum64())
}

// crashTracker remembers which requests broke off at which targets, so that one
// that crashTracker its targets is not sent to all of them. It is safe for
// concurrent use.
type crashTracker struct {
	now func() time.Time

	mu      sync.Mutex
	records map[fingerprint]*crashRecord
}

type crashRecord struct {
	targets   map[catalog.TargetKey]struct{}
	lastCrash time.Time // of the newest crash
}

func newCrashTracker(now func() time.Time) *crashTracker {
	return &crashTracker{now: now, records: make(map[fingerprint]*crashRecord)}
}

// record records that an attempt at a target broke off.
func (c *crashTracker) record(fp fingerprint, target catalog.TargetKey) {
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
	r.lastCrash = now
}

// evict drops what is too old, and everything if that is not enough.
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

// RecordPeerCrash takes a peer's news of a request that broke off.
func (r *Relay) RecordPeerCrash(requestFingerprint uint64, target catalog.TargetKey) {
	r.crashes.record(fingerprint(requestFingerprint), target)
}

// recordCrash notes that this request broke off at a target, and tells peers.
func (j *job) recordCrash(target catalog.TargetKey) {
	fp := j.fingerprint()
	j.relay.crashes.record(fp, target)
	j.relay.cfg.Peers.Crashed(uint64(fp), target)
}

// quarantined reports whether a request has broken too many targets.
func (c *crashTracker) quarantined(fp fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[fp]
	if r == nil || c.now().Sub(r.lastCrash) > crashRecordTTL {
		return false
	}
	return len(r.targets) >= crashesBeforeQuarantine
}
