// Package suspect tracks requests that may crash the targets that run them, for
// one failure domain, and quarantines them.
//
// When a target dies, every request in flight on it is a candidate for the
// cause: the death is counted for its fingerprint, which becomes a suspect. A
// suspect may run once more, on a target that runs no other suspect and whose own
// deaths have all been explained. A second death puts the fingerprint into
// quarantine for Config.QuarantinePeriod. A run that succeeds clears the
// fingerprint.
//
// A fingerprint in quarantine is confirmed as the cause once it is the only
// remaining candidate of its last death, or of a death that happened while it ran
// as a suspect: all other requests in flight on the target have succeeded since,
// and other hosts had Config.ConfirmDelay to report theirs. This explains all
// deaths of the fingerprint: another fingerprint in quarantine that counts one of
// them becomes a suspect again, unless it is confirmed as well. While there are
// other candidates, but no longer than Config.HoldLimit, a fingerprint is put on
// hold and not rejected. Suspects do not run on a target that dies repeatedly for
// other reasons, so its deaths are counted at most once for each request.
//
// Limit for one Tracker: the counted deaths and the runs of a fingerprint that
// never succeeded add up to at most MaxDeathsPerFingerprint. Each confirmed cause
// accounts for deaths of its own, so the targets lost in a period are at most
// MaxDeathsPerFingerprint times the fingerprints that crash targets. When a target
// dies for another reason for the first time while a suspect runs on it, this
// cannot be distinguished from a crash caused by the suspect: that suspect may be
// quarantined, and another one that shared its first death may cost one more
// target.
//
// Limit for the hosts of a failure domain: hosts announce a death to all hosts of
// the domain before they respond to the caller. All suspects run at one host, the
// Arbiter, whose Tracker sees all of them. The limit then holds for a caller that
// retries its request after each response, through any host. It is exceeded by at
// most one target for each copy that was already running elsewhere when the first
// target died, and for each host that the announcement did not reach.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// MaxDeathsPerFingerprint is the number of target deaths that one fingerprint may
// cause in a quarantine period. At this number it is put into quarantine.
const MaxDeathsPerFingerprint = 2

// Fingerprint identifies the content of a request, regardless of its sender.
type Fingerprint [16]byte

// FingerprintOf hashes the parts of a request that the target processes. Each part
// is prefixed with its length.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Arbiter selects the host that runs all suspects of a failure domain from the ids
// of its live hosts, by rendezvous hashing.
func Arbiter(domain string, hosts []string) string {
	return rendezvous.Owner("suspects/"+domain, hosts)
}

// Death identifies one death of a target.
type Death struct {
	Target      string
	Incarnation string // of the target's process that died
}

// Config holds the limits and delays of a Tracker.
type Config struct {
	// QuarantinePeriod is how long a quarantine lasts, and how long a death is
	// counted.
	QuarantinePeriod time.Duration
	// HoldLimit is the maximum time after its last death that a fingerprint in
	// quarantine is put on hold, and not rejected, because its deaths have other
	// candidates.
	HoldLimit time.Duration
	// ConfirmDelay is how long after a death other hosts may still report
	// candidates, before one is confirmed as its cause. It must be below HoldLimit.
	ConfirmDelay time.Duration
	// MaxSuspects limits the tracked suspects and quarantined fingerprints, and
	// MaxCleared the tracked fingerprints that succeeded within QuarantinePeriod.
	MaxSuspects int
	MaxCleared  int
	// MaxTargets limits the targets whose deaths are tracked.
	MaxTargets int
	Shards     int
	// Announce sends a hint to the other hosts of the domain, which pass it to
	// ApplyHint. It is called without locks held and may block. If nil, no hints
	// are sent.
	Announce func(Hint)
}

// DefaultConfig returns the configuration for one entry host.
func DefaultConfig() Config {
	return Config{
		QuarantinePeriod: 10 * time.Minute,
		HoldLimit:        2 * time.Second,
		ConfirmDelay:     500 * time.Millisecond,
		MaxSuspects:      8192,
		MaxCleared:       8192,
		MaxTargets:       4096,
		Shards:           16,
	}
}

// HintKind is the type of event that a Hint reports.
type HintKind uint8

// The kinds of hint.
const (
	HintDied    HintKind = iota + 1 // a target died
	HintCleared                     // a run of the fingerprint succeeded
)

// Candidate is a request that was in flight on a target when it died, and may have
// caused the death.
type Candidate struct {
	Fingerprint  Fingerprint
	RanAsSuspect bool // it ran as a suspect, on a target without unexplained deaths
}

// Hint is an event that one host reports to the others. A late, lost or duplicate
// hint may cost time or a target, but never a response.
type Hint struct {
	Kind        HintKind
	Death       Death         // with HintDied
	Candidates  []Candidate   // with HintDied: requests that the reporting host had in flight
	TTL         time.Duration // with HintDied: until the death is no longer counted
	Fingerprint Fingerprint   // with HintCleared
}

// QuarantinedError reports a request that is rejected because its fingerprint is in
// quarantine.
type QuarantinedError struct {
	RetryAfter time.Duration
}

// Error implements error; the message says how the caller can recover.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request is in quarantine because targets died while they ran it; change the request, or retry in %s", e.RetryAfter.Round(time.Second))
}

// HeldError reports a fingerprint that may not run now, since the outcome of other
// runs of it, or of the other candidates of its deaths, is still open.
type HeldError struct {
	changed <-chan struct{}
	until   time.Time // if zero, only a change ends the hold
}

// Error implements error; the message says how the caller can recover.
func (*HeldError) Error() string {
	return "request is on hold until the outcome of other runs is known; wait, or retry later"
}

// ExcludedTargetError reports a target on which a suspect may not run.
type ExcludedTargetError struct {
	Target   string
	Excluded []string
}

// Error implements error; the message says how the caller can recover.
func (e *ExcludedTargetError) Error() string {
	return fmt.Sprintf("suspect request may not run on %s; choose a target other than %s", e.Target, strings.Join(e.Excluded, ", "))
}

// Stats holds a Tracker's counters and its number of suspects.
type Stats struct {
	Deaths        int64 // deaths of targets, reported locally or by hints
	CountedDeaths int64 // deaths counted for fingerprints, summed over all fingerprints
	Quarantines   int64
	Confirmed     int64 // fingerprints confirmed as a cause of deaths
	Explained     int64 // counted deaths that had another cause
	Cleared       int64
	Evicted       int64 // suspects and quarantined fingerprints dropped early because of MaxSuspects
	Suspects      int64 // fingerprints tracked as suspects or in quarantine
}
