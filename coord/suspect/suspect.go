// Package suspect keeps account of requests that may crash the targets that
// run them, for one failure domain.
//
// When a target dies, every request in flight there becomes a suspect: the
// death is charged to its fingerprint. A suspect may run once more, on a target
// that has not died lately and runs no other suspect. A second charge puts the
// fingerprint into quarantine for one period. A run that succeeds clears it.
//
// A fingerprint in quarantine is convicted once it is the only one that can
// have caused its last death, or one that it was charged with as a suspect,
// because all others in flight there succeeded since; other hosts get
// Config.Settle to report theirs. That explains all its deaths: another fingerprint in
// quarantine that was charged with one of them is a suspect again, unless it
// is convicted as well. Until the others that were in flight are judged, but
// no longer than Config.DoubtWait, a fingerprint is held and not refused.
// Suspects avoid a target whose deaths are not explained, so a target that
// keeps dying by itself charges a request once at most.
//
// Bound at one Tracker: a fingerprint that never succeeded has at most
// MaxLosses charges and runs together. Each conviction uses up charges of its
// own, so the targets lost in a period are at most MaxLosses times the
// fingerprints that crash targets. A target that dies by itself for the first
// time just while a suspect runs there cannot be told from a crash: that
// suspect may be quarantined, and one that shared its first charge may cost one
// target more.
//
// Bound over the hosts of a failure domain: hosts first announce a charge to
// all hosts of the domain, and then answer the caller. All suspects run at one
// host, Arbiter, whose Tracker sees all of them. The bound then holds for a
// caller that sends its request again after each answer, through any host. It
// is exceeded by at most one target for each copy that was already running
// elsewhere when the first target died, and for each host that the
// announcement did not reach.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

// MaxLosses is the number of targets that one fingerprint may cost in a period.
const MaxLosses = 2

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
	// Period is how long a quarantine lasts, and how long a charge and a death
	// are remembered.
	Period time.Duration
	// DoubtWait is the longest hold for a fingerprint whose second charge may
	// yet be explained by another one.
	DoubtWait time.Duration
	// Settle is how long after a death the other hosts' charges may still come
	// in, before anyone is convicted of it. It must be below DoubtWait.
	Settle time.Duration
	// MaxMarked bounds the suspects and quarantined fingerprints held, and
	// MaxProven those that succeeded lately.
	MaxMarked int
	MaxProven int
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
		Period:     10 * time.Minute,
		DoubtWait:  2 * time.Second,
		Settle:     500 * time.Millisecond,
		MaxMarked:  8192,
		MaxProven:  8192,
		MaxTargets: 4096,
		Shards:     16,
	}
}

// HintKind says what a Hint tells.
type HintKind uint8

// The kinds of hint.
const (
	HintDied    HintKind = iota + 1 // a target died
	HintCleared                     // a run of the fingerprint succeeded
)

// Charge names a request that was in flight when a target died.
type Charge struct {
	Fingerprint Fingerprint
	Alone       bool // it ran as a suspect, on a target that was not known to die
}

// Hint is what one host tells the others. A late, lost or repeated hint costs
// time or a target, never an answer.
type Hint struct {
	Kind        HintKind
	Death       Death         // with HintDied
	Charged     []Charge      // with HintDied: those in flight at the host that tells
	Left        time.Duration // with HintDied: until the charges end
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
// are not judged yet.
type HeldError struct {
	changed <-chan struct{}
	until   time.Time // zero: only a change ends the hold
}

// Error names the remedy.
func (*HeldError) Error() string {
	return "request waits for the outcome of other runs of the same request; wait, or send it again later"
}

// AvoidError says that a suspect may not run on the target.
type AvoidError struct {
	Target string
	Avoid  []string
}

// Error names the remedy.
func (e *AvoidError) Error() string {
	return fmt.Sprintf("suspected request may not run on %s; pick a target that is not among %s", e.Target, strings.Join(e.Avoid, ", "))
}

// Stats counts what a Tracker holds and did.
type Stats struct {
	Deaths      int64 // deaths of targets, told or learned
	Charges     int64
	Quarantines int64
	Convictions int64
	Explained   int64 // charges given back
	Cleared     int64
	Evicted     int64 // marks dropped early for lack of room
	Marked      int64 // fingerprints held as suspects or in quarantine
}
