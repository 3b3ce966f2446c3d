// Package ticket issues and checks tickets: opaque strings that name the one
// process that may run a call. A ticket holds its owner's incarnation, a
// sequence number and an expiry, and ends in an HMAC-SHA256 (RFC 2104) that is
// truncated to 128 bits. The key is random per Issuer and never leaves it, so
// only the owner can verify a ticket; anyone can read the owner's name from it.
package ticket

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/plantainrun/plantainrun/coord/identity"
)

// Layout of an encoded ticket: sizes in bytes, and the version of the format.
const (
	macBytes      = 16
	sumBytes      = 16
	fixedBytes    = 1 + 1 + 8 + 8 + 8 // version, host length, start id, sequence, expiry
	maxHostBytes  = 255
	maxTextBytes  = (fixedBytes + maxHostBytes + macBytes + 2) / 3 * 4
	formatVersion = 1
)

// encoding rejects padding and non-zero trailing bits, so that every ticket
// has exactly one encoded text.
var encoding = base64.RawURLEncoding.Strict()

// Ticket is the decoded content of a ticket.
type Ticket struct {
	Owner  identity.Incarnation
	Seq    uint64
	Expiry time.Time // by the owner's clock, truncated to milliseconds
}

// Sum is a truncated hash that identifies a ticket's text. A ticket cannot be
// reconstructed from it.
type Sum [sumBytes]byte

// SumOf returns the first 128 bits of the text's SHA-256.
func SumOf(text string) Sum {
	full := sha256.Sum256([]byte(text))
	return Sum(full[:sumBytes])
}

// ParseOwner returns the owner named in the text, without checking the MAC.
// It fails with a *MalformedError.
func ParseOwner(text string) (identity.Incarnation, error) {
	t, err := Parse(text)
	return t.Owner, err
}

// Parse decodes a ticket without checking the MAC: the result is not
// authenticated. It fails with a *MalformedError.
func Parse(text string) (Ticket, error) {
	t, _, _, err := decode(text)
	return t, err
}

// appendPayload appends the encoded fields that the MAC covers.
func appendPayload(b []byte, t Ticket) []byte {
	b = append(b, formatVersion, byte(len(t.Owner.Host)))
	b = append(b, t.Owner.Host...)
	b = binary.BigEndian.AppendUint64(b, t.Owner.Start)
	b = binary.BigEndian.AppendUint64(b, t.Seq)
	return binary.BigEndian.AppendUint64(b, uint64(t.Expiry.UnixMilli()))
}

// decode decodes a text into the ticket, the payload that the MAC covers, and
// the MAC.
func decode(text string) (t Ticket, payload, mac []byte, err error) {
	if len(text) > maxTextBytes {
		return t, nil, nil, &MalformedError{Reason: "too long"}
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return t, nil, nil, &MalformedError{Reason: "not base64url"}
	}
	if len(raw) < fixedBytes+macBytes {
		return t, nil, nil, &MalformedError{Reason: "too short"}
	}
	if raw[0] != formatVersion {
		return t, nil, nil, &MalformedError{Reason: "unknown version"}
	}
	hostBytes := int(raw[1])
	if hostBytes == 0 || len(raw) != fixedBytes+hostBytes+macBytes {
		return t, nil, nil, &MalformedError{Reason: "wrong length"}
	}
	payload, mac = raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	integers := payload[2+hostBytes:]
	t = Ticket{
		Owner: identity.Incarnation{
			Host:  string(payload[2 : 2+hostBytes]),
			Start: binary.BigEndian.Uint64(integers),
		},
		Seq:    binary.BigEndian.Uint64(integers[8:]),
		Expiry: time.UnixMilli(int64(binary.BigEndian.Uint64(integers[16:]))),
	}
	return t, payload, mac, nil
}
