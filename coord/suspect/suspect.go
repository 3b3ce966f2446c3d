// Package suspect keeps account of requests that may crash the targets that
// run them, for one failure domain.
//
// When a target dies, every request in flight there is a candidate for the
// cause: its fingerprint counts the death and becomes a suspect. A suspect may
// run once more, on a target that runs no other suspect and whose own deaths
// have all been explained. A second death puts the fingerprint into quarantine
// for one period. A run that succeeds clears the fingerprint.
//
// A fingerprint in quarantine is confirmed as the cause once it is the only
// candidate left of its last death, or of one that it met as a suspect: all
// others in flight there succeeded since, and other hosts had Config.Settle to
// report theirs. That explains all its deaths: another fingerprint in
// quarantine that counts one of them is a suspect again, unless it is confirmed
// as well. While other candidates are open, but no longer than
// Config.HoldLimit, a fingerprint is held and not refused. A target that keeps
// dying by itself is avoided by suspects, so a request counts it once at most.
//
// Bound at one Tracker: a fingerprint that never succeeded has at most
// MaxLosses counted deaths and runs together. Each confirmed cause uses up
// deaths of its own, so the targets lost in a period are at most MaxLosses times
// the fingerprints that crash targets. A target that dies by itself for the
// first time just while a suspect runs there cannot be told from a crash: that
// suspect may be quarantined, and one that shared its first death may cost one
// target more.
//
// Bound over the hosts of a failure domain: hosts first announce a death to all
// hosts of the domain, and then answer the caller. All suspects run at one host,
// Arbiter, whose Tracker sees all of them. The bound then holds for a caller
// that sends its request again after each answer, through any host. It is
// exceeded by at most one target for each copy that was already running
// elsewhere when the first target died, and for each host that the announcement
// did not reach.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// MaxDeathsPerFingerprint is the number of targets that one fingerprint may cost in a period.
const MaxDeathsPerFingerprint = 2

// Fingerprint identifies what a target would run, whoever asks for it.
type Fingerprint [16]byte

// FingerprintOf hashes the parts of a request that the target runs.
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

// Arbiter returns the host that runs the suspects of a failure domain, out of
// the ids of its live hosts.
func Arbiter(domain string, hosts []string) string {
	return rendezvous.Owner("suspects/"+domain, hosts)
}

// Death names one death of a target.
type Death struct {
	Target      string
	Incarnation string // of the target's process that died
}

// Config bounds a Tracker.
type Config struct {
	// QuarantinePeriod is how long a quarantine lasts, and how long a death is counted.
	QuarantinePeriod time.Duration
	// HoldLimit is the longest hold for a fingerprint whose deaths have
	// other candidates.
	HoldLimit time.Duration
	// ConfirmDelay is how long after a death the other hosts' candidates may still
	// come in, before one is confirmed as its cause. It must be below HoldLimit.
	ConfirmDelay time.Duration
	// MaxSuspects bounds the suspects and quarantined fingerprints held, and
	// MaxProven those that succeeded lately.
	MaxSuspects int
	MaxCleared  int
	// MaxTargets bounds the targets whose deaths are remembered.
	MaxTargets int
	Shards     int
	// Announce is called for each change that other hosts of the domain should
	// Learn, without locks held. It may block; nil: nobody is told.
	Announce func(Hint)
}

// DefaultConfig returns bounds for one entry host.
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

// HintKind says what a Hint tells.
type HintKind uint8

// The kinds of hint.
const (
	HintDied    HintKind = iota + 1 // a target died
	HintCleared                     // a run of the fingerprint succeeded
)

// Candidate counts a death against a request that was in flight at the target.
type Candidate struct {
	Fingerprint  Fingerprint
	RanAsSuspect bool // it ran as a suspect, on a target that was not known to die
}

// Hint is what one host tells the others. A late, lost or repeated hint costs
// time or a target, never an answer.
type Hint struct {
	Kind        HintKind
	Death       Death         // with HintDied
	Candidates  []Candidate   // with HintDied: those in flight at the host that tells
	TTL         time.Duration // with HintDied: until the death is no longer counted
	Fingerprint Fingerprint   // with HintCleared
}

// QuarantinedError refuses a request whose fingerprint is in quarantine.
type QuarantinedError struct {
	RetryAfter time.Duration
}

// Error names the remedy.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request is in quarantine because targets died while they ran it; change the request, or send it again in %s", e.RetryAfter.Round(time.Second))
}

// HeldError says that the fingerprint may not run now, since other runs of it
// are open.
type HeldError struct {
	changed <-chan struct{}
	until   time.Time // zero: only a change ends the hold
}

// Error names the remedy.
func (*HeldError) Error() string {
	return "request waits for the outcome of other runs of the same request; wait, or send it again later"
}

// ExcludedTargetError says that a suspect may not run on the target.
type ExcludedTargetError struct {
	Target   string
	Excluded []string
}

// Error names the remedy.
func (e *ExcludedTargetError) Error() string {
	return fmt.Sprintf("suspected request may not run on %s; pick a target that is not among %s", e.Target, strings.Join(e.Excluded, ", "))
}

// Stats counts what a Tracker holds and did.
type Stats struct {
	Deaths        int64 // deaths of targets, told or learned
	CountedDeaths int64 // deaths counted, over all fingerprints
	Quarantines   int64
	Confirmed     int64 // fingerprints confirmed as a cause
	Explained     int64 // counted deaths that had another cause
	Cleared       int64
	Evicted       int64 // marks dropped early for lack of room
	Suspects      int64 // fingerprints held as suspects or in quarantine
}
