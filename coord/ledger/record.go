package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/coord/ticket"
)

// Digest identifies a call, so that a ticket cannot be reused for a different one.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 over the body and the names that make up a
// call, such as method and path. Each part is prefixed with its length.
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

// Key identifies one ticket in the ledger.
type Key struct {
	Seq    uint64
	Expiry time.Time  // by the owner's clock
	Sum    ticket.Sum // of the ticket's text
}

// KeyOf returns the ledger key of a ticket with the given text.
func KeyOf(t ticket.Ticket, text string) Key {
	return Key{Seq: t.Seq, Expiry: t.Expiry, Sum: ticket.SumOf(text)}
}

// HeaderField is one header field of a recorded response.
type HeaderField struct {
	Name  string
	Value string
}

// Record is the outcome of a call, and its response if there was one.
type Record struct {
	Outcome outcome.Outcome
	Status  int // of the response; zero without a response
	Header  []HeaderField
	Body    []byte
	// BodyBytes is the length of the whole body. If the response exceeded
	// the ledger's limit, ResponseDropped is set, Header and Body are empty, and
	// only the body's length and SHA-256 are kept.
	BodyBytes       int
	BodySum         [sha256.Size]byte
	ResponseDropped bool
}

// withinLimit returns the record, without header and body if they exceed the
// given limit in bytes together.
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

// responseBytes returns the accounted size of the response's header and body in
// bytes.
func (r Record) responseBytes() int {
	total := len(r.Body)
	for _, f := range r.Header {
		total += len(f.Name) + len(f.Value) + fieldOverheadBytes
	}
	return total
}
