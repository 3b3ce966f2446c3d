package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/ticket"
)

// Digest identifies a call, so that a ticket cannot be used for another one.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 over the body and the names that make up a
// call, such as method and path. Each part is preceded by its length.
func DigestOf(body []byte, names ...string) Digest {
	h := sha256.New()
	var length [8]byte
	write := func(part []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	for _, name := range names {
		write([]byte(name))
	}
	write(body)
	return Digest(h.Sum(nil))
}

// Key names one ticket in the ledger.
type Key struct {
	Seq    uint64
	Expiry time.Time  // in the owner's time
	Sum    ticket.Sum // of the ticket's text
}

// KeyOf returns the key of a ticket and its text.
func KeyOf(t ticket.Ticket, text string) Key {
	return Key{Seq: t.Seq, Expiry: t.Expiry, Sum: ticket.SumOf(text)}
}

// HeaderField is one header field of a recorded answer.
type HeaderField struct {
	Name  string
	Value string
}

// Record is how a call ended, and its answer if there was one.
type Record struct {
	Outcome outcome.Outcome
	Status  int // of the answer; zero without an answer
	Header  []HeaderField
	Body    []byte
	// BodyBytes is the length of the whole body. When the body was larger than
	// the ledger's bound, Dropped is set, Header and Body are empty, and only
	// the body's length and SHA-256 are kept.
	BodyBytes       int
	BodySum         [sha256.Size]byte
	ResponseDropped bool
}

// withinLimit returns the record with its body or without, by the given bound in
// bytes on header and body together.
func (r Record) withinLimit(limit int) Record {
	r.BodyBytes = len(r.Body)
	if r.responseBytes() <= limit {
		return r
	}
	r.BodySum = sha256.Sum256(r.Body)
	r.Body, r.Header = nil, nil
	r.ResponseDropped = true
	return r
}

// responseBytes is the size of the answer in the ledger's account.
func (r Record) responseBytes() int {
	total := len(r.Body)
	for _, f := range r.Header {
		total += len(f.Name) + len(f.Value) + fieldOverheadBytes
	}
	return total
}
